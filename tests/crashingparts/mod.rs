//! Parts of prompts that crash upstreams, in requests of which no two are alike.

#![allow(clippy::unwrap_used, reason = "fixtures of tests")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::code;
use crate::gatewayworld::Answer;
use crate::gatewayworld::Behaviour;
use crate::gatewayworld::Death;
use crate::gatewayworld::FakeLog;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route_to;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;

const HOSTS: usize = 4;
const HOSTS_OF_A_LARGE_FLEET: usize = 24;
const UPSTREAMS: usize = 12;
const UPSTREAMS_OF_A_LARGE_FLEET: usize = 24;
/// Time after which a crashed upstream's entry is removed and another upstream listed.
const REPLACED_AFTER: Duration = Duration::from_millis(400);
const POOL_INTERVAL: Duration = Duration::from_millis(5);
/// Pause of an upstream before the head of an answer and before each event.
const EVENT_PAUSE: Duration = Duration::from_millis(70);
const EVENTS: u64 = 5;

/// Crashes after which a part must be held back.
const CRASH_THRESHOLD: usize = 5;
/// Every host must act on what its peers know within this time.
const PROPAGATION_MAX: Duration = Duration::from_secs(3);
/// The most requests with a part that may reach upstreams once all hosts must know of its crashes.
const LATE_REQUESTS_MAX: usize = 3;
/// Time after the crash that makes a part known, from which requests without it must be served again.
const RECOVERY_MAX: Duration = PROPAGATION_MAX.saturating_mul(2);
/// Share of the requests served without the fault that must be served from then on.
const SERVED_RATIO_MIN: f64 = 0.5;
/// The fewest requests of which a share says something.
const SAMPLE_MIN: usize = 20;
/// Sound requests after the recovery that make a sample of each part.
const AFTERWARDS_MIN: usize = 100;
/// Crashing requests with each part that are sent at a time, so often at most, while there are fewer of those.
const MORE_CRASHING: u32 = 10;
const MORE_STRIKES_MAX: usize = 6;

const SOUND_PER_S: u32 = 40;
/// Requests before the fault.
const SOUND_BEFORE: u32 = 60;
/// Threads that send. More than requests that run at the same time.
const CALLERS: usize = 32;

/// Parts that begin prompts, and parts that stand in their middle.
const FIRST_PARTS: [&str; 3] = ["f1", "f2", "f3"];
const OTHER_PARTS: [&str; 8] = ["b1", "b2", "b3", "b4", "b5", "b6", "b7", "b8"];

/// Which place a crashing part takes in a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    First,
    Middle,
}

/// The parts that crash upstreams, and how.
#[derive(Debug, Clone, Copy)]
struct CrashingParts {
    parts: &'static [&'static str],
    place: Place,
    death: Death,
    /// Requests a second with each of them.
    per_s: u32,
}

/// A request to be sent.
#[derive(Debug, Clone)]
struct Planned {
    after: Duration,
    id: String,
    /// Its place in the order in which requests go to the hosts in turn.
    number: usize,
    is_crashing: bool,
    parts: String,
}

/// A request that was sent.
#[derive(Debug, Clone)]
struct Sent {
    at: Instant,
    ended_at: Instant,
    id: String,
    is_crashing: bool,
    parts: String,
    /// Its host had run for long enough to know the load of upstreams by its peers.
    host_has_run: bool,
    answer: Answer,
}

impl Sent {
    fn is_served(&self) -> bool {
        self.answer.status == 200 && self.answer.whole
    }

    fn has_part(&self, part: &str) -> bool {
        let mut ids = self.parts.split([',', ':']).step_by(2);
        ids.any(|id| id == part)
    }
}

/// Upstreams that some parts crash. Each crashed upstream is replaced by a new one.
struct Pool {
    log: FakeLog,
    crashing: CrashingParts,
    /// All upstreams, those that crashed too.
    started: Vec<FakeUpstream>,
    replaced: BTreeSet<usize>,
}

impl Pool {
    fn start(log: &FakeLog, upstreams: usize, crashing: CrashingParts) -> Self {
        let mut pool = Pool {
            log: log.clone(),
            crashing,
            started: Vec::new(),
            replaced: BTreeSet::new(),
        };
        for _ in 0..upstreams {
            pool.start_upstream();
        }
        pool
    }

    fn start_upstream(&mut self) {
        let id = format!("up-{:03}", self.started.len());
        let answer = Behaviour::PacedEvents {
            to: EVENTS,
            pause: EVENT_PAUSE,
        };
        let CrashingParts { parts, death, .. } = self.crashing;
        let upstream = FakeUpstream::mortal_by_parts(&id, answer, parts, death, EVENT_PAUSE);
        self.log.put("upstreams", &id, &upstream.entry("ready"));
        self.started.push(upstream);
    }

