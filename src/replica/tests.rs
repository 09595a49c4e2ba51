use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::Action;
use super::Input;
use super::Replica;
use crate::appender::AppenderOptions;
use crate::clock::Time;
use crate::event::EventCode;
use crate::follower;
use crate::follower::Follower;
use crate::follower::StreamEvent;
use crate::id::Offset;
use crate::platform::ReadAnswer;
use crate::platform::Record;
use crate::record::ConfigRecord;
use crate::record::Edit;
use crate::record::RowEdit;
use crate::record::Snapshot;
use crate::row::ClassRow;
use crate::row::Row;
use crate::snapshot::SnapshotOptions;
use crate::table::Digest;
use crate::table::Table;

const SEEDS: u64 = 60;
const STEPS: usize = 300;

#[test]
fn a_host_is_ready_only_at_the_head_it_was_told_of() {
    let mut log = Log::with_edits(3);
    let mut replica = Replica::new(SnapshotOptions::default());

    replica.step(Input::Stream(log.read(0, 2)));
    let early = (replica.is_ready(), replica.reason());
    replica.step(Input::Stream(log.read(2, 9)));

    assert_eq!(early, (false, "read to 2 of 3".to_owned()));
    assert!(replica.is_ready());
    assert_eq!(replica.table(), Some(&log.table()));
}

#[test]
fn a_wiped_log_that_grew_again_is_refused_and_the_old_one_taken_up_again() {
    let mut log = Log::with_edits(3);
    let mut replica = Replica::new(SnapshotOptions::default());
    replica.step(Input::Stream(log.read(0, 9)));
    let mut other = Log::with_edits(5);

    let refused = replica.step(Input::Stream(other.read(0, 9)));
    let more = replica.step(Input::Stream(other.read(3, 9)));
    log.edit();
    replica.step(Input::Stream(log.read(2, 9)));

    assert!(has_event(&refused, EventCode::ConfigForeign));
    assert!(refused.contains(&Action::Follow(Offset(2))));
    assert_eq!(more, []);
    assert_eq!(replica.table(), Some(&log.table()));
    assert_eq!(replica.reason(), "");
}

#[test]
fn a_peer_of_another_history_is_refused() {
    let mut log = Log::with_edits(2);
    let mut replica = Replica::new(SnapshotOptions::default());
    replica.step(Input::Stream(log.read(0, 9)));
    let mut stranger = Replica::new(SnapshotOptions::default());
    stranger.step(Input::Stream(Log::with_edits(5).read(0, 9)));

    let records = replica.step(Input::Offer(stranger.tail(Offset(2))));
    let mut whole = stranger.tail(Offset(0));
    whole.records.clear();
    whole.snapshot = snapshot_text(stranger.table().unwrap());
    let table = replica.step(Input::Offer(whole));

    assert!(has_event(&records, EventCode::ConfigForeign));
    assert!(has_event(&table, EventCode::ConfigForeign), "{table:?}");
    assert_eq!(replica.table(), Some(&log.table()));
}

/// Hosts read, lose the log, start anew and help one another in any order, while edits race,
/// snapshots, also lying ones, are appended and retention passes.
#[test]
fn at_equal_offsets_all_hosts_hold_the_same_and_offsets_never_fall() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        world.converge();
    }
}

struct World {
    rng: ChaCha8Rng,
    log: Log,
    hosts: Vec<Host>,
}

struct Host {
    replica: Replica,
    follower: Follower,
}

impl Host {
    fn new(seed: u64) -> Self {
        Host {
            replica: Replica::new(SnapshotOptions::default()),
            follower: Follower::new(AppenderOptions::default(), Offset(0), seed),
        }
    }

    fn take(&mut self, input: follower::Input) {
        for action in self.follower.step(Time::ZERO, input) {
            if let follower::Action::Tell(event) = action {
                self.replica.step(Input::Stream(event));
            }
        }
    }
}

