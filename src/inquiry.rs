//! Asks entry hosts over HTTP for what operators want to know.

use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use bytes::Bytes;
use futures_util::future::join_all;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::error::Result;
use crate::event::Event;
use crate::status::HostStatus;

/// A host that doesn't answer within this time is told as unreachable.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Longest answer that is read, in bytes.
const ANSWER_BYTES_MAX: usize = 64 * 1024 * 1024;

/// What one address answered.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Answer<T> {
    /// The address that was asked.
    pub address: String,
    /// The answer, if one came.
    pub answer: Option<T>,
    /// Why none came.
    pub error: Option<String>,
}

/// A client for the operators' calls of entry hosts.
pub struct Inquiry {
    client: Client,
    addresses: Vec<String>,
}

impl Inquiry {
    /// A client that asks the entry hosts at these caller addresses (`address:port`).
    pub fn new(addresses: Vec<String>) -> Self {
        let client = Client::builder().timeout(TIMEOUT).finish();
        Inquiry { client, addresses }
    }

    /// Every host's status, in the order of the addresses.
    pub async fn status(&self) -> Vec<Answer<HostStatus>> {
        self.ask_all("/status").await
    }

    /// The events that every host keeps, in the order of the addresses.
    pub async fn events(&self) -> Vec<Answer<Vec<Event>>> {
        self.ask_all("/events").await
    }

    /// Begins a graceful shutdown of the host at `address`.
    ///
    /// # Errors
    ///
    /// [`Error::Remote`] if it doesn't answer or refuses the token.
    pub async fn drain(&self, address: &str, token: &str) -> Result<()> {
        let url = format!("http://{address}/drain");
        let sent = self.client.post(url).bearer_auth(token).send().await;
        let response = sent.map_err(|error| remote(address, &error))?;
        match response.status() {
            StatusCode::ACCEPTED => Ok(()),
            status => Err(remote(address, &status)),
        }
    }

    async fn ask_all<T: DeserializeOwned>(&self, path: &str) -> Vec<Answer<T>> {
        let asked = self.addresses.iter().map(|address| async move {
            match self.ask(address, path).await {
                Ok(answer) => Answer {
                    address: address.clone(),
                    answer: Some(answer),
                    error: None,
                },
                Err(error) => Answer {
                    address: address.clone(),
                    answer: None,
                    error: Some(error.to_string()),
                },
            }
        });
        join_all(asked).await
    }

    async fn ask<T: DeserializeOwned>(&self, address: &str, path: &str) -> Result<T> {
        let body = self.get(address, path).await?;
        serde_json::from_slice(&body).map_err(|error| remote(address, &error))
    }

    async fn get(&self, address: &str, path: &str) -> Result<Bytes> {
        let sent = self.client.get(format!("http://{address}{path}")).send();
        let mut response = sent.await.map_err(|error| remote(address, &error))?;
        if response.status() != StatusCode::OK {
            return Err(remote(address, &response.status()));
        }
        let body = response.body().limit(ANSWER_BYTES_MAX);
        body.await.map_err(|error| remote(address, &error))
    }
}

fn remote(address: &str, reason: &impl ToString) -> Error {
    Error::Remote {
        peer: address.to_owned(),
        reason: reason.to_string(),
    }
}
