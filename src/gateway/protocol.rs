//! The interface to a platform's names, formats and paths. An adapter for a platform implements [`Protocol`];
//! it builds requests and decodes responses, but does no I/O and makes no decisions.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;

use crate::error::Result;
use crate::gateway::configuration::Configuration;
use crate::gateway::directory::Upstream;
use crate::gateway::evacuations::EvacuationRecord;
use crate::gateway::position::Position;
use crate::gateway::reportedloads::ReportedLoad;
use crate::gateway::rollouts::RolloutRecord;
use crate::id::ServiceId;
use crate::id::VersionId;

/// The keyed topics of the platform's log that the gateway uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// Configurations, evacuations and rollouts that operators publish.
    Operator,
    /// Upstreams, each listed by itself.
    Upstreams,
    /// Entry hosts, each listed by itself.
    Hosts,
    /// Requests during which upstreams crashed.
    Suspects,
    /// The state of rollouts, reported to operators.
    Status,
}

impl Topic {
    /// Returns the topic's name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Topic::Operator => "operator",
            Topic::Upstreams => "upstreams",
            Topic::Hosts => "hosts",
            Topic::Suspects => "suspects",
            Topic::Status => "status",
        }
    }
}

/// A record of a keyed topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The record's key.
    pub key: String,
    /// The value, or `None` if the key was removed.
    pub value: Option<Bytes>,
    /// Offset in the topic.
    pub offset: u64,
}

/// One page of the newest records of a topic, one per key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewestPage {
    /// The records, ordered by key.
    pub records: Vec<Record>,
    /// Whether more keys follow the last one of this page.
    pub has_more: bool,
    /// The offset after the last record of the topic.
    pub end: u64,
}

/// Consecutive records of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadBatch {
    /// The records. Offsets increase by one, starting at the offset the read asked for.
    pub records: Vec<Record>,
    /// Offset of the next read.
    pub next: u64,
}

/// A request that the gateway sends on its own behalf, to the log, a peer or an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InternalRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query string.
    pub path: String,
    /// Request body; empty if there is none.
    pub body: Bytes,
    /// Value of the `Content-Type` header, if it is set.
    pub content_type: Option<&'static str>,
}

impl InternalRequest {
    /// Creates a `GET` request without a body.
    pub fn get(path: impl Into<String>) -> Self {
        InternalRequest {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
            content_type: None,
        }
    }
}

/// Size of a generation as stated by the client.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GenerationSize {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub output_tokens_max: u32,
    /// The client's estimate of the number of output tokens.
    pub output_tokens_hint: Option<u32>,
}

/// A part of the prompt of a generation. Requests share parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's id, the same in all requests that share it.
    pub id: String,
    /// Number of its tokens.
    pub tokens: u32,
}

/// A copy of a generation's memory at another engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemoryCopy {
    /// Identifies the copy.
    pub handle: String,
    /// Number of events that the generation has produced so far.
    pub events: u64,
}

/// State of a rollout as reported to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutState {
    /// The rollout has started.
    Running,
    /// All traffic goes to the new version, and the old one may be stopped.
    Complete,
    /// The new version no longer receives traffic.
    Reverted,
}

/// Status of a rollout as reported to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The version being rolled out.
    pub to: VersionId,
    /// State of the rollout.
    pub state: RolloutState,
    /// Position of the record that ordered the rollout; `None` in a status from another writer.
    pub ordered_at: Option<Position>,
}

/// An engine's report about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether the engine is leaving and accepts no new work.
    pub leaving: bool,
    /// Start time of the reporting engine, in Unix milliseconds of its own clock.
    pub born_ms: Option<u64>,
}

/// Names of the HTTP headers that the gateway reads or sets.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Request id, chosen by the client and echoed by the upstream.
    pub request_id: HeaderName,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Name of the customer, sent to the upstream.
    pub customer: HeaderName,
    /// The instance that the request is addressed to.
    pub expected_instance: HeaderName,
    /// In a response: the upstream did not run the request.
    pub not_run: HeaderName,
    /// Priority of the request at the engine; 0 is the highest.
    pub priority: HeaderName,
    /// The copy of the generation's memory to continue from.
    pub continue_from: HeaderName,
    /// Id of the last event that the client received.
    pub last_event: HeaderName,
    /// In every response of the log: its era. A new era begins when the log is restored from an older copy.
    pub log_era: HeaderName,
    /// Headers that only the gateway sets; never forwarded from clients.
    pub reserved: Vec<HeaderName>,
    /// The scheme before a key in the `Authorization` header.
    pub key_scheme: &'static str,
}

/// The names, formats and paths of one platform.
pub trait Protocol: std::fmt::Debug + Send + Sync {
    /// Returns the header names.
    fn headers(&self) -> &HeaderNames;

    /// Builds the request for the newest record of each key, starting after the key `after`.
    fn newest_request(&self, topic: Topic, after: Option<&str>) -> InternalRequest;

