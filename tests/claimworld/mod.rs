//! Several claimants over one fake log whose answers can be lost, late or repeated.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use cedargauge::claim::ClaimEnd;
use cedargauge::claim::ClaimKey;
use cedargauge::claimant::Claimant;
use cedargauge::claimstep::Action;
use cedargauge::claimstep::Ask;
use cedargauge::claimstep::ClaimAnswer;
use cedargauge::claimstep::ClaimOptions;
use cedargauge::claimstep::Input;
use cedargauge::claimstep::ReadDone;
use cedargauge::clock::Time;
use cedargauge::id::ClaimId;
use cedargauge::id::CustomerId;
use cedargauge::id::HostId;
use cedargauge::id::Incarnation;
use cedargauge::id::Offset;
use cedargauge::id::RequestId;
use cedargauge::key::IdempotencyKey;
use cedargauge::platform::ReadAnswer;
use cedargauge::platform::Record;

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

/// A host and what its claimant asked for.
pub struct Host {
    /// The decision.
    pub claimant: Claimant,
    /// The append that is under way.
    pub append: Option<(u64, Vec<String>)>,
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
    pub action: Action,
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
    pub options: ClaimOptions,
    pub hosts: BTreeMap<String, Host>,
    pub keys: BTreeMap<String, ClaimKey>,
    pub claims: BTreeMap<ClaimId, Claimed>,
    pub dispatched: Vec<ClaimId>,
}

impl World {
    /// No host, an empty log.
    pub fn new() -> Self {
        World {
            now_ms: 0,
            log: Vec::new(),
            first_retained: 0,
            options: ClaimOptions::default(),
            hosts: BTreeMap::new(),
            keys: BTreeMap::new(),
            claims: BTreeMap::new(),
            dispatched: Vec::new(),
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
        let Some((batch, records)) = self.host(host).append.take() else {
            return Vec::new();
        };
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
            Fate::Settled => Input::AppendSettled(batch),
            Fate::Refused => Input::AppendRefused(batch),
            _ => Input::AppendLost(batch),
        };
        self.step(host, input)
    }

    /// An append of `host` that was late arrives.
    pub fn arrive(&mut self, host: &str) {
        if let Some(records) = self.host(host).late.pop_front() {
            self.land(&records);
        }
    }

    /// What `host` would read now.
    pub fn read_answer(&mut self, host: &str) -> ReadDone {
        let from = self.host(host).claimant.next_offset();
        let first = usize::try_from(from.0)
            .expect("offsets are small")
            .max(self.first_retained);
        let records = self.log.get(first..).unwrap_or_default().to_vec();
        ReadDone {
            began: Time::from_ms(self.now_ms),
            from,
            answer: ReadAnswer {
                records,
                first_retained: Offset(self.first_retained as u64),
                head: Offset(self.log.len() as u64),
            },
        }
    }

    /// `host` reads to the head.
    pub fn read(&mut self, host: &str) -> Vec<Happened> {
        let read = self.read_answer(host);
        self.step(host, Input::RecordsRead(read))
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
        let happened = names.iter().flat_map(|host| self.step(host, Input::Tick));
        happened.collect()
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

    /// Gives a host one input.
    pub fn step(&mut self, name: &str, input: Input) -> Vec<Happened> {
        let now = Time::from_ms(self.now_ms);
        let wall_ms = self.wall_ms();
        let host = self.host(name);
        let wall_ms = wall_ms.saturating_add_signed(host.clock_offset_ms);
        let actions = host.claimant.step(now, wall_ms, input);
        for action in &actions {
            if let Action::Append { batch, records } = action {
                assert!(host.append.is_none(), "two appends in flight at {name}");
                host.append = Some((*batch, records.clone()));
            }
        }
        let happened = actions.into_iter().map(|action| Happened {
            host: name.to_owned(),
            action,
        });
        happened.collect()
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
    let won = happened.iter().filter_map(|it| match &it.action {
        Action::Answer {
            claim,
            answer: ClaimAnswer::Won,
        } => Some(*claim),
        _ => None,
    });
    won.collect()
}
