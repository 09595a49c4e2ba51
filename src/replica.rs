//! A host's replica of the table, as a pure decision.
//!
//! Its offset never falls. It folds the stream without a gap; where retention left one, it goes on
//! from a snapshot or a peer's table of the same stream, if that is further on. It takes nothing
//! from a log or a peer whose history differs from its own.

use crate::event::EventCode;
use crate::fold::Outcome;
use crate::follower::StreamEvent;
use crate::id::Offset;
use crate::offer::Offer;
use crate::peer::ConfigTail;
use crate::platform::ReadAnswer;
use crate::platform::Record;
use crate::snapshot;
use crate::snapshot::SnapshotKeeper;
use crate::snapshot::SnapshotOptions;
use crate::table::Table;
use crate::table::origin_of;
use crate::tail::Tail;

/// What happens to a replica.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The configuration stream was read, or could not be.
    Stream(StreamEvent),
    /// A peer answered with what this host lacks.
    Offer(ConfigTail),
}

/// What a replica wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Put [`Replica::table`] in force; said at most once a step.
    Publish,
    /// Record an event.
    Record {
        /// Its code.
        code: EventCode,
        /// The offset it concerns.
        offset: Offset,
        /// Words for a person.
        detail: String,
    },
    /// Follow the stream anew from this offset, to see whether it shows the old history again.
    Follow(Offset),
    /// A record was folded.
    Folded {
        /// The record's offset.
        offset: Offset,
        /// When it was appended, in milliseconds since the Unix epoch.
        appended_at_ms: u64,
        /// What came of it.
        outcome: Outcome,
    },
}

/// A host's replica of the table.
#[derive(Debug)]
pub struct Replica {
    table: Option<Table>,
    /// Records that don't follow on the table: all until there is one, and those after a gap.
    pending: Option<Pending>,
    /// The host serves once it has reached this.
    target: Offset,
    has_head: bool,
    /// Where the log ended when it was last read.
    head: Offset,
    is_ready: bool,
    /// The log as read shows another history; it is followed anew until it shows the old one.
    has_foreign_records: bool,
    /// The log as followed shows another history; the follower delivers nothing meanwhile.
    is_foreign: bool,
    is_reachable: bool,
    tail: Tail,
    keeper: SnapshotKeeper,
}

/// Records without a gap, from the first one that the platform retained.
#[derive(Debug, Default)]
struct Pending {
    first: Offset,
    records: Vec<Record>,
}

impl Pending {
    fn end(&self) -> Offset {
        self.records.last().map_or(self.first, |r| r.offset.next())
    }
}

impl Replica {
    /// A replica that holds nothing yet.
    pub fn new(options: SnapshotOptions) -> Self {
        Replica {
            table: None,
            pending: Some(Pending::default()),
            target: Offset(0),
            has_head: false,
            head: Offset(0),
            is_ready: false,
            has_foreign_records: false,
            is_foreign: false,
            is_reachable: false,
            tail: Tail::default(),
            keeper: SnapshotKeeper::new(options),
        }
    }

    /// The table, whether or not it may be served by.
    pub fn table(&self) -> Option<&Table> {
        self.table.as_ref()
    }

    /// The offset of the next record to fold; 0 without a table.
    pub fn next_offset(&self) -> Offset {
        self.table.as_ref().map_or(Offset(0), |table| table.next)
    }

    /// Whether the host may serve. Once it may, it always may.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Why the host may not serve, or what is wrong although it does; empty if all is well.
    pub fn reason(&self) -> String {
        let next = self.next_offset();
        if self.is_foreign || self.has_foreign_records {
            return format!("the log has another history than the table as of offset {next}");
        }
        match &self.pending {
            Some(pending) if self.table.is_some() => format!(
                "the log's records from offset {next} to {} are gone, and no snapshot covers them",
                pending.first
            ),
            _ if self.is_ready => String::new(),
            Some(_) if !self.has_head => {
                "the platform's log was not reached and no peer sent a table".to_owned()
            }
            Some(pending) if pending.end() < self.target => {
                format!("read to {} of {}", pending.end(), self.target)
            }
            Some(pending) => format!(
                "the log starts at offset {} and holds no snapshot to start from",
                pending.first
            ),
            None if next < self.target => format!("folded to {next} of {}", self.target),
            None => "the table is empty".to_owned(),
        }
    }

