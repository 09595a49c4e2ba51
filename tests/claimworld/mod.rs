//! Several claimants over one fake log whose answers can be lost, late or repeated.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use uuid::Uuid;

use cedargauge::appender;
use cedargauge::appender::Appender;
use cedargauge::appender::AppenderOptions;
use cedargauge::appender::Entry;
use cedargauge::claim::ClaimEnd;
use cedargauge::claim::ClaimKey;
use cedargauge::claimant::Claimant;
use cedargauge::claimstep::Action;
use cedargauge::claimstep::Appending;
use cedargauge::claimstep::Ask;
use cedargauge::claimstep::ClaimAnswer;
use cedargauge::claimstep::ClaimOptions;
use cedargauge::claimstep::Input;
use cedargauge::clock::Time;
use cedargauge::event::EventCode;
use cedargauge::id::ClaimId;
use cedargauge::id::CustomerId;
use cedargauge::id::HostId;
use cedargauge::id::Incarnation;
use cedargauge::id::Offset;
use cedargauge::id::RequestId;
use cedargauge::key::IdempotencyKey;
use cedargauge::platform::AppendAnswer;
use cedargauge::platform::ReadAnswer;
use cedargauge::platform::Record;
use cedargauge::quota::Quota;

mod random;

/// Wall clock at the world's start, in milliseconds.
pub const START_MS: u64 = 1_796_000_000_000;

/// What becomes of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It is appended and answered.
    Settled,
    /// It is not appended, and the answer says so.
    Refused,
    /// It is appended; the answer is lost.
    AnswerLost,
    /// It is not appended; the answer is lost.
    Dropped,
    /// The answer is lost; it is appended later.
    Late,
    /// It is appended twice; the answer is lost.
    Doubled,
}

/// A host and what its claimant and its log client asked for.
pub struct Host {
    /// The decision.
    pub claimant: Claimant,
    /// The appends to the stream.
    pub appender: Appender,
    /// Their budget.
    pub quota: Quota,
    /// Records given to the appender that make a claim.
    pub claims: BTreeMap<Uuid, ClaimId>,
    /// The append that is under way.
    pub append: Option<Vec<String>>,
    /// Appends that will arrive yet.
    pub late: VecDeque<Vec<String>>,
    /// Added to the world's wall clock, in milliseconds.
    pub clock_offset_ms: i64,
}

/// What happened at a host, for a script or a property.
#[derive(Debug, Clone, PartialEq)]
pub struct Happened {
    /// Where.
    pub host: String,
    /// What.
    pub what: What,
}

/// What happened at a host.
#[derive(Debug, Clone, PartialEq)]
pub enum What {
    /// An append is on its way.
    Appends(Vec<String>),
    /// A caller is answered.
    Answers(ClaimId, ClaimAnswer),
    /// An event is recorded.
    Notes(EventCode, Offset),
}

/// A claim as the world knows it.
#[derive(Debug, Clone)]
pub struct Claimed {
    /// The host that asked.
    pub host: String,
    /// The key's name.
    pub key: String,
    /// The key.
    pub claim_key: ClaimKey,
    /// Wall clock when it was asked for.
    pub asked_ms: u64,
}

/// The hosts, the log and the clocks.
pub struct World {
    pub now_ms: u64,
    pub log: Vec<Record>,
    pub first_retained: usize,
    pub log_is_up: bool,
    pub options: ClaimOptions,
    pub hosts: BTreeMap<String, Host>,
    pub keys: BTreeMap<String, ClaimKey>,
    pub claims: BTreeMap<ClaimId, Claimed>,
    pub dispatched: Vec<ClaimId>,
    next_record: u64,
}

impl World {
    /// No host, an empty log.
    pub fn new() -> Self {
        World {
            now_ms: 0,
            log: Vec::new(),
            first_retained: 0,
            log_is_up: true,
            options: ClaimOptions::default(),
            hosts: BTreeMap::new(),
            keys: BTreeMap::new(),
            claims: BTreeMap::new(),
            dispatched: Vec::new(),
            next_record: 0,
        }
    }

    pub fn wall_ms(&self) -> u64 {
        START_MS + self.now_ms
    }