impl World {
    fn new(seed: u64) -> Self {
        World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            log: Log::with_edits(1),
            hosts: (0..4).map(Host::new).collect(),
        }
    }

    fn step(&mut self) {
        let before: Vec<_> = self.offsets();
        let index = self.rng.random_range(0..self.hosts.len());
        let mut is_new = false;
        match self.rng.random_range(0..100) {
            0..30 => self.read(index),
            30..35 => self.hosts[index].take(follower::Input::Failed),
            35..50 => self.log.edit_from(&mut self.rng),
            50..53 => self.log.append("not a record"),
            53..60 => self.snapshot(index),
            60..62 => self.lie(),
            62..66 => self.retain(),
            66..70 => {
                self.hosts[index] = Host::new(index as u64);
                is_new = true;
            }
            _ => self.offer(index),
        }
        let after = self.offsets();
        for (host, (before, after)) in before.into_iter().zip(after).enumerate() {
            assert!(
                after >= before || (is_new && host == index),
                "an offset fell"
            );
        }
        self.check();
    }

    fn offsets(&self) -> Vec<Offset> {
        self.hosts.iter().map(|h| h.replica.next_offset()).collect()
    }

    fn read(&mut self, index: usize) {
        let count = self.rng.random_range(1..5);
        let host = &mut self.hosts[index];
        // After an outage the follower reads its last record again.
        let from = host.follower.next_offset().0.saturating_sub(1);
        let StreamEvent::Read(answer) = self.log.read(from, count + 1) else {
            return;
        };
        host.take(follower::Input::Read(answer));
    }

    fn snapshot(&mut self, index: usize) {
        let replica = &self.hosts[index].replica;
        if let Some(text) = replica
            .table()
            .filter(|_| replica.is_ready())
            .and_then(snapshot_text)
        {
            self.log.append(&text);
        }
    }

    /// A lie is only appended while honest snapshots outnumber it, as the keeper sees to.
    fn lie(&mut self) {
        let mut table = self.log.table();
        table.put(class(0, 999), Offset(0));
        if let Some(text) = snapshot_text(&table) {
            self.log.append(&text);
            for _ in 0..2 {
                self.log.honest_snapshot();
            }
        }
    }

    /// Retention passes, but never over the last honest snapshots.
    fn retain(&mut self) {
        self.log.honest_snapshot();
        self.log.honest_snapshot();
        let until = self.log.records.len() as u64 - 2;
        let from = self.rng.random_range(self.log.first_retained..=until);
        self.log.first_retained = from;
    }

    fn offer(&mut self, to: usize) {
        let from = self.rng.random_range(0..self.hosts.len());
        let next = self.hosts[to].replica.next_offset();
        let tail = self.hosts[from].replica.tail(next);
        self.hosts[to].replica.step(Input::Offer(tail));
    }

    fn check(&self) {
        for host in &self.hosts {
            if let Some(table) = host.replica.table() {
                let expected = self.log.digests[table.next.0 as usize];
                assert_eq!(table.digest(), expected, "at offset {}", table.next);
            }
        }
    }

    fn converge(&mut self) {
        self.log.honest_snapshot();
        for index in 0..self.hosts.len() {
            for _ in 0..self.log.records.len() {
                self.read(index);
            }
        }
        for host in &self.hosts {
            assert_eq!(host.replica.next_offset(), self.log.table().next);
            assert!(host.replica.is_ready(), "{}", host.replica.reason());
        }
    }
}

/// A log with the truth of its fold.
struct Log {
    records: Vec<Record>,
    first_retained: u64,
    tables: Vec<Table>,
    digests: Vec<Digest>,
}

impl Log {
    fn with_edits(count: usize) -> Self {
        let mut log = Log {
            records: Vec::new(),
            first_retained: 0,
            tables: vec![Table::default()],
            digests: vec![Digest::default()],
        };
        (0..count).for_each(|_| log.edit());
        log
    }

    fn table(&self) -> Table {
        self.tables[self.records.len()].clone()
    }

    /// Adds a row that isn't there yet.
    fn edit(&mut self) {
        let number = self.records.len() as u32 + 100;
        self.append_edit(&Edit::adding("olga", [class(number, 1)]));
    }

    /// Writes one of a few rows from its version as of now or some offsets ago.
    fn edit_from(&mut self, rng: &mut ChaCha8Rng) {
        let table = self.tables.iter().rev().take(3).collect::<Vec<_>>();
        let table = table.choose(rng).unwrap();
        let row = class(rng.random_range(0..3), rng.random_range(0..5));
        let base = table.version(&crate::record::RowKey::of(&row));
        self.append_edit(&Edit {
            rows: vec![RowEdit { base, row }],
            ..Edit::adding("olga", [])
        });
    }

    fn honest_snapshot(&mut self) {
        let text = snapshot_text(&self.table()).unwrap();
        self.append(&text);
    }

    fn append_edit(&mut self, edit: &Edit) {
        let text = ConfigRecord::Edit(edit.clone()).to_text().unwrap();
        self.append(&text);
    }

    fn append(&mut self, text: &str) {
        let record = Record {
            offset: Offset(self.records.len() as u64),
            appended_at_ms: 0,
            data: text.to_owned(),
        };
        let mut table = self.table();
        table.apply(&record);
        self.digests.push(table.digest());
        self.tables.push(table);
        self.records.push(record);
    }

    fn read(&mut self, from: u64, count: usize) -> StreamEvent {
        let from = from.max(self.first_retained) as usize;
        let records = self.records.iter().skip(from).take(count);
        StreamEvent::Read(ReadAnswer {
            records: records.cloned().collect(),
            first_retained: Offset(self.first_retained),
            head: Offset(self.records.len() as u64),
        })
    }
}

fn has_event(actions: &[Action], expected: EventCode) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Record { code, .. } if *code == expected))
}

fn snapshot_text(table: &Table) -> Option<String> {
    ConfigRecord::Snapshot(Snapshot::of(table)).to_text().ok()
}

fn class(number: u32, weight: u32) -> Row {
    Row::Class(ClassRow {
        class: format!("class-{number}").as_str().into(),
        weight,
        engine_priority: 1,
        max_wait_ms: 1_000,
    })
}