    /// The snapshot to append, if one is due at wall-clock time `wall_ms`.
    pub fn snapshot_due(&self, wall_ms: u64) -> Option<&Table> {
        let is_own = !self.is_foreign && !self.has_foreign_records;
        let may_append = self.is_ready && self.is_reachable && is_own;
        // A log that ends before the table, as one that was wiped, gets no snapshot of it.
        let is_whole = self.pending.is_none() && self.head >= self.next_offset();
        let is_due = may_append && is_whole && self.keeper.is_due(wall_ms);
        self.table.as_ref().filter(|_| is_due)
    }

    /// The account of snapshots.
    pub fn keeper(&self) -> &SnapshotKeeper {
        &self.keeper
    }

    /// What a peer lacks that has folded up to `next`.
    pub fn tail(&self, next: Offset) -> ConfigTail {
        match &self.table {
            Some(table) => self.tail.answer(table, next),
            None => ConfigTail::default(),
        }
    }

    /// The last records, to answer peers from.
    pub(crate) fn last_records(&self) -> &Tail {
        &self.tail
    }

    /// Decides what follows from `input`.
    pub fn step(&mut self, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        let before = (self.next_offset(), self.is_ready, self.reason());
        match input {
            Input::Stream(event) => self.stream(event, &mut actions),
            Input::Offer(tail) => self.offer(tail, &mut actions),
        }
        self.settle(&mut actions);
        if before != (self.next_offset(), self.is_ready, self.reason()) {
            actions.push(Action::Publish);
        }
        actions
    }

    fn stream(&mut self, event: StreamEvent, actions: &mut Vec<Action>) {
        match event {
            StreamEvent::Read(answer) => self.read(answer, actions),
            StreamEvent::Gap { first_retained, .. } => self.gap(first_retained, actions),
            StreamEvent::Unreachable => {
                self.is_reachable = false;
                self.note(EventCode::ConfigLogUnreachable, "", actions);
            }
            StreamEvent::Foreign { head } => {
                self.is_foreign = true;
                let detail = format!("the log ends at {head} or differs");
                self.note(EventCode::ConfigForeign, &detail, actions);
            }
        }
    }

    fn read(&mut self, answer: ReadAnswer, actions: &mut Vec<Action>) {
        if !self.is_reachable {
            self.note(EventCode::ConfigLogReachable, "", actions);
        }
        self.is_reachable = true;
        self.is_foreign = false;
        if answer.records.iter().any(|record| self.differs(record)) {
            self.foreign_records(actions);
            return;
        }
        if self.has_foreign_records && !answer.records.iter().any(|r| self.is_known(r)) {
            return;
        }
        self.has_foreign_records = false;
        self.keeper.retained(answer.first_retained);
        if !self.has_head {
            self.target = self.target.max(answer.head);
        }
        self.has_head = true;
        self.head = answer.head;
        match &mut self.pending {
            Some(pending) => pending.records.extend(answer.records),
            None => self.follow(answer.records, actions),
        }
    }

    /// Whether a record that was folded before has another text now.
    fn differs(&self, record: &Record) -> bool {
        let own_origin = self.table.as_ref().map_or(0, |table| table.origin);
        let is_other_origin =
            record.offset == Offset(0) && own_origin != 0 && origin_of(record) != own_origin;
        let folded = self.tail.record(record.offset);
        is_other_origin || folded.is_some_and(|folded| folded.data != record.data)
    }

    /// Whether a record is one that was folded before.
    fn is_known(&self, record: &Record) -> bool {
        self.tail
            .record(record.offset)
            .is_some_and(|folded| folded.data == record.data)
    }

    /// The log shows another history: nothing of it is taken until it shows the old one again.
    fn foreign_records(&mut self, actions: &mut Vec<Action>) {
        if !self.has_foreign_records {
            let detail = "a record of the log differs from the one folded";
            self.note(EventCode::ConfigForeign, detail, actions);
        }
        self.has_foreign_records = true;
        let last = self.next_offset().0.saturating_sub(1);
        actions.push(Action::Follow(Offset(last)));
    }

