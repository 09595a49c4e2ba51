//! One attempt as the relay knows it: what is expected next, and what came too early.

use crate::clock::Time;
use crate::id::AttemptId;
use crate::relaystep::Action;
use crate::relaystep::Completion;
use crate::relaystep::DropReason;

/// The attempt that is running.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) link: Link,
    pub(crate) next_index: u32,
    pub(crate) early: Vec<EarlyToken>,
    pub(crate) gap_since: Option<Time>,
    pub(crate) end: Option<Completion>,
    pub(crate) last_heard: Time,
    pub(crate) stall_timeout_ms: u64,
    pub(crate) failed_resumptions: u32,
}

/// A token that overtook others.
#[derive(Debug)]
pub(crate) struct EarlyToken {
    pub(crate) index: u32,
    pub(crate) text: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Link {
    Opening,
    Open,
}

impl Attempt {
    /// An attempt that is about to be written.
    pub(crate) fn new(id: AttemptId, now: Time, stall_timeout_ms: u64) -> Self {
        Attempt {
            id,
            link: Link::Opening,
            next_index: 0,
            early: Vec::new(),
            gap_since: None,
            end: None,
            last_heard: now,
            stall_timeout_ms,
            failed_resumptions: 0,
        }
    }

    /// Keeps a token that overtook others, or resumes if too many have.
    pub(crate) fn keep_early(
        &mut self,
        now: Time,
        index: u32,
        text: &str,
        capacity: usize,
        actions: &mut Vec<Action>,
    ) {
        if self.early.iter().any(|early| early.index == index) {
            return actions.push(Action::Dropped(DropReason::Duplicate));
        }
        self.gap_since.get_or_insert(now);
        if self.early.len() >= capacity {
            return self.resume(actions);
        }
        self.early.push(EarlyToken {
            index,
            text: text.to_owned(),
        });
    }

    /// Delivers the early tokens that are next now.
    pub(crate) fn close_gap(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(at) = self
            .early
            .iter()
            .position(|early| early.index == self.next_index)
        {
            let early = self.early.swap_remove(at);
            self.next_index += 1;
            actions.push(Action::Deliver(early.text));
        }
        let waits_for_end = self
            .end
            .is_some_and(|end| end.output_tokens > self.next_index);
        let gap_remains = waits_for_end || !self.early.is_empty();
        self.gap_since = gap_remains.then_some(now);
    }

    /// Forgets what the link held and asks for it again.
    pub(crate) fn resume(&mut self, actions: &mut Vec<Action>) {
        self.link = Link::Opening;
        self.early.clear();
        self.gap_since = None;
        self.end = None;
        actions.push(Action::Resume {
            from: self.next_index,
        });
    }
}