    /// Starts a host, or starts it anew with nothing remembered.
    pub fn start(&mut self, name: &str, clock_offset_ms: i64) {
        let host = Host {
            claimant: Claimant::new(
                HostId::from(name),
                Incarnation(self.wall_ms()),
                self.options.clone(),
            ),
            appender: Appender::new(AppenderOptions::default(), 7),
            quota: Quota::new(
                Time::from_ms(self.now_ms),
                10.0,
                1_000_000.0,
                Duration::from_millis(500),
            ),
            claims: BTreeMap::new(),
            append: None,
            late: VecDeque::new(),
            clock_offset_ms,
        };
        self.hosts.insert(name.to_owned(), host);
    }

    /// Makes a key, `age_ms` old.
    pub fn make_key(&mut self, name: &str, age_ms: i64) {
        let created_ms = self.wall_ms().saturating_add_signed(-age_ms);
        let number = self.keys.len() as u64 + 1;
        let claim_key = ClaimKey {
            customer: CustomerId::from("canton"),
            key: IdempotencyKey::from_parts(created_ms, number),
        };
        self.keys.insert(name.to_owned(), claim_key);
    }

    /// A caller asks `host` to run the request that `key` names.
    pub fn ask(&mut self, host: &str, key: &str, deadline_ms: u64) -> (ClaimId, Vec<Happened>) {
        let claim = ClaimId::from_u128(self.claims.len() as u128 + 1);
        let claimed = Claimed {
            host: host.to_owned(),
            key: key.to_owned(),
            claim_key: self.keys[key].clone(),
            asked_ms: self.wall_ms(),
        };
        let ask = Ask {
            request: RequestId::from_u128(self.claims.len() as u128 + 1),
            claim,
            key: claimed.claim_key.clone(),
            deadline: Time::from_ms(self.now_ms + deadline_ms),
        };
        self.claims.insert(claim, claimed);
        (claim, self.step(host, Input::Ask(ask)))
    }

    /// The fate of the append that `host` has under way.
    pub fn append(&mut self, host: &str, fate: Fate) -> Vec<Happened> {
        let Some(records) = self.host(host).append.take() else {
            return Vec::new();
        };
        let first_offset = Offset(self.log.len() as u64);
        match fate {
            Fate::Settled | Fate::AnswerLost => self.land(&records),
            Fate::Doubled => {
                self.land(&records);
                self.land(&records);
            }
            Fate::Late => self.host(host).late.push_back(records),
            Fate::Refused | Fate::Dropped => {}
        }
        let input = match fate {
            Fate::Settled => appender::Input::Appended(AppendAnswer { first_offset }),
            Fate::Refused => appender::Input::Refused,
            _ => appender::Input::Lost,
        };
        let mut happened = Vec::new();
        self.step_appender(host, input, &mut happened);
        happened
    }

    /// An append of `host` that was late arrives.
    pub fn arrive(&mut self, host: &str) {
        if let Some(records) = self.host(host).late.pop_front() {
            self.land(&records);
        }
    }

    /// What `host` would read now.
    pub fn read_answer(&mut self, host: &str) -> ReadAnswer {
        let from = self.host(host).claimant.next_offset();
        self.answer_from(from)
    }

    fn answer_from(&self, from: Offset) -> ReadAnswer {
        let from = usize::try_from(from.0).expect("offsets fit");
        let first = from.max(self.first_retained);
        ReadAnswer {
            records: self.log.get(first..).unwrap_or_default().to_vec(),
            first_retained: Offset(self.first_retained as u64),
            head: Offset(self.log.len() as u64),
        }
    }

    /// `host` reads to the head.
    pub fn read(&mut self, host: &str) -> Vec<Happened> {
        let read = self.read_answer(host);
        self.step(host, Input::Read(read))
    }

    /// Time passes at every host.
    pub fn advance(&mut self, ms: u64) -> Vec<Happened> {
        self.advance_but(ms, None)
    }

    /// Time passes, and a paused host does not notice.
    pub fn advance_but(&mut self, ms: u64, paused: Option<&str>) -> Vec<Happened> {
        self.now_ms += ms;
        let names = self.hosts.keys().cloned();
        let names = names.filter(|name| Some(name.as_str()) != paused);
        let names = names.collect::<Vec<_>>();
        let mut happened = Vec::new();
        for host in names {
            self.step_appender(&host, appender::Input::Wake, &mut happened);
            happened.extend(self.step(&host, Input::Tick));
        }
        happened
    }

