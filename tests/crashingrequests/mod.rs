//! Requests that crash upstreams and that their callers repeat at any host.

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
use crate::gatewayworld::route;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;
use crate::post;
use crate::ran;

const CRASHING_BODY: &str = "exhausts the memory";
const HOSTS: usize = 4;
const UPSTREAMS: usize = 6;
/// Every host must act on what its peers know within this time of a disturbance.
const PROPAGATION_MAX: Duration = Duration::from_secs(3);
/// The most repeats of a request with three known crashes that may still be sent.
const RETRIES_MAX: usize = 3;
/// Crashes after which a request must be held back.
const CRASH_THRESHOLD: usize = 3;
/// Longer than the route's timeout, so that upstreams take a repeat for a request of another caller.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(5);
/// Repeats sent after all hosts have had time to learn of the crashes.
const REPEATS: usize = 40;

/// Upstreams that one request crashes. Each crashed upstream is replaced by a new one.
struct Pool {
    log: FakeLog,
    behaviour: Behaviour,
    death: Death,
    listed: Vec<FakeUpstream>,
    started: usize,
    crashed: usize,
}

impl Pool {
    fn start(log: &FakeLog, behaviour: Behaviour, death: Death) -> Self {
        let mut pool = Pool {
            log: log.clone(),
            behaviour,
            death,
            listed: Vec::new(),
            started: 0,
            crashed: 0,
        };
        for _ in 0..UPSTREAMS {
            pool.start_upstream();
        }
        pool
    }

    fn start_upstream(&mut self) {
        self.started += 1;
        let id = format!("up-{:03}", self.started);
        let upstream = FakeUpstream::mortal(&id, self.behaviour.clone(), CRASHING_BODY, self.death);
        self.log.put("upstreams", &id, &upstream.entry("ready"));
        self.listed.push(upstream);
    }

    /// Replaces crashed upstreams. Returns the number of crashes so far.
    fn replace_crashed(&mut self) -> usize {
        let (crashed, alive): (Vec<_>, Vec<_>) =
            self.listed.drain(..).partition(FakeUpstream::is_dead);
        self.listed = alive;
        self.crashed += crashed.len();
        for upstream in crashed {
            self.log.put("upstreams", upstream.id(), &Value::Null);
            self.start_upstream();
        }
        self.crashed
    }
}

/// Hosts with a pool of upstreams, and a caller that sends to the hosts in turn.
struct Deployment {
    hosts: Vec<World>,
    pool: Pool,
    sent: usize,
}

impl Deployment {
    fn start(kind: &str, behaviour: Behaviour, death: Death) -> Self {
        let hosts = World::start_fleet(HOSTS);
        let pool = Pool::start(&hosts[0].log, behaviour, death);
        let configuration = table(1, json!([route(kind)]));
        hosts[0].log.put("operator", "table", &configuration);
        for host in &hosts {
            assert!(wait_until(|| host.is_ready()), "a host is not ready");
        }
        let deployment = Deployment {
            hosts,
            pool,
            sent: 0,
        };
        for host in 0..HOSTS {
            assert!(wait_until(|| deployment.send_harmless(host) == 200));
        }
        deployment
    }

    /// Sends the crashing request to the next host and ignores the outcome.
    fn send_crashing(&mut self) -> Answer {
        let host = &self.hosts[self.sent % self.hosts.len()];
        self.sent += 1;
        let answer = ask(host.callers(), &post("/nets/7", "", CRASHING_BODY));
        self.pool.replace_crashed();
        answer
    }

    /// Sends a harmless request to a host. Returns the status.
    fn send_harmless(&self, host: usize) -> u16 {
        let host = &self.hosts[host];
        ask(host.callers(), &post("/nets/7", "", "tighten")).status
    }

    /// Sends the crashing request until enough upstreams have crashed, and until all hosts must know of it.
    fn crash_until_known(&mut self) {
        let started = Instant::now();
        while self.pool.crashed < CRASH_THRESHOLD {
            self.send_crashing();
            assert!(
                started.elapsed() < PROPAGATION_MAX * 3,
                "the request crashes no upstream"
            );
        }
        let known_by_all = Instant::now() + PROPAGATION_MAX;
        while Instant::now() < known_by_all {
            self.send_crashing();
        }
    }

    /// Replaces all hosts by new ones, whose only source of evidence is the log.
    fn restart_hosts(&mut self) {
        self.hosts.clear();
        self.hosts = World::start_fleet_at(&self.pool.log, HOSTS);
        for host in 0..HOSTS {
            assert!(wait_until(|| self.hosts[host].is_ready()));
        }
        let known_by_all = Instant::now() + PROPAGATION_MAX;
        while Instant::now() < known_by_all {
            assert_eq!(self.send_harmless(0), 200);
        }
    }

    /// Repeats the crashing request. Returns the number of upstreams that crash.
    fn crashes_under_repeats(&mut self) -> usize {
        let before = self.pool.crashed;
        for _ in 0..REPEATS {
            self.send_crashing();
        }
        self.pool.crashed - before
    }
}

/// The number of upstreams that repeats of a request crash once all hosts know of its crashes.
fn crashes_once_known(kind: &str, behaviour: Behaviour, death: Death) -> usize {
    let mut deployment = Deployment::start(kind, behaviour, death);
    deployment.crash_until_known();
    let crashes = deployment.crashes_under_repeats();
    if crashes > RETRIES_MAX {
        for host in &deployment.hosts {
            println!("{}", host.last_lines(60));
        }
    }
    crashes
}

