//! What is known of a plain call that has no whole answer yet.

use crate::refusal::Code;
use crate::refusal::Ran;
use crate::refusal::Refusal;

/// What is known of the call so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    NotWritten,
    MayHaveRun,
    HasRun,
}

impl Progress {
    pub(super) fn qualify(self, mut refusal: Refusal) -> Refusal {
        refusal.ran = match self {
            Progress::NotWritten => refusal.ran,
            Progress::MayHaveRun => Ran::Unknown,
            Progress::HasRun => Ran::Yes,
        };
        refusal
    }
}

/// An attempt without a whole answer.
pub(super) struct Failure {
    pub(super) message: String,
    pub(super) kind: FailureKind,
}

/// Whether another attempt may follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FailureKind {
    /// Always: nothing was written.
    NotWritten,
    /// Within the retry budget.
    Repeatable,
    /// Never.
    Final,
}

impl Failure {
    pub(super) fn new(message: String, kind: FailureKind) -> Self {
        Failure { message, kind }
    }

    pub(super) fn refusal(&self, retry_after_ms: u64) -> Refusal {
        Refusal::not_run(Code::UpstreamFailed, self.message.as_str()).retry_after_ms(retry_after_ms)
    }
}
