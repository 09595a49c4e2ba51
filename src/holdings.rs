//! Who holds which key: the fold of one claim stream over the window.

use std::collections::HashMap;

use crate::claim::ClaimEnd;
use crate::claim::ClaimKey;
use crate::claim::ClaimRecord;
use crate::claim::Holding;
use crate::claim::Summary;
use crate::id::ClaimId;
use crate::id::CustomerId;
use crate::id::Offset;
use crate::key::CLOCK_SKEW_MS;
use crate::key::IdempotencyKey;
use crate::platform::Record;

/// Claim ids kept for a key that can no longer win; older ones are dropped.
///
/// Dropping one is harmless: should its record arrive again and win, its holder releases it.
const VOID_CLAIMS_MAX: usize = 8;

/// Expired keys are dropped this many times a window.
const SWEEPS_PER_WINDOW: u64 = 16;

/// From when on the fold has seen every record, by the platform's clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Coverage {
    /// Nothing was read yet.
    #[default]
    Nothing,
    /// Every record appended later than this, in milliseconds since the Unix epoch.
    After(u64),
    /// Every record that ever was.
    Everything,
}

/// What a record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The claim holds its key now.
    Won(ClaimId),
    /// The claim came after another's.
    Lost(ClaimId, Holding),
    /// The claim was released before its record arrived.
    Void(ClaimId),
    /// The end of a claim is recorded.
    Ended(ClaimId),
    /// Nothing that matters.
    Nothing,
}

/// The fold of one claim stream.
#[derive(Debug, Default)]
pub struct Holdings {
    window_ms: u64,
    coverage: Coverage,
    next: Offset,
    time_ms: u64,
    swept_ms: u64,
    malformed: u64,
    customers: HashMap<CustomerId, u32>,
    entries: HashMap<EntryKey, Entry>,
}

/// A key in the fold. Customers are numbered, which keeps an entry small.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct EntryKey {
    customer: u32,
    key: IdempotencyKey,
}

#[derive(Debug, Default)]
struct Entry {
    state: EntryState,
    void: Vec<ClaimId>,
}

#[derive(Debug, Default)]
enum EntryState {
    #[default]
    Free,
    Held(ClaimId),
    Done(ClaimId, Box<Summary>),
    Failed(ClaimId),
}

impl Holdings {
    /// A fold that has read nothing and keeps keys for `window_ms`.
    pub fn new(window_ms: u64) -> Self {
        Holdings {
            window_ms,
            ..Holdings::default()
        }
    }

    /// The offset to read from next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// What the fold has seen without a gap.
    pub fn coverage(&self) -> Coverage {
        self.coverage
    }

    /// The latest time of the platform's clock in the stream, in milliseconds.
    pub fn time_ms(&self) -> u64 {
        self.time_ms
    }

    /// Records that could not be read; every host skips them alike.
    pub fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Keys kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Starts anew at `first`, from where on nothing will be missed.
    pub fn restart(&mut self, first: Offset, coverage: Coverage) {
        self.entries.clear();
        self.customers.clear();
        self.next = first;
        self.coverage = coverage;
    }

    /// Whether no claim on `key` can have been missed.
    ///
    /// No host dispatches under a claim that was appended earlier than the key's time less
    /// [`CLOCK_SKEW_MS`]. The same again allows for a step back of the platform's clock.
    pub fn covers(&self, key: IdempotencyKey) -> bool {
        match self.coverage {
            Coverage::Nothing => false,
            Coverage::After(unseen_ms) => key.created_ms() > unseen_ms + 2 * CLOCK_SKEW_MS,
            Coverage::Everything => true,
        }
    }

    /// Who holds `key`, if anybody does.
    pub fn holding(&self, key: &ClaimKey) -> Option<Holding> {
        let customer = *self.customers.get(&key.customer)?;
        let entry = self.entries.get(&EntryKey {
            customer,
            key: key.key,
        })?;
        entry.holding()
    }