const HEALTHY: Behaviour = Behaviour::Answer(200, "sound");
const HEALTHY_STREAM: Behaviour = Behaviour::Events {
    to: 3,
    break_after: None,
    hold_after: None,
};

// Guards against crashes that are recorded for the engine alone. A caller repeated a stream that crashed
// each engine, under a new id and at any host, and hosts placed each repeat like any other request: 7, 7
// and 13 engines were lost in three series. In the log entries of 14 losses, exactly one stream of one kind
// broke each time, before its first event.
#[test]
fn a_stream_that_crashes_upstreams_is_held_back_at_all_hosts() {
    let mut deployment = Deployment::start("stream", HEALTHY_STREAM, Death::AfterHead);
    deployment.crash_until_known();

    let crashes = deployment.crashes_under_repeats();

    assert!(crashes <= RETRIES_MAX, "{crashes} crashed");
    for host in 0..HOSTS {
        assert_eq!(deployment.send_harmless(host), 200);
    }
}

#[test]
fn a_stream_that_crashes_upstreams_late_is_held_back() {
    let crashes = crashes_once_known("stream", HEALTHY_STREAM, Death::AfterEvents(2));

    assert!(crashes <= RETRIES_MAX, "{crashes} crashed");
}

#[test]
fn an_idempotent_call_that_crashes_upstreams_is_held_back() {
    let crashes = crashes_once_known("idempotent", HEALTHY, Death::BeforeAnswer);

    assert!(crashes <= RETRIES_MAX, "{crashes} crashed");
}

#[test]
fn a_once_only_call_that_crashes_upstreams_is_held_back() {
    let crashes = crashes_once_known("once", HEALTHY, Death::BeforeAnswer);

    assert!(crashes <= RETRIES_MAX, "{crashes} crashed");
}

// Guards against evidence that is kept in the hosts' memory alone: each loss of all hosts let a request
// that had been held back crash three more upstreams (6 after two losses, where 3 are allowed in all).
#[test]
fn requests_stay_held_back_after_all_hosts_are_lost_twice() {
    let mut deployment = Deployment::start("stream", HEALTHY_STREAM, Death::AfterHead);
    deployment.crash_until_known();
    let known = deployment.pool.crashed;

    for _ in 0..2 {
        deployment.restart_hosts();
        deployment.crashes_under_repeats();
    }

    let crashes = deployment.pool.crashed - known;
    assert!(crashes <= RETRIES_MAX, "{crashes} crashed");
}

#[test]
fn the_refusal_carries_ran_no_and_retry_after() {
    let mut deployment = Deployment::start("stream", HEALTHY_STREAM, Death::AfterHead);
    deployment.crash_until_known();

    let answer = deployment.send_crashing();

    let seconds = answer.header("retry-after");
    let seconds: f64 = seconds.and_then(|text| text.parse().ok()).unwrap_or(0.0);
    assert_eq!((answer.status, ran(&answer).as_str()), (503, "no"));
    assert_eq!(code(&answer), "crashes_upstreams");
    assert!(seconds > RETRY_AFTER_MIN.as_secs_f64(), "{seconds}");
}

#[test]
fn a_joining_host_holds_back_what_its_peers_know() {
    let mut deployment = Deployment::start("stream", HEALTHY_STREAM, Death::AfterHead);
    deployment.crash_until_known();
    let joined = World::join(&deployment.hosts[0]);
    assert!(wait_until(|| joined.is_ready()));
    let ready = Instant::now() + PROPAGATION_MAX;
    deployment.hosts = vec![joined];
    while Instant::now() < ready {
        deployment.send_crashing();
    }

    let crashes = deployment.crashes_under_repeats();

    assert!(crashes <= RETRIES_MAX, "{crashes} crashed");
}

// Guards against requests that are held back for good after resets. Three resets by live upstreams look
// like three crashes until one of the upstreams answers a request, or is still listed when a crashed one
// would be gone. Where every request met resets first, no request was answered any more.
#[test]
fn a_request_whose_connections_healthy_upstreams_reset_is_served() {
    let behaviours = [Behaviour::Close, Behaviour::Close, HEALTHY];
    let upstreams: Vec<FakeUpstream> = (0..UPSTREAMS)
        .map(|index| FakeUpstream::start(&format!("up-{index}"), &behaviours))
        .collect();
    let listed: Vec<&FakeUpstream> = upstreams.iter().collect();
    let world = World::serving(json!([route("idempotent")]), &listed);
    let status = |body: &str| ask(world.callers(), &post("/nets/7", "", body)).status;

    for body in ["tighten", "look", "rake"] {
        status(body);
        status(body);
    }

    for body in ["tighten", "look", "rake"] {
        assert!(wait_until(|| status(body) == 200), "{body}");
    }
}

#[test]
fn a_request_answered_between_crashes_is_not_blamed_for_them() {
    let upstreams: Vec<FakeUpstream> = (0..UPSTREAMS)
        .map(|index| FakeUpstream::start(&format!("up-{index}"), &[HEALTHY]))
        .collect();
    let listed: Vec<&FakeUpstream> = upstreams.iter().collect();
    let world = World::serving(json!([route("idempotent")]), &listed);
    let status = |body: &str| ask(world.callers(), &post("/nets/7", "", body)).status;
    for upstream in &upstreams[..UPSTREAMS - 1] {
        assert!(wait_until(|| status("tighten") == 200));
        upstream.die();
    }

    assert!(wait_until(|| status("tighten") == 200));
}
