//! Asks upstreams for their load reports and cache events.

use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::error::Result;
use crate::id::UpstreamId;
use crate::wire::CacheEvents;
use crate::wire::LoadReport;

/// Largest answer that is taken, in bytes.
const ANSWER_BYTES_MAX: usize = 4 * 1024 * 1024;

/// A client for the upstreams' reports.
#[derive(Clone)]
pub(crate) struct Poller {
    client: Client,
}

impl Poller {
    /// A client whose calls take at most `timeout`.
    pub(crate) fn new(timeout: Duration) -> Self {
        Poller {
            client: Client::builder().timeout(timeout).finish(),
        }
    }

    /// The upstream's load report; none if it answers but offers none.
    pub(crate) async fn load(&self, upstream: &UpstreamId) -> Result<Option<LoadReport>> {
        self.get(upstream, "/v1/load").await
    }

    /// The upstream's cache events from a sequence number on.
    pub(crate) async fn cache_events(
        &self,
        upstream: &UpstreamId,
        from: u64,
    ) -> Result<CacheEvents> {
        let path = format!("/v1/cache-events?from={from}");
        let events = self.get(upstream, &path).await?;
        Ok(events.unwrap_or_default())
    }

    async fn get<T: DeserializeOwned>(
        &self,
        upstream: &UpstreamId,
        path: &str,
    ) -> Result<Option<T>> {
        let remote = |reason: String| Error::Remote {
            peer: upstream.to_string(),
            reason,
        };
        let mut response = self
            .client
            .get(format!("http://{upstream}{path}"))
            .send()
            .await
            .map_err(|error| remote(error.to_string()))?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        if !response.status().is_success() {
            return Err(remote(format!("status {}", response.status())));
        }
        response
            .json()
            .limit(ANSWER_BYTES_MAX)
            .await
            .map(Some)
            .map_err(|error| remote(error.to_string()))
    }
}