    /// Folds the record at [`Self::next`].
    pub fn apply(&mut self, record: &Record) -> Change {
        debug_assert_eq!(record.offset, self.next);
        self.next = record.offset.next();
        self.time_ms = self.time_ms.max(record.appended_at_ms);
        let change = match serde_json::from_str(&record.data) {
            Ok(ClaimRecord::Claim { key, claim, .. }) => self.entry(&key).claim(claim),
            Ok(ClaimRecord::Outcome { key, claim, end }) => self.entry(&key).end(claim, end),
            Ok(ClaimRecord::Mark { .. }) => Change::Nothing,
            Err(_) => {
                self.malformed += 1;
                Change::Nothing
            }
        };
        self.sweep();
        change
    }

    fn entry(&mut self, key: &ClaimKey) -> &mut Entry {
        let customer = self.customer_number(&key.customer);
        let key = key.key;
        self.entries.entry(EntryKey { customer, key }).or_default()
    }

    fn customer_number(&mut self, customer: &CustomerId) -> u32 {
        if let Some(number) = self.customers.get(customer) {
            return *number;
        }
        let number = u32::try_from(self.customers.len()).unwrap_or(u32::MAX);
        self.customers.insert(customer.clone(), number);
        number
    }

    /// Drops keys on which no claim can be dispatched any more.
    fn sweep(&mut self) {
        if self.time_ms < self.swept_ms + self.window_ms / SWEEPS_PER_WINDOW {
            return;
        }
        self.swept_ms = self.time_ms;
        let kept_ms = self.window_ms + 2 * CLOCK_SKEW_MS;
        let time_ms = self.time_ms;
        self.entries
            .retain(|entry, _| !entry.key.is_expired(time_ms, kept_ms));
        if self.entries.is_empty() {
            self.customers.clear();
        }
    }
}

impl Entry {
    fn holding(&self) -> Option<Holding> {
        match &self.state {
            EntryState::Free => None,
            EntryState::Held(_) => Some(Holding::Held),
            EntryState::Done(_, summary) => Some(Holding::Done(**summary)),
            EntryState::Failed(_) => Some(Holding::Failed),
        }
    }

    fn claim(&mut self, claim: ClaimId) -> Change {
        if self.holder() == Some(claim) {
            return Change::Nothing;
        }
        if self.void.contains(&claim) {
            return Change::Void(claim);
        }
        match self.holding() {
            Some(holding) => {
                self.make_void(claim);
                Change::Lost(claim, holding)
            }
            None => {
                self.state = EntryState::Held(claim);
                Change::Won(claim)
            }
        }
    }

    fn end(&mut self, claim: ClaimId, end: ClaimEnd) -> Change {
        match (&self.state, end) {
            (EntryState::Held(holder), ClaimEnd::Released) if *holder == claim => {
                self.state = EntryState::Free;
                self.make_void(claim);
            }
            (_, ClaimEnd::Released) => self.make_void(claim),
            // The claim's own record may have been lost to retention; its end still says that it ran.
            (EntryState::Free, _) => self.set_ended(claim, end),
            (EntryState::Held(holder), _) if *holder == claim => self.set_ended(claim, end),
            _ => {}
        }
        Change::Ended(claim)
    }

    fn set_ended(&mut self, claim: ClaimId, end: ClaimEnd) {
        self.state = match end {
            ClaimEnd::Done(summary) => EntryState::Done(claim, Box::new(summary)),
            ClaimEnd::Failed => EntryState::Failed(claim),
            ClaimEnd::Released => EntryState::Free,
        };
    }

    fn holder(&self) -> Option<ClaimId> {
        match self.state {
            EntryState::Free => None,
            EntryState::Held(claim) | EntryState::Done(claim, _) | EntryState::Failed(claim) => {
                Some(claim)
            }
        }
    }

    fn make_void(&mut self, claim: ClaimId) {
        if self.void.contains(&claim) {
            return;
        }
        if self.void.len() == VOID_CLAIMS_MAX {
            self.void.remove(0);
        }
        self.void.push(claim);
    }
}

#[cfg(test)]
mod tests;
