//! A model of one upstream's life on three hosts: two that read the log, of which one is turned away at times, and one
//! that relies on them. Writes are carried out late and announcements are lost. Afterwards all hosts have to agree
//! with the upstream.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::ready;
use super::ready_ids;
use crate::clock::Time;
use crate::gateway::directory::AnnouncedList;
use crate::gateway::directory::Comparison;
use crate::gateway::directory::Departure;
use crate::gateway::directory::Directory;
use crate::gateway::directory::Upstream;
use crate::gateway::directory::UpstreamState;
use crate::gateway::instance::InstanceId;
use crate::id::UpstreamId;

/// The host that is turned away at times.
const TURNED_AWAY: usize = 0;
/// The host that relies on the others.
const RELYING: usize = 2;
/// Histories of this length are explored in full.
const SHORT: u32 = 5;
const LONG: usize = 24;
const LONG_HISTORIES: u64 = 20_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    ListItself,
    /// Lists itself and gets no answer; the log carries the write out with [`Step::ArriveLate`].
    LoseListing,
    ArriveLate,
    Drain,
    /// The entry is removed after a silence, and the upstream lives.
    Lapse,
    End,
    Restart,
    /// The log turns a host away, or takes it back.
    Turn,
    /// Readers announce their lists, and hosts tell each other of departures.
    Announce,
    Pass,
}

const STEPS: [Step; 10] = [
    Step::ListItself,
    Step::LoseListing,
    Step::ArriveLate,
    Step::Drain,
    Step::Lapse,
    Step::End,
    Step::Restart,
    Step::Turn,
    Step::Announce,
    Step::Pass,
];

struct Model {
    now: Time,
    log: Vec<Option<Upstream>>,
    /// The upstream's entry as the log has it.
    stored: Option<Upstream>,
    late: Option<Upstream>,
    /// The upstream's state by itself.
    own: Upstream,
    is_alive: bool,
    is_turned_away: bool,
    hosts: [Directory; 3],
}

impl Model {
    fn new() -> Self {
        let mut own = ready("a");
        own.id = InstanceId::new(UpstreamId::new("a"), Some(1));
        let mut model = Model {
            now: Time::from_ms(1_000),
            log: Vec::new(),
            stored: None,
            late: None,
            own,
            is_alive: true,
            is_turned_away: false,
            hosts: Default::default(),
        };
        model.step(Step::ListItself);
        model.announce();
        model
    }

    /// The upstream's next statement.
    fn state(&mut self) -> Upstream {
        self.own.sequence += 1;
        self.own.clone()
    }

    /// Writes a statement; the entry changes when more than its sequence number does.
    fn store(&mut self, statement: Upstream) {
        let is_same = self
            .stored
            .as_ref()
            .is_some_and(|stored| stored.eq_ignoring_cold(&statement));
        if !is_same {
            self.stored = Some(statement.clone());
            self.append(Some(statement));
        }
    }

    fn remove(&mut self) {
        if self.stored.take().is_some() {
            self.append(None);
        }
    }

    fn append(&mut self, record: Option<Upstream>) {
        let offset = self.log.len() as u64;
        self.log.push(record.clone());
        for (index, host) in self.hosts[..RELYING].iter_mut().enumerate() {
            if index != TURNED_AWAY || !self.is_turned_away {
                host.apply(self.now, &UpstreamId::new("a"), record.clone(), offset);
                host.advance(offset + 1);
            }
        }
    }

    fn turn(&mut self) {
        self.is_turned_away = !self.is_turned_away;
        let host = &mut self.hosts[TURNED_AWAY];
        if self.is_turned_away {
            host.mark_log_unreachable();
            return;
        }
        host.mark_log_reachable(self.now);
        let end = self.log.len() as u64;
        let listed = self.stored.clone().map(|stored| (stored, (end - 1).into()));
        host.replace(self.now, listed.into_iter().collect(), end);
    }