    /// Decodes the response to [`Protocol::newest_request`].
    ///
    /// # Errors
    ///
    /// If `body` is not a valid response.
    fn decode_newest(&self, body: &[u8]) -> Result<NewestPage>;

    /// Builds the request for the records from offset `from`, waiting up to `wait` for the first.
    fn read_request(&self, topic: Topic, from: u64, wait: Duration) -> InternalRequest;

    /// Decodes the response to [`Protocol::read_request`] for the offset `from`.
    ///
    /// # Errors
    ///
    /// If `body` is not a valid response.
    fn decode_read(&self, from: u64, body: &Bytes) -> Result<ReadBatch>;

    /// Builds the request that appends one record to a topic written by the gateway. With `only_at`, the log
    /// appends it only if the topic ends at that offset, and otherwise responds with status 412.
    fn append_request(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
        only_at: Option<u64>,
    ) -> InternalRequest;

    /// Decodes the configuration in a record of [`Topic::Operator`]. Returns `None` for other records.
    ///
    /// # Errors
    ///
    /// If the record is a configuration but can't be decoded.
    fn decode_configuration(&self, key: &str, value: &[u8]) -> Result<Option<Configuration>>;

    /// Decodes a data centre's evacuation in a record of [`Topic::Operator`]. Returns `None` for other
    /// records. A record without a value ends the evacuation.
    fn decode_evacuation(&self, key: &str, value: Option<&[u8]>) -> Option<EvacuationRecord>;

    /// Decodes a service's rollout in a record of [`Topic::Operator`]. Returns `None` for other records.
    fn decode_rollout(&self, key: &str, value: Option<&[u8]>) -> Option<RolloutRecord>;

    /// Returns the key in [`Topic::Status`] of a service's rollout status.
    fn rollout_status_key(&self, service: &ServiceId) -> String;

    /// Encodes the value stored under [`Protocol::rollout_status_key`].
    fn encode_rollout_status(&self, status: &RolloutStatus) -> Vec<u8>;

    /// Decodes a value encoded by [`Protocol::encode_rollout_status`] or written by another program.
    ///
    /// # Errors
    ///
    /// If `value` is not a rollout status.
    fn decode_rollout_status(&self, value: &[u8]) -> Result<RolloutStatus>;

    /// Decodes the upstream in a record of [`Topic::Upstreams`].
    ///
    /// # Errors
    ///
    /// If the record does not describe an upstream: it comes from another writer or can't be decoded.
    fn decode_upstream(&self, key: &str, value: &[u8]) -> Result<Upstream>;

    /// Reads an upstream's load from the headers of a response, if they report it.
    fn reported_load(&self, headers: &HeaderMap) -> Option<ReportedLoad>;

    /// Reads the request rate that an upstream takes from all hosts together, in requests a second, from the
    /// headers of a response. Returns `None` if they name no limit.
    fn request_limit(&self, headers: &HeaderMap) -> Option<f64>;

    /// Reads how many requests a second an upstream bears to turn away for want of room, from the headers of a
    /// response. Returns `None` if any number.
    fn rejection_limit(&self, headers: &HeaderMap) -> Option<f64>;

    /// Reads for how long an upstream that turns a request away wants no other one from this host.
    fn requested_rest(&self, status: StatusCode, headers: &HeaderMap) -> Option<Duration>;

    /// Whether the headers of a response say that the upstream is leaving.
    fn says_leaving(&self, headers: &HeaderMap) -> bool;

    /// Reads the size of the requested generation from the request headers, if they state it.
    fn generation_size(&self, headers: &HeaderMap) -> Option<GenerationSize>;

    /// Reads the parts of the prompt from the request headers, in order. Returns none if they are not stated or
    /// can't be read.
    fn prompt_parts(&self, headers: &HeaderMap) -> Vec<PromptPart>;

    /// Builds the request that copies the memory of the run `request_id` to the engine at `to`. With
    /// `is_final`, the run stops before the copy.
    fn copy_request(&self, request_id: &str, to: SocketAddr, is_final: bool) -> InternalRequest;

    /// Decodes the response to [`Protocol::copy_request`].
    ///
    /// # Errors
    ///
    /// If `body` is not a valid response.
    fn decode_copy(&self, body: &[u8]) -> Result<MemoryCopy>;

    /// Returns the value of the [`HeaderNames::continue_from`] header for the copy `handle`, whose source
    /// engine listens at `source`.
    fn continue_value(&self, source: SocketAddr, handle: &str) -> HeaderValue;

    /// Builds the request for an engine's report about itself.
    fn report_request(&self) -> InternalRequest;

    /// Decodes the response to [`Protocol::report_request`].
    ///
    /// # Errors
    ///
    /// If `body` is not a valid response.
    fn decode_report(&self, body: &[u8]) -> Result<EngineReport>;
}
