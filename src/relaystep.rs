//! What goes into the relay and what comes out of it.

use crate::id::AttemptId;
use crate::refusal::Refusal;
use crate::wire::EngineRefusalReason;

/// What the link to the upstream, or the host, tells the relay.
#[derive(Debug, Clone, PartialEq)]
pub enum Input<'a> {
    /// The upstream answers with a stream, to a start or a resumption.
    Opened,
    /// A token.
    Token {
        /// The attempt that the upstream names.
        attempt: AttemptId,
        /// Its position, from 0.
        index: u32,
        /// Its text.
        text: &'a str,
    },
    /// The generation is complete.
    Done {
        /// The attempt that the upstream names.
        attempt: AttemptId,
        /// Tokens in all.
        output_tokens: u32,
        /// Prompt tokens found in the prefix cache.
        cached_prompt_tokens: u32,
    },
    /// The upstream gave the generation up.
    Failed {
        /// The attempt that the upstream names.
        attempt: AttemptId,
        /// Its words.
        message: &'a str,
    },
    /// The start was never written.
    NotWritten(&'a str),
    /// The start was refused by the protocol.
    Refused(EngineRefusalReason),
    /// The link was lost, or no link came about.
    Lost(&'a str),
    /// The upstream does not know the attempt to resume.
    Forgotten,
    /// The scheduler wants the request moved.
    Relocate,
    /// The deadline passed.
    DeadlinePassed,
    /// The caller doesn't read.
    SlowCaller,
    /// The process is forced to stop.
    Stopped,
    /// Time passed.
    Tick,
}

/// What the relay wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Hand the caller this token.
    Deliver(String),
    /// Forget what was collected of an attempt that is given up.
    Discard,
    /// Connect again and resume from this index.
    Resume {
        /// The next index expected.
        from: u32,
    },
    /// Cancel the attempt at its upstream.
    Cancel(AttemptId),
    /// Ask for another upstream and start anew.
    Restart(RestartCause),
    /// The answer is whole.
    Complete(Completion),
    /// The request failed.
    Fail(Refusal),
    /// An event of the upstream was dropped.
    Dropped(DropReason),
}

/// Why a request starts again elsewhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RestartCause {
    /// The scheduler moves it.
    Moved,
    /// The attempt was never written, which costs no upstream anything; the words tell why.
    NotWritten(String),
    /// An upstream refused the attempt by its protocol; the words tell why.
    Refused(String),
    /// The attempt failed; the words tell how.
    Failed(String),
}

/// What is known of a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// Tokens in all.
    pub output_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_prompt_tokens: u32,
}

/// Why an event of the upstream was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// The index was delivered before.
    Duplicate,
    /// It names another attempt.
    Crossed,
    /// The request has ended.
    Late,
}