    /// Replaces crashed upstreams until `done`.
    fn replace_crashed(&mut self, done: &AtomicBool) {
        while !done.load(Ordering::Relaxed) {
            for index in 0..self.started.len() {
                let crash = self.started[index].crash();
                let is_due = crash.is_some_and(|crash| crash.at.elapsed() >= REPLACED_AFTER);
                if is_due && self.replaced.insert(index) {
                    let id = self.started[index].id().to_owned();
                    self.log.put("upstreams", &id, &Value::Null);
                    self.start_upstream();
                }
            }
            std::thread::park_timeout(POOL_INTERVAL);
        }
    }

    /// When a part crashed upstreams, in order.
    fn crashes(&self, part: &str) -> Vec<Instant> {
        let crashes = self.started.iter().filter_map(FakeUpstream::crash);
        let of_part = crashes.filter(|crash| crash.cause == part);
        let mut times: Vec<Instant> = of_part.map(|crash| crash.at).collect();
        times.sort();
        times
    }

    /// The crash by which a part is known: the fifth, or the last if there are fewer.
    fn known_at(&self, part: &str) -> Option<Instant> {
        let crashes = self.crashes(part);
        crashes.into_iter().take(CRASH_THRESHOLD).next_back()
    }

    /// Requests with a part that reached upstreams once all hosts had to know of five crashes.
    fn late_requests(&self, part: &str) -> usize {
        let crashes = self.crashes(part);
        let Some(fifth) = crashes.get(CRASH_THRESHOLD - 1) else {
            return 0;
        };
        let seen = self.started.iter().flat_map(FakeUpstream::seen);
        let with_part = seen.filter(|request| request.shares(part));
        with_part
            .filter(|request| request.at > *fifth + PROPAGATION_MAX)
            .count()
    }

    /// When an upstream crashed that a request had reached, by the request's id.
    fn struck(&self) -> BTreeMap<String, Instant> {
        let mut struck = BTreeMap::new();
        for upstream in &self.started {
            let Some(crash) = upstream.crash() else {
                continue;
            };
            for request in upstream.seen() {
                let id = request.header("request-id").unwrap_or("");
                struck.insert(id.to_owned(), crash.at);
            }
        }
        struck
    }
}

/// Hosts with a pool of upstreams, and callers that send to the hosts in turn.
struct Deployment {
    hosts: Vec<World>,
    pool: Pool,
    crashing: CrashingParts,
    /// When the hosts started, if they have replaced others.
    replaced_at: Option<Instant>,
    planned: usize,
    /// What was sent before the fault, and from then on.
    sent_before: Vec<Sent>,
    sent: Vec<Sent>,
}

impl Deployment {
    /// Hosts that serve sound requests.
    fn start(hosts: usize, upstreams: usize, crashing: CrashingParts) -> Self {
        let hosts = World::start_fleet(hosts);
        let pool = Pool::start(&hosts[0].log, upstreams, crashing);
        let routes = json!([route_to("stream", "reports")]);
        hosts[0].log.put("operator", "table", &table(1, routes));
        let mut deployment = Deployment {
            hosts,
            pool,
            crashing,
            replaced_at: None,
            planned: 0,
            sent_before: Vec::new(),
            sent: Vec::new(),
        };
        deployment.wait_until_serving();
        let before = deployment.plan_sound(SOUND_BEFORE);
        deployment.sent_before = deployment.send(before);
        deployment
    }

    fn wait_until_serving(&self) {
        for (index, host) in self.hosts.iter().enumerate() {
            assert!(wait_until(|| host.is_ready()), "a host is not ready");
            let probe = request(&format!("probe-{index}"), "f1:400,e0:100");
            assert!(wait_until(|| ask(host.callers(), &probe).status == 200));
        }
    }

    /// Replaces all hosts by new ones, whose only source of evidence is the log.
    fn replace_hosts(&mut self) {
        let count = self.hosts.len();
        self.hosts.clear();
        self.hosts = World::start_fleet_at(&self.pool.log, count);
        self.replaced_at = Some(Instant::now());
        self.wait_until_serving();
    }

    fn next_number(&mut self) -> usize {
        self.planned += 1;
        self.planned
    }

    /// So many sound requests at their rate.
    fn plan_sound(&mut self, count: u32) -> Vec<Planned> {
        let plan = |index| {
            let number = self.next_number();
            let [other, another] = other_parts(number);
            planned(
                index,
                SOUND_PER_S,
                number,
                &[first_part(number), other, another],
                false,
            )
        };
        (0..count).map(plan).collect()
    }

