//! The faults that the stand-in engine is told to have.

use std::sync::Mutex;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::SystemClock;
use crate::clock::Time;
use crate::id::AttemptId;
use crate::standin::lock;
use crate::wire::EngineRefusalReason;

/// A fault for `POST /admin/faults`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum EngineFault {
    /// The process answers and exits.
    Die,
    /// Streams that are open now send nothing for a while; generations go on, and streams opened
    /// later, to resume, are not stalled.
    StallLinks {
        /// How long, in milliseconds.
        ms: u64,
    },
    /// Streams that the target matches misbehave after some tokens.
    Stream(StreamFault),
    /// The engine is reclaimed: it reports leaving, refuses new work and exits.
    Reclaim {
        /// Time until it exits, in milliseconds.
        notice_ms: u64,
    },
    /// The engine reports leaving and refuses new work, and finishes what it runs.
    Leave,
    /// The next attempts are refused.
    Refuse {
        /// How many attempts; 0 ends the fault.
        count: u32,
        /// The reason given.
        reason: EngineRefusalReason,
    },
    /// The next attempts are read and their connections cut; they do not run.
    ResetOnAccept {
        /// How many attempts; 0 ends the fault.
        count: u32,
    },
    /// The next attempts start, and their connections are cut before any answer.
    ResetAfterStart {
        /// How many attempts; 0 ends the fault.
        count: u32,
    },
    /// Answers to orders are lost after the order took effect.
    LoseOrderAnswers {
        /// How many answers; 0 ends the fault.
        count: u32,
    },
    /// Ends every fault but leaving.
    Clear,
}

/// A fault of the streams that match its target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamFault {
    /// What goes wrong.
    pub kind: StreamFaultKind,
    /// Hits only this attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<AttemptId>,
    /// Hits only prompts that are counted under this key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Hits at the token with this index or the next one that is sent.
    #[serde(default)]
    pub after_tokens: u32,
    /// Hits this often in all.
    #[serde(default = "once")]
    pub times: u32,
}

/// What goes wrong with a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamFaultKind {
    /// The stream sends nothing for a while; the generation goes on.
    Stall {
        /// How long, in milliseconds.
        ms: u64,
    },
    /// The connection is cut; the generation goes on.
    Break,
    /// The token is sent twice.
    Duplicate,
    /// The token is sent after its successor.
    Reorder,
    /// The token is left out.
    Gap,
    /// A token of another attempt is sent before it.
    Cross,
    /// The engine gives the generation up, with an event that says so.
    Fail,
    /// The whole process exits.
    Die,
}

fn once() -> u32 {
    1
}

impl StreamFault {
    fn hits(&self, attempt: AttemptId, key: &str, index: u32) -> bool {
        self.times > 0
            && index >= self.after_tokens
            && self.attempt.is_none_or(|wanted| wanted == attempt)
            && self.key.as_deref().is_none_or(|wanted| wanted == key)
    }
}

/// The faults that are armed.
pub(crate) struct EngineFaults {
    clock: SystemClock,
    armed: Mutex<Armed>,
}

#[derive(Default)]
struct Armed {
    links_opened: u64,
    stalled_before: u64,
    stalled_until: Time,
    streams: Vec<StreamFault>,
    refusals: u32,
    refusal: Option<EngineRefusalReason>,
    accept_resets: u32,
    start_resets: u32,
    lost_order_answers: u32,
}

impl EngineFaults {
    pub(crate) fn new(clock: SystemClock) -> Self {
        EngineFaults {
            clock,
            armed: Mutex::default(),
        }
    }

    /// Arms a fault. Leaving and dying are the engine's affair and change nothing here.
    pub(crate) fn arm(&self, fault: EngineFault) {
        let mut armed = lock(&self.armed);
        match fault {
            EngineFault::StallLinks { ms } => {
                armed.stalled_before = armed.links_opened;
                armed.stalled_until = self.clock.now() + Duration::from_millis(ms);
            }
            EngineFault::Stream(fault) => armed.streams.push(fault),
            EngineFault::Refuse { count, reason } => {
                armed.refusals = count;
                armed.refusal = Some(reason);
            }
            EngineFault::ResetOnAccept { count } => armed.accept_resets = count,
            EngineFault::ResetAfterStart { count } => armed.start_resets = count,
            EngineFault::LoseOrderAnswers { count } => armed.lost_order_answers = count,
            EngineFault::Clear => {
                *armed = Armed {
                    links_opened: armed.links_opened,
                    ..Armed::default()
                };
            }
            EngineFault::Die | EngineFault::Reclaim { .. } | EngineFault::Leave => {}
        }
    }

    /// Refuses the attempt at hand if a fault says so.
    pub(crate) fn refusal(&self) -> Result<(), EngineRefusalReason> {
        let mut armed = lock(&self.armed);
        if !use_up(&mut armed.refusals) {
            return Ok(());
        }
        Err(armed.refusal.unwrap_or(EngineRefusalReason::QueueFull))
    }

    /// The number of a new stream.
    pub(crate) fn next_link(&self) -> u64 {
        let mut armed = lock(&self.armed);
        armed.links_opened += 1;
        armed.links_opened
    }

    /// How long the stream with this number is stalled from now on.
    pub(crate) fn stall(&self, link: u64) -> Duration {
        let armed = lock(&self.armed);
        if link > armed.stalled_before {
            return Duration::ZERO;
        }
        armed.stalled_until.since(self.clock.now())
    }

    /// Uses up the first fault that hits the token at `index` of a stream.
    pub(crate) fn take_stream_fault(
        &self,
        attempt: AttemptId,
        key: &str,
        index: u32,
    ) -> Option<StreamFaultKind> {
        let mut armed = lock(&self.armed);
        let hit = armed
            .streams
            .iter_mut()
            .find(|fault| fault.hits(attempt, key, index))?;
        hit.times -= 1;
        Some(hit.kind)
    }

    pub(crate) fn resets_on_accept(&self) -> bool {
        use_up(&mut lock(&self.armed).accept_resets)
    }

    pub(crate) fn resets_after_start(&self) -> bool {
        use_up(&mut lock(&self.armed).start_resets)
    }

    pub(crate) fn loses_order_answer(&self) -> bool {
        use_up(&mut lock(&self.armed).lost_order_answers)
    }
}

/// Takes one from `count`; whether there was one.
fn use_up(count: &mut u32) -> bool {
    let left = *count > 0;
    *count = count.saturating_sub(1);
    left
}