    fn announce(&mut self) {
        for from in 0..RELYING {
            if from == TURNED_AWAY && self.is_turned_away {
                continue;
            }
            let (readers, relying) = self.hosts.split_at_mut(RELYING);
            let (reader, relying) = (&readers[from], &mut relying[0]);
            let changes = reader.recent_changes(self.now);
            let announced = AnnouncedList {
                position: reader.complete_to(),
                digest: reader.digest(),
                changes: &changes,
            };
            if relying.merge_announced(self.now, announced).1 != Comparison::UpToDate
                && reader.complete_to() >= relying.position()
            {
                relying.replace(self.now, reader.list_all(), reader.complete_to());
            }
        }
        for from in 0..self.hosts.len() {
            let host = &self.hosts[from];
            let mut told: Vec<Departure> = host.announced_leaving(self.now).collect();
            // As a carrier tells who asks it for a connection.
            let listed = self.hosts.iter().flat_map(|host| host.all_ready());
            told.extend(listed.filter_map(|upstream| host.departure(&upstream.id)));
            for (to, host) in self.hosts.iter_mut().enumerate() {
                for departure in told.iter().filter(|_| to != from) {
                    if host.get(&departure.id).is_some() {
                        host.receive_departure(self.now, departure);
                    }
                }
            }
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now = self.now + time;
        for host in &mut self.hosts {
            host.expire(self.now);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::ListItself if self.is_alive => {
                let statement = self.state();
                self.store(statement);
            }
            Step::LoseListing if self.is_alive && self.late.is_none() => {
                self.late = Some(self.state());
            }
            Step::ArriveLate => {
                if let Some(late) = self.late.take() {
                    self.store(late);
                }
            }
            Step::Drain if self.is_alive => {
                self.own.state = UpstreamState::Leaving;
                let statement = self.state();
                self.store(statement);
            }
            Step::Lapse => self.remove(),
            Step::End => {
                self.is_alive = false;
                self.remove();
            }
            Step::Restart => {
                let born_ms = self.own.id.born_ms().map(|born_ms| born_ms + 1);
                self.own.id = InstanceId::new(UpstreamId::new("a"), born_ms);
                self.own.state = UpstreamState::Ready;
                self.own.sequence = 0;
                self.is_alive = true;
                let statement = self.state();
                self.store(statement);
            }
            Step::Turn => self.turn(),
            Step::Announce => self.announce(),
            Step::Pass => self.pass(Duration::from_millis(700)),
            Step::ListItself | Step::LoseListing | Step::Drain => {}
        }
    }

    /// Ends all disruptions. An upstream that lives lists itself, and the entry of one that doesn't lapses.
    fn settle(&mut self) {
        self.step(Step::ArriveLate);
        if self.is_turned_away {
            self.turn();
        }
        match self.is_alive {
            true => self.step(Step::ListItself),
            false => self.remove(),
        }
        for _ in 0..4 {
            self.announce();
            self.pass(Duration::from_millis(900));
        }
    }

    /// How a host disagrees with the upstream or with the other hosts after all has settled.
    fn disagreement(&self) -> Option<String> {
        let takes_work = self.is_alive && self.own.state == UpstreamState::Ready;
        let expected: &[&str] = if takes_work { &["a"] } else { &[] };
        let digest = self.hosts[1].digest();
        let mut hosts = self.hosts.iter().enumerate();
        hosts.find_map(|(index, host)| {
            let is_right = ready_ids(host) == expected && host.digest() == digest;
            (!is_right).then(|| {
                let lists = self.hosts.each_ref().map(|host| host.list_all());
                format!("host {index}, expected {expected:?}: {lists:#?}")
            })
        })
    }

    /// Whether a host that knows of the upstream's departure from the log gives it work.
    fn gives_work_late(&self) -> bool {
        let is_stated = self.own.state == UpstreamState::Leaving && self.is_alive;
        let has_read = |record: &Option<Upstream>| {
            record
                .as_ref()
                .is_some_and(|it| it.id == self.own.id && it.state == UpstreamState::Leaving)
        };
        let reader = &self.hosts[1];
        is_stated && self.log.iter().any(has_read) && !ready_ids(reader).is_empty()
    }
}

fn play(history: &[Step]) -> Result<(), String> {
    let mut model = Model::new();
    for step in history {
        model.step(*step);
        if model.gives_work_late() {
            return Err(format!("{history:?}: work after the leaving notice"));
        }
    }
    model.settle();
    match model.disagreement() {
        Some(reason) => Err(format!("{history:?}: {reason}")),
        None => Ok(()),
    }
}

// Guards against hosts that end at different beliefs about one upstream, over all short histories.
#[test]
fn hosts_agree_with_the_upstream_after_each_short_history() {
    let count = STEPS.len().pow(SHORT);
    let history = |number: usize| -> Vec<Step> {
        let digits = (0..SHORT).map(|digit| number / STEPS.len().pow(digit) % STEPS.len());
        digits.map(|digit| STEPS[digit]).collect()
    };

    let failed = (0..count).find_map(|number| play(&history(number)).err());

    assert_eq!(failed, None);
}

// Guards against the same over long histories, drawn from fixed seeds.
#[test]
fn hosts_agree_with_the_upstream_after_long_histories() {
    let history = |seed: u64| -> Vec<Step> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        (0..LONG)
            .map(|_| STEPS[rng.random_range(0..STEPS.len())])
            .collect()
    };

    let failed = (0..LONG_HISTORIES).find_map(|seed| play(&history(seed)).err());

    assert_eq!(failed, None);
}