    /// So many requests with each crashing part at their rate.
    fn plan_crashing(&mut self, count: u32) -> Vec<Planned> {
        let CrashingParts { parts, place, .. } = self.crashing;
        let per_s = self.crashing.per_s;
        let mut all = Vec::new();
        for index in 0..count {
            for part in parts {
                let number = self.next_number();
                let [other, another] = other_parts(number);
                let parts = match (place, number % 2) {
                    (Place::First, _) => [part, other, another],
                    (Place::Middle, 0) => [FIRST_PARTS[0], part, other],
                    (Place::Middle, _) => [FIRST_PARTS[0], other, part],
                };
                all.push(planned(index, per_s, number, &parts, true));
            }
        }
        all
    }

    /// Sends crashing requests, so many with each part, and sound ones for as long.
    fn strike(&mut self, crashing: u32) {
        let mut plan = self.plan_crashing(crashing);
        plan.extend(self.plan_sound(crashing * SOUND_PER_S / self.crashing.per_s));
        plan.sort_by_key(|planned| planned.after);
        let sent = self.send(plan);
        self.sent.extend(sent);
    }

    /// The same, and goes on until enough sound requests were sent after the recovery.
    fn strike_until_recovered(&mut self, crashing: u32) {
        self.strike(crashing);
        for _ in 0..MORE_STRIKES_MAX {
            if self.sent_afterwards().len() >= AFTERWARDS_MIN {
                return;
            }
            self.strike(MORE_CRASHING);
        }
    }

    /// Sends requests to the hosts in turn, each at its time.
    fn send(&mut self, plan: Vec<Planned>) -> Vec<Sent> {
        let hosts: Vec<SocketAddr> = self.hosts.iter().map(World::callers).collect();
        let replaced_at = self.replaced_at;
        let next = AtomicUsize::new(0);
        let sent = Mutex::new(Vec::new());
        let done = AtomicBool::new(false);
        let started = Instant::now();
        let call = || {
            loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                let Some(planned) = plan.get(index) else {
                    return;
                };
                std::thread::sleep(planned.after.saturating_sub(started.elapsed()));
                let at = Instant::now();
                let host = hosts[planned.number % hosts.len()];
                let host_has_run =
                    replaced_at.is_none_or(|replaced| replaced + PROPAGATION_MAX < at);
                let answer = ask(host, &request(&planned.id, &planned.parts));
                sent.lock().unwrap().push(Sent {
                    at,
                    ended_at: Instant::now(),
                    id: planned.id.clone(),
                    is_crashing: planned.is_crashing,
                    parts: planned.parts.clone(),
                    host_has_run,
                    answer,
                });
            }
        };
        std::thread::scope(|scope| {
            scope.spawn(|| self.pool.replace_crashed(&done));
            let callers: Vec<_> = (0..CALLERS).map(|_| scope.spawn(call)).collect();
            for caller in callers {
                caller.join().unwrap();
            }
            done.store(true, Ordering::Relaxed);
        });
        sent.into_inner().unwrap()
    }

    /// From when on all parts had to be held back, and requests without them served.
    fn recovered_at(&self) -> Instant {
        let parts = self.crashing.parts.iter();
        let known = parts.map(|part| self.pool.known_at(part).expect("a crash"));
        known.max().unwrap() + RECOVERY_MAX
    }

    /// Sound requests during the fault.
    fn sent_sound(&self) -> Vec<&Sent> {
        let sound = self.sent.iter().filter(|sent| !sent.is_crashing);
        sound.collect()
    }

    /// Those after the recovery.
    fn sent_afterwards(&self) -> Vec<&Sent> {
        let recovered_at = self.recovered_at();
        let mut sound = self.sent_sound();
        sound.retain(|sent| sent.at >= recovered_at);
        sound
    }

    /// Those before the recovery that weren't served although no upstream crashed under them.
    fn unserved_beside_crashes(&self) -> Vec<&Sent> {
        let recovered_at = self.recovered_at();
        let struck = self.pool.struck();
        let mut sound = self.sent_sound();
        sound.retain(|sent| sent.at < recovered_at && sent.host_has_run);
        sound.retain(|sent| {
            let crashed_at = struck.get(&sent.id);
            !sent.is_served() && crashed_at.is_none_or(|crashed| *crashed > sent.ended_at)
        });
        sound
    }

    /// Checks that the parts are held back and that requests without them are served.
    fn check(&self) {
        let parts = || self.crashing.parts.iter();
        let late: Vec<usize> = parts().map(|part| self.pool.late_requests(part)).collect();
        let crashes: Vec<usize> = parts().map(|part| self.pool.crashes(part).len()).collect();
        let afterwards = self.sent_afterwards();
        let unserved = self.unserved_beside_crashes();
        let share_before = served_share(&self.sent_before.iter().collect::<Vec<_>>());
        let figures = format!(
            "crashes {crashes:?}, {late:?} late requests; sound requests served: {share_before:.2} before, {:.2} in all, \
             {:.2} of {} afterwards; unserved beside crashes: {:?}",
            served_share(&self.sent_sound()),
            served_share(&afterwards),
            afterwards.len(),
            outcomes(&unserved),
        );

        assert!(
            late.iter().all(|late| *late <= LATE_REQUESTS_MAX),
            "{figures}"
        );
        for part in FIRST_PARTS.into_iter().chain(OTHER_PARTS) {
            let mut with_part = afterwards.clone();
            with_part.retain(|sent| sent.has_part(part));
            let (share, sent) = (served_share(&with_part), with_part.len());
            assert!(sent >= SAMPLE_MIN, "{sent} with {part}; {figures}");
            assert!(
                share >= share_before * SERVED_RATIO_MIN,
                "{share:.2} with {part}; {figures}"
            );
        }
        assert!(unserved.is_empty(), "{figures}");
    }
}

