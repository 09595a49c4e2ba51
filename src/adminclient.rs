//! A client of the administration API, for the operators' command line.

use std::time::Duration;

use awc::Client;
use awc::ClientRequest;
use awc::error::JsonPayloadError;
use awc::error::SendRequestError;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::adminapi::AdminError;
use crate::adminapi::EditRequest;
use crate::adminapi::EditResult;
use crate::adminapi::InForce;
use crate::adminapi::TableView;
use crate::config::HistoryEntry;
use crate::error::Error;
use crate::error::Result;
use crate::id::Offset;

/// Longer than the server waits for an edit's outcome.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Longest answer that is read, in bytes.
const ANSWER_BYTES_MAX: usize = 64 * 1024 * 1024;

/// A client of the administration API at one address.
pub struct AdminClient {
    client: Client,
    address: String,
    token: String,
}

impl AdminClient {
    /// A client of the API at `address:port` that shows a bearer token.
    pub fn new(address: impl Into<String>, token: impl Into<String>) -> Self {
        AdminClient {
            client: Client::builder().timeout(TIMEOUT).finish(),
            address: address.into(),
            token: token.into(),
        }
    }

    /// The table in force.
    ///
    /// # Errors
    ///
    /// [`Error::Remote`] if the call failed or was refused.
    pub async fn table(&self) -> Result<TableView> {
        self.get("/v1/table").await
    }

    /// What came of the last records of the configuration stream.
    ///
    /// # Errors
    ///
    /// [`Error::Remote`] if the call failed or was refused.
    pub async fn history(&self) -> Result<Vec<HistoryEntry>> {
        self.get("/v1/history").await
    }

    /// How many entry hosts have the record at `offset` in force.
    ///
    /// # Errors
    ///
    /// [`Error::Remote`] if the call failed or was refused.
    pub async fn in_force(&self, offset: Offset) -> Result<InForce> {
        self.get(&format!("/v1/in-force?offset={offset}")).await
    }

    /// Makes an edit, or only tries it.
    ///
    /// # Errors
    ///
    /// [`Error::Remote`] if the call failed or was refused; a rejected edit is no error.
    pub async fn edit(&self, edit: &EditRequest) -> Result<EditResult> {
        let request = self.client.post(self.url("/v1/edits"));
        self.send(request, Some(edit)).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let request = self.client.get(self.url(path));
        self.send(request, None::<&()>).await
    }

    async fn send<T: DeserializeOwned>(
        &self,
        request: ClientRequest,
        body: Option<&impl Serialize>,
    ) -> Result<T> {
        let request = request.bearer_auth(&self.token);
        let sent = match body {
            Some(body) => request.send_json(body),
            None => request.send(),
        };
        let mut response = sent.await.map_err(|error| self.unreachable(&error))?;
        let body = response.body().limit(ANSWER_BYTES_MAX).await;
        let body = body.map_err(|error| self.failed(JsonPayloadError::from(error).to_string()))?;
        if let Ok(refused) = serde_json::from_slice::<AdminError>(&body) {
            return Err(self.failed(refused.error.message));
        }
        Ok(serde_json::from_slice(&body)?)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn unreachable(&self, error: &SendRequestError) -> Error {
        self.failed(error.to_string())
    }

    fn failed(&self, reason: String) -> Error {
        Error::Remote {
            peer: self.address.clone(),
            reason,
        }
    }
}