    fn gap(&mut self, first_retained: Offset, actions: &mut Vec<Action>) {
        if self.table.is_some() && first_retained <= self.next_offset() {
            return;
        }
        if self.table.is_some() {
            let detail = format!("the log starts at {first_retained}");
            self.note(EventCode::ConfigGap, &detail, actions);
        }
        // A start may be chosen only among all snapshots up to the head as of now.
        self.has_head = false;
        self.pending = Some(Pending {
            first: first_retained,
            records: Vec::new(),
        });
    }

    fn offer(&mut self, tail: ConfigTail, actions: &mut Vec<Action>) {
        if !self.is_ready {
            self.target = self.target.max(tail.next);
        }
        if tail.next <= self.next_offset() {
            return;
        }
        let before = self.next_offset();
        match Offer::of(&tail, self.table.as_ref()) {
            Offer::Nothing => return,
            Offer::Refused(code, detail) => return self.note(code, detail, actions),
            Offer::Records => {
                self.table.get_or_insert_default();
            }
            Offer::Table(table) => self.adopt(*table),
        }
        self.follow(tail.records, actions);
        if self.next_offset() > before {
            let detail = format!("from offset {before}");
            self.note(EventCode::ConfigFromPeer, &detail, actions);
        }
    }

    /// Folds the records that follow on the table and passes by the others.
    fn follow(&mut self, records: Vec<Record>, actions: &mut Vec<Action>) {
        for record in records {
            if self.table.is_some() && record.offset == self.next_offset() {
                self.fold(record, actions);
            }
        }
    }

    fn fold(&mut self, record: Record, actions: &mut Vec<Action>) {
        let Some(table) = &mut self.table else {
            return;
        };
        let before = table.digest();
        let outcome = table.apply(&record);
        self.keeper.passed(&record);
        if let Outcome::Snapshot(header) = &outcome {
            let expected = match header.as_of == record.offset {
                true => Some(before),
                false => self.tail.digest_before(header.as_of),
            };
            if self.keeper.saw(&record, *header, expected) {
                let detail = format!("as of {} at {}", header.as_of, record.offset);
                self.note(EventCode::SnapshotDisagrees, &detail, actions);
            }
        }
        actions.push(Action::Folded {
            offset: record.offset,
            appended_at_ms: record.appended_at_ms,
            outcome,
        });
        self.tail.push(before, record);
    }

    /// Puts a table in the place of the one held.
    fn adopt(&mut self, table: Table) {
        self.table = Some(table);
        self.tail.clear();
    }

    /// Folds pending records once they follow on the table, or make one by themselves.
    fn settle(&mut self, actions: &mut Vec<Action>) {
        self.start(actions);
        let next = self.next_offset();
        let follows =
            self.table.is_some() && self.pending.as_ref().is_some_and(|p| p.first <= next);
        if follows {
            let pending = self.pending.take().unwrap_or_default();
            if pending.records.iter().any(|record| self.differs(record)) {
                self.foreign_records(actions);
            } else {
                self.follow(pending.records, actions);
            }
        }
        let next = self.next_offset();
        let has_rows = self.table.as_ref().is_some_and(|table| !table.is_empty());
        if !self.is_ready && has_rows && next >= self.target && self.pending.is_none() {
            self.is_ready = true;
            self.note(EventCode::ConfigReady, "", actions);
        }
    }

    /// Starts from the pending records alone, once they reach the head that was told.
    fn start(&mut self, actions: &mut Vec<Action>) {
        let Some(pending) = &self.pending else {
            return;
        };
        let follows = self.table.is_some() && pending.first <= self.next_offset();
        if !self.has_head || follows || pending.end() < self.target {
            return;
        }
        let Some(start) = snapshot::start_of(pending.first, &pending.records) else {
            return;
        };
        let own_origin = self.table.as_ref().map(|table| table.origin);
        if own_origin.is_some_and(|origin| origin != start.origin) {
            self.foreign_records(actions);
            return;
        }
        if self.table.is_none() || pending.end() > self.next_offset() {
            let pending = self.pending.take().unwrap_or_default();
            self.adopt(start);
            self.follow(pending.records, actions);
        }
    }

    fn note(&self, code: EventCode, detail: &str, actions: &mut Vec<Action>) {
        actions.push(Action::Record {
            code,
            offset: self.next_offset(),
            detail: detail.to_owned(),
        });
    }
}

#[cfg(test)]
mod tests;
