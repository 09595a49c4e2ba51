//! Refusals and failures as callers see them: a closed set of codes and what is known of the run.

use serde::Deserialize;
use serde::Serialize;

use crate::id::RequestId;

/// Whether the request ran at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// Certainly not: it was never written to an upstream, or the upstream refused it.
    No,
    /// It may have run, in part or in whole.
    Unknown,
    /// It ran, in part or in whole.
    Yes,
}

/// Why a request was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    InvalidRequest,
    /// The body was not there in time.
    SlowBody,
    /// The body or the headers are larger than the settings allow.
    TooLarge,
    /// The key is missing or names no customer.
    Unauthorized,
    /// The customer has not bought the priority class.
    ClassNotAllowed,
    /// No such service.
    UnknownService,
    /// A limit of the customer is reached.
    LimitReached,
    /// The request cannot start within its deadline.
    Overloaded,
    /// No upstream of the service can be reached.
    NoUpstream,
    /// Upstreams crashed while they ran requests of this content; it is not sent to more of them for a while.
    CrashesUpstreams,
    /// The deadline passed.
    DeadlineExceeded,
    /// The upstream failed or was lost while the request was running.
    UpstreamFailed,
    /// The platform's log cannot be reached and the request needs a claim.
    LogUnavailable,
    /// The idempotency key is older than the window.
    KeyExpired,
    /// Another request holds the claim on the idempotency key.
    AlreadyClaimed,
    /// The host has no configuration yet or is shutting down.
    NotReady,
    /// The caller reads too slowly for the bounded buffer.
    SlowCaller,
    /// The process was forced to stop.
    Stopped,
    /// A broken invariant inside cedargauge.
    Internal,
}

impl Code {
    /// The code as callers see it.
    pub const fn name(self) -> &'static str {
        match self {
            Code::InvalidRequest => "invalid_request",
            Code::SlowBody => "slow_body",
            Code::TooLarge => "too_large",
            Code::Unauthorized => "unauthorized",
            Code::ClassNotAllowed => "class_not_allowed",
            Code::UnknownService => "unknown_service",
            Code::LimitReached => "limit_reached",
            Code::Overloaded => "overloaded",
            Code::NoUpstream => "no_upstream",
            Code::CrashesUpstreams => "crashes_upstreams",
            Code::DeadlineExceeded => "deadline_exceeded",
            Code::UpstreamFailed => "upstream_failed",
            Code::LogUnavailable => "log_unavailable",
            Code::KeyExpired => "key_expired",
            Code::AlreadyClaimed => "already_claimed",
            Code::NotReady => "not_ready",
            Code::SlowCaller => "slow_caller",
            Code::Stopped => "stopped",
            Code::Internal => "internal",
        }
    }

    /// The HTTP status that goes with the code.
    pub const fn http_status(self) -> u16 {
        match self {
            Code::InvalidRequest => 400,
            Code::Unauthorized => 401,
            Code::ClassNotAllowed => 403,
            Code::UnknownService => 404,
            Code::SlowBody => 408,
            Code::AlreadyClaimed => 409,
            Code::KeyExpired => 410,
            Code::TooLarge => 413,
            Code::LimitReached => 429,
            Code::Internal => 500,
            Code::UpstreamFailed => 502,
            Code::Overloaded
            | Code::NoUpstream
            | Code::CrashesUpstreams
            | Code::LogUnavailable
            | Code::NotReady
            | Code::SlowCaller
            | Code::Stopped => 503,
            Code::DeadlineExceeded => 504,
        }
    }
}

/// A refusal or failure: the value that every filter returns in place of its output.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// A sentence for a person.
    pub message: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// When asking again makes sense, in milliseconds from now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The request, once it has an id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<RequestId>,
}

impl Refusal {
    /// A refusal of a request that certainly did not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Refusal {
            code,
            message: message.into(),
            ran: Ran::No,
            retry_after_ms: None,
            request_id: None,
        }
    }

    /// A failure of a request that may have run.
    pub fn unknown(code: Code, message: impl Into<String>) -> Self {
        Refusal {
            ran: Ran::Unknown,
            ..Refusal::not_run(code, message)
        }
    }

    /// Adds when to ask again.
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Adds the request's id.
    pub fn for_request(mut self, request_id: RequestId) -> Self {
        self.request_id = Some(request_id);
        self
    }
}

/// The body of a refusal: `{"error": {...}}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The refusal.
    pub error: Refusal,
}