    /// The request under `claim` is written to an upstream.
    pub fn dispatch(&mut self, claim: ClaimId) {
        self.dispatched.push(claim);
    }

    /// How often the key's request was written to an upstream.
    pub fn runs(&self, key: &str) -> usize {
        let of_key = |claim: &&ClaimId| self.claims[*claim].key == key;
        self.dispatched.iter().filter(of_key).count()
    }

    /// The request under `claim` ended.
    pub fn conclude(&mut self, claim: ClaimId, end: ClaimEnd) -> Vec<Happened> {
        let host = self.claims[&claim].host.clone();
        self.step(&host, Input::Conclude(claim, end))
    }

    /// Gives a host's claimant one input.
    pub fn step(&mut self, name: &str, input: Input) -> Vec<Happened> {
        let mut happened = Vec::new();
        self.step_claimant(name, input, &mut happened);
        happened
    }

    fn step_claimant(&mut self, name: &str, input: Input, happened: &mut Vec<Happened>) {
        let now = Time::from_ms(self.now_ms);
        let wall_ms = self.wall_ms();
        let host = self.host(name);
        let wall_ms = wall_ms.saturating_add_signed(host.clock_offset_ms);
        for action in host.claimant.step(now, wall_ms, input) {
            let what = match action {
                Action::Append(appending) => {
                    self.submit(name, appending, happened);
                    continue;
                }
                Action::Answer { claim, answer } => What::Answers(claim, answer),
                Action::Note { code, offset, .. } => What::Notes(code, offset),
            };
            let host = name.to_owned();
            happened.push(Happened { host, what });
        }
    }

    fn submit(&mut self, name: &str, appending: Appending, happened: &mut Vec<Happened>) {
        let id = Uuid::from_u128(u128::from(self.next_record));
        self.next_record += 1;
        let now = Time::from_ms(self.now_ms);
        if let Some(claim) = appending.claim {
            self.host(name).claims.insert(id, claim);
        }
        let entry = Entry {
            id,
            data: appending.data,
            expires_at: appending.wait_limit.map(|limit| now + limit),
        };
        self.step_appender(name, appender::Input::Submit(entry), happened);
    }

    /// Gives a host's log client one input. Its reads are answered at once.
    fn step_appender(&mut self, name: &str, input: appender::Input, happened: &mut Vec<Happened>) {
        let now = Time::from_ms(self.now_ms);
        let host = self.host(name);
        for action in host.appender.step(now, &mut host.quota, input) {
            match action {
                appender::Action::Append(records) => {
                    let host = self.host(name);
                    assert!(host.append.is_none(), "two appends in flight at {name}");
                    host.append = Some(records.clone());
                    let host = name.to_owned();
                    let what = What::Appends(records);
                    happened.push(Happened { host, what });
                }
                appender::Action::Read(from) => {
                    let input = match self.log_is_up {
                        true => appender::Input::Read(self.answer_from(from)),
                        false => appender::Input::ReadFailed,
                    };
                    self.step_appender(name, input, happened);
                }
                appender::Action::NotAppended(id) => {
                    if let Some(claim) = self.host(name).claims.remove(&id) {
                        self.step_claimant(name, Input::NotAppended(claim), happened);
                    }
                }
                appender::Action::Wake(_)
                | appender::Action::Settled(..)
                | appender::Action::Unsettled(_) => {}
            }
        }
    }

    fn host(&mut self, name: &str) -> &mut Host {
        self.hosts.get_mut(name).expect("no such host")
    }

    fn land(&mut self, records: &[String]) {
        let appended_at_ms = self.wall_ms();
        for data in records {
            self.log.push(Record {
                offset: Offset(self.log.len() as u64),
                appended_at_ms,
                data: data.clone(),
            });
        }
    }
}

/// The claims that `happened` gave the right to dispatch.
pub fn won(happened: &[Happened]) -> Vec<ClaimId> {
    let won = happened.iter().filter_map(|it| match it.what {
        What::Answers(claim, ClaimAnswer::Won) => Some(claim),
        _ => None,
    });
    won.collect()
}
