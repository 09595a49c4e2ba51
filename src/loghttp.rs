//! The platform's log over HTTP.

use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use serde::de::DeserializeOwned;

use crate::appender::Input;
use crate::engine::certainly_not_written;
use crate::id::DataCentre;
use crate::id::Offset;
use crate::logstream::DATA_CENTRE_HEADER;
use crate::logstream::LogOptions;
use crate::platform::AppendAnswer;
use crate::platform::AppendRequest;
use crate::platform::HostList;
use crate::platform::ReadAnswer;

/// Largest answer that is read, in bytes: a snapshot of a full-size table fits.
const ANSWER_BYTES_MAX: usize = 64 * 1024 * 1024;

/// The platform's log over HTTP.
pub(crate) struct LogHttp {
    client: Client,
    address: String,
    pub(crate) options: LogOptions,
}

impl LogHttp {
    pub(crate) fn new(address: &str, data_centre: &DataCentre, options: LogOptions) -> Self {
        let client = Client::builder()
            .add_default_header((DATA_CENTRE_HEADER, data_centre.as_str()))
            .disable_redirects()
            .disable_timeout()
            .finish();
        LogHttp {
            client,
            address: address.to_owned(),
            options,
        }
    }

    /// Appends records and tells what came of it.
    pub(crate) async fn append(&self, stream: &str, records: Vec<String>) -> Input {
        let url = self.url(stream);
        let timeout = Duration::from_millis(self.options.append_timeout_ms);
        let sending = self
            .client
            .post(url)
            .timeout(timeout)
            .send_json(&AppendRequest { records });
        match sending.await {
            Ok(mut response) => match response.status() {
                StatusCode::OK => match response.json::<AppendAnswer>().await {
                    Ok(answer) => Input::Appended(answer),
                    Err(_) => Input::Lost,
                },
                StatusCode::TOO_MANY_REQUESTS => Input::Refused,
                status if status.is_client_error() => Input::Rejected,
                _ => Input::Lost,
            },
            Err(error) if certainly_not_written(&error) => Input::Refused,
            Err(_) => Input::Lost,
        }
    }

    /// Reads a page; none if that failed.
    pub(crate) async fn read(&self, stream: &str, from: Offset, wait: bool) -> Option<ReadAnswer> {
        let wait_ms = if wait { self.options.poll_wait_ms } else { 0 };
        let limit = self.options.read_records;
        let url = format!(
            "{}?from={from}&limit={limit}&wait_ms={wait_ms}",
            self.url(stream)
        );
        let timeout = Duration::from_millis(wait_ms + self.options.read_timeout_ms);
        self.get(&url, timeout).await
    }

    /// Reads the list of hosts; none if that failed.
    pub(crate) async fn hosts(&self) -> Option<HostList> {
        let timeout = Duration::from_millis(self.options.read_timeout_ms);
        let url = format!("http://{}/v1/hosts", self.address);
        self.get(&url, timeout).await
    }

    async fn get<T: DeserializeOwned>(&self, url: &str, timeout: Duration) -> Option<T> {
        let mut response = self.client.get(url).timeout(timeout).send().await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        response.json().limit(ANSWER_BYTES_MAX).await.ok()
    }

    fn url(&self, stream: &str) -> String {
        format!("http://{}/v1/streams/{stream}/records", self.address)
    }
}