fn first_part(number: usize) -> &'static str {
    FIRST_PARTS[number % FIRST_PARTS.len()]
}

/// Two parts that differ.
fn other_parts(number: usize) -> [&'static str; 2] {
    let count = OTHER_PARTS.len();
    let distance = 1 + number / count % (count - 1);
    [number, number + distance].map(|index| OTHER_PARTS[index % count])
}

/// The request `index` of those sent at this rate, with a last part of its own.
fn planned(index: u32, per_s: u32, number: usize, parts: &[&str], is_crashing: bool) -> Planned {
    let mut all: Vec<String> = parts.iter().map(|part| format!("{part}:400")).collect();
    all.push(format!("e{number:x}:100"));
    Planned {
        after: Duration::from_secs(1) * index / per_s,
        id: format!("r-{number}"),
        number,
        is_crashing,
        parts: all.join(","),
    }
}

/// A generation with these parts in its prompt and a body that no other has.
fn request(id: &str, parts: &str) -> String {
    let body = format!("tighten for {id}");
    format!(
        "POST /nets/7 HTTP/1.1\r\nhost: a.example\r\nauthorization: Key key-1\r\nrequest-id: {id}\r\n\
         tokens: {EVENTS}\r\nprompt-tokens: 1300\r\nprompt-parts: {parts}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn served_share(sent: &[&Sent]) -> f64 {
    let served = sent.iter().filter(|sent| sent.is_served()).count();
    served as f64 / sent.len().max(1) as f64
}

/// How many requests ended in each way.
fn outcomes(sent: &[&Sent]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for sent in sent {
        let outcome = format!("{} {}", sent.answer.status, code(&sent.answer));
        *counts.entry(outcome).or_default() += 1;
    }
    counts
}

const PART: CrashingParts = CrashingParts {
    parts: &["c1"],
    place: Place::Middle,
    death: Death::AfterHead,
    per_s: 5,
};

// Guards against evidence that is kept by the whole content of a request alone: hosts remembered each request that
// crashed an upstream, and no two were alike.
#[test]
fn a_part_that_crashes_upstreams_is_held_back_in_requests_that_differ() {
    let mut deployment = Deployment::start(HOSTS, UPSTREAMS, PART);

    deployment.strike_until_recovered(50);

    deployment.check();
}

#[test]
fn a_first_part_that_crashes_upstreams_late_is_held_back() {
    let crashing = CrashingParts {
        place: Place::First,
        death: Death::AfterEvents(1),
        ..PART
    };
    let mut deployment = Deployment::start(HOSTS, UPSTREAMS, crashing);

    deployment.strike_until_recovered(50);

    deployment.check();
}

#[test]
fn two_parts_that_crash_upstreams_at_once_are_held_back() {
    let crashing = CrashingParts {
        parts: &["c1", "c2"],
        per_s: 3,
        ..PART
    };
    let mut deployment = Deployment::start(HOSTS, UPSTREAMS, crashing);

    deployment.strike_until_recovered(33);

    deployment.check();
}

#[test]
fn a_large_fleet_holds_back_a_part_that_crashes_upstreams() {
    let mut deployment =
        Deployment::start(HOSTS_OF_A_LARGE_FLEET, UPSTREAMS_OF_A_LARGE_FLEET, PART);

    deployment.strike_until_recovered(50);

    deployment.check();
}

// Guards against evidence that is kept in the hosts' memory alone.
#[test]
fn a_part_stays_held_back_after_all_hosts_are_replaced() {
    let mut deployment = Deployment::start(HOSTS, UPSTREAMS, PART);

    for crashing in [3, 25] {
        deployment.strike(crashing);
        deployment.replace_hosts();
    }
    deployment.strike_until_recovered(30);

    deployment.check();
}
