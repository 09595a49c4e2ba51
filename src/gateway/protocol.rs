//! What differs between platforms: names, formats and paths. An adapter implements
//! [`Protocol`]; it makes no calls and decides nothing.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;

use crate::error::Result;
use crate::gateway::configuration::Configuration;
use crate::gateway::directory::Upstream;
use crate::gateway::evacuations::EvacuationRecord;
use crate::gateway::position::Position;
use crate::gateway::reportedloads::ReportedLoad;
use crate::gateway::rollouts::RolloutRecord;
use crate::id::ServiceId;
use crate::id::VersionId;

/// The keyed topics of the log that the gateway uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// What operators publish.
    Operator,
    /// Upstreams list themselves.
    Upstreams,
    /// Entry hosts list themselves.
    Hosts,
    /// Requests under which upstreams crashed.
    Suspects,
    /// What operators are told.
    Status,
}

impl Topic {
    /// The topic's name in logs.
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
    /// What it is about.
    pub key: String,
    /// None where the key was removed.
    pub value: Option<Bytes>,
    /// Its position.
    pub offset: u64,
}

/// A page of the newest record of each key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewestPage {
    /// The records, by key.
    pub records: Vec<Record>,
    /// Whether there are more keys after the last one.
    pub has_more: bool,
    /// The offset after the log's last record.
    pub end: u64,
}

/// Records read in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadBatch {
    /// The records; their offsets rise by one from where the read began.
    pub records: Vec<Record>,
    /// The offset to read from next.
    pub next: u64,
}

/// A call that the gateway makes itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InternalRequest {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Its body.
    pub body: Bytes,
    /// The body's type, if it has one.
    pub content_type: Option<&'static str>,
}

impl InternalRequest {
    /// A call without a body.
    pub fn get(path: impl Into<String>) -> Self {
        InternalRequest {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
            content_type: None,
        }
    }
}

/// The size of a generation as its caller tells it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GenerationSize {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens it may produce.
    pub output_tokens_max: u32,
    /// The caller's own estimate of what it will produce.
    pub output_tokens_hint: Option<u32>,
}

/// What came of copying a generation's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemoryCopy {
    /// Names the copy.
    pub handle: String,
    /// Events produced so far.
    pub events: u64,
}

/// How far a roll-out is, as operators are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutState {
    /// It has begun.
    Running,
    /// All traffic goes to the new version; the old one may be stopped.
    Complete,
    /// The new version gets no traffic any more.
    Reverted,
}

/// What operators are told of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The version that is rolled out.
    pub to: VersionId,
    /// How far it is.
    pub state: RolloutState,
    /// The position of the order's record; none in what others wrote.
    pub ordered_at: Option<Position>,
}

/// What an engine tells of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    /// It is leaving and takes no new work.
    pub leaving: bool,
    /// When the engine that tells started, in Unix milliseconds of its own clock.
    pub born_ms: Option<u64>,
}

/// Names of the headers that the gateway reads or sets.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// The request's id, chosen by the caller and echoed by the upstream.
    pub request_id: HeaderName,
    /// Time left, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The customer's name, for the upstream.
    pub customer: HeaderName,
    /// The instance that a request is meant for.
    pub expected_instance: HeaderName,
    /// In an answer: the upstream did not run the request.
    pub not_run: HeaderName,
    /// The engine's priority for the request; 0 is first.
    pub priority: HeaderName,
    /// Continue from the copy that the value names.
    pub continue_from: HeaderName,
    /// The last event that the caller has.
    pub last_event: HeaderName,
    /// In all answers of the log: the number of its history.
    pub log_era: HeaderName,
    /// Headers of callers that are the system's to set; never passed on.
    pub reserved: Vec<HeaderName>,
    /// The scheme before a key in the `Authorization` header.
    pub key_scheme: &'static str,
}

/// One platform's names, formats and paths.
pub trait Protocol: std::fmt::Debug + Send + Sync {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Reads the newest record of each key after the key `after`.
    fn newest_request(&self, topic: Topic, after: Option<&str>) -> InternalRequest;

    /// The answer to [`Protocol::newest_request`].
    ///
    /// # Errors
    ///
    /// If it isn't one.
    fn decode_newest(&self, body: &[u8]) -> Result<NewestPage>;

    /// Reads records from `from` on, waiting up to `wait` for the first.
    fn read_request(&self, topic: Topic, from: u64, wait: Duration) -> InternalRequest;

    /// The answer to [`Protocol::read_request`] from `from` on.
    ///
    /// # Errors
    ///
    /// If it isn't one.
    fn decode_read(&self, from: u64, body: &Bytes) -> Result<ReadBatch>;

    /// Appends one record to a keyed topic of the system's own; with `only_at` only if the topic ends at that offset.
    /// One that ends elsewhere answers with status 412.
    fn append_request(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
        only_at: Option<u64>,
    ) -> InternalRequest;

    /// The configuration in a record of [`Topic::Operator`], or none where the record is something
    /// else.
    ///
    /// # Errors
    ///
    /// If it is a configuration but can't be read.
    fn decode_configuration(&self, key: &str, value: &[u8]) -> Result<Option<Configuration>>;

    /// What a record of [`Topic::Operator`] says of a data centre's evacuation, or none where it is about something
    /// else. One without a value takes the data centre back.
    fn decode_evacuation(&self, key: &str, value: Option<&[u8]>) -> Option<EvacuationRecord>;

    /// What a record of [`Topic::Operator`] says of a service's roll-out, or none where it is about something else.
    fn decode_rollout(&self, key: &str, value: Option<&[u8]>) -> Option<RolloutRecord>;

    /// The key of [`Topic::Status`] under which operators find how far a service's roll-out is.
    fn rollout_status_key(&self, service: &ServiceId) -> String;

    /// What stands there.
    fn encode_rollout_status(&self, status: &RolloutStatus) -> Vec<u8>;

    /// The answer to [`Protocol::encode_rollout_status`].
    ///
    /// # Errors
    ///
    /// If it isn't one.
    fn decode_rollout_status(&self, value: &[u8]) -> Result<RolloutStatus>;

    /// The upstream in a record of [`Topic::Upstreams`].
    ///
    /// # Errors
    ///
    /// Why the record names no upstream: another writer's, or one that can't be read.
    fn decode_upstream(&self, key: &str, value: &[u8]) -> Result<Upstream>;

    /// What an upstream says of its load in the headers of an answer.
    fn reported_load(&self, headers: &HeaderMap) -> Option<ReportedLoad>;

    /// The size of the generation that a request asks for.
    fn generation_size(&self, headers: &HeaderMap) -> Option<GenerationSize>;

    /// Copies the memory of the run `request_id` to the engine at `to`; with `last` the run stops
    /// first.
    fn copy_request(&self, request_id: &str, to: SocketAddr, is_final: bool) -> InternalRequest;

    /// The answer to [`Protocol::copy_request`].
    ///
    /// # Errors
    ///
    /// If it isn't one.
    fn decode_copy(&self, body: &[u8]) -> Result<MemoryCopy>;

    /// The value of `continue_from` for the copy `handle` whose source listens at `source`.
    fn continue_value(&self, source: SocketAddr, handle: &str) -> HeaderValue;

    /// Asks an engine about itself.
    fn report_request(&self) -> InternalRequest;

    /// The answer to [`Protocol::report_request`].
    ///
    /// # Errors
    ///
    /// If it isn't one.
    fn decode_report(&self, body: &[u8]) -> Result<EngineReport>;
}
