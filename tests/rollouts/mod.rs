//! Rollouts from end to end: a bad version is reverted, a good one takes over.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::gatewayworld::Behaviour;
use crate::gatewayworld::FakeLog;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;
use crate::get;

const DURATION: Duration = Duration::from_secs(4);
/// Requests that a bad version may get on top of a tenth of all requests.
const SLACK: usize = 50;
/// Failures after which all three upstreams of a version are ejected.
const FAILURES_UNTIL_EJECTED: usize = 9;
/// Log lines shown of the host that answered wrong.
const LINES_SHOWN: usize = 40;

struct Deployment {
    hosts: Vec<World>,
    new: Vec<FakeUpstream>,
    requests_sent: usize,
}

impl Deployment {
    /// Starts three hosts, three sound upstreams of version `v1`, and three of `v2` that behave like `new`.
    fn start(new: &Behaviour) -> Self {
        Deployment::start_hosts(3, new)
    }

    /// The same with `count` hosts.
    fn start_hosts(count: usize, new: &Behaviour) -> Self {
        let hosts = World::start_fleet(count);
        let sound = Behaviour::Answer(200, "sound");
        let upstreams = |version: &'static str, behaviour: &Behaviour| -> Vec<FakeUpstream> {
            let ids = (0..3).map(|index| format!("up-{version}-{index}"));
            ids.map(|id| FakeUpstream::start(&id, std::slice::from_ref(behaviour)))
                .map(|upstream| upstream.of_version(version))
                .collect()
        };
        let deployment = Deployment {
            new: upstreams("v2", new),
            requests_sent: 0,
            hosts,
        };
        for old in upstreams("v1", &sound) {
            deployment.hosts[0].list(&old, "ready");
        }
        let routes = json!([route("idempotent")]);
        deployment.log().put("operator", "table", &table(1, routes));
        assert!(wait_until(|| deployment.hosts.iter().all(World::is_ready)));
        deployment
    }

    fn log(&self) -> &FakeLog {
        &self.hosts[0].log
    }

    /// Orders the new version, then lists its upstreams.
    fn order(&self) {
        let order = json!({"to": "v2", "duration_ms": DURATION.as_millis() as u64});
        self.log().put("operator", "rollout/nets", &order);
        for new in &self.new {
            self.hosts[0].list(new, "ready");
        }
    }

    /// Lists the new version's upstreams, and sends requests until one reaches them.
    fn list_without_order(&mut self) {
        for new in &self.new {
            self.hosts[0].list(new, "ready");
        }
        let deadline = Instant::now() + DURATION;
        while Instant::now() < deadline && self.requests_to_new() == 0 {
            self.request_from_each(1);
        }
    }

    /// Sends requests until the end of the rollout is reported or its time is up.
    fn request_until_ended(&mut self) {
        let deadline = Instant::now() + DURATION;
        while Instant::now() < deadline && self.reported_states().len() < 2 {
            self.request_from_each(10);
        }
    }

    fn request_from_each(&mut self, requests: usize) {
        for _ in 0..requests {
            for host in &self.hosts {
                let answer = ask(host.callers(), &get("/nets/7", ""));
                assert_eq!(answer.status, 200, "{}", host.last_lines(LINES_SHOWN));
            }
        }
        self.requests_sent += requests * self.hosts.len();
    }

    fn reported_states(&self) -> Vec<String> {
        let reported = self.log().written("status", "rollout-nets");
        let state = |status: &Value| status["state"].as_str().unwrap_or("").to_owned();
        reported.iter().map(state).collect()
    }

    /// What the hosts logged of the rollout, and their last lines.
    fn explain(&self) -> String {
        let of_host = |host: &World| {
            let names = ["RolloutOrdered", "RolloutStep", "RolloutTold"];
            let events: Vec<Value> = names.iter().flat_map(|name| host.lines.of(name)).collect();
            format!("{events:#?}\n{}", host.last_lines(LINES_SHOWN))
        };
        self.hosts.iter().map(of_host).collect()
    }

    fn requests_to_new(&self) -> usize {
        self.new.iter().map(|upstream| upstream.seen().len()).sum()
    }
}

// Guards against upstreams of a version that hasn't been tried getting their full part of all requests as
// soon as they start.
#[test]
fn a_bad_version_is_reverted_before_it_gets_much() {
    let mut deployment = Deployment::start(&Behaviour::Answer(500, "broken"));
    deployment.order();

    deployment.request_until_ended();
    let seen = deployment.requests_to_new();
    deployment.request_from_each(50);

    let reported = deployment.reported_states();
    assert_eq!(
        reported,
        ["running", "reverted"],
        "{}",
        deployment.explain()
    );
    assert!(
        seen <= deployment.requests_sent / 10 + SLACK,
        "the bad version got {seen} of {} requests",
        deployment.requests_sent
    );
    assert_eq!(deployment.requests_to_new(), seen);
}

// Guards against both attempts of a request going to upstreams of a bad version whose order isn't known yet.
#[test]
fn a_request_that_a_version_without_order_fails_is_repeated_by_another() {
    let mut deployment = Deployment::start(&Behaviour::Answer(500, "broken"));
    deployment.list_without_order();
    deployment.request_from_each(30);

    assert!(deployment.requests_to_new() > 0);
}

// Guards against callers who get a bad version's answers where hosts read its upstreams long before its order.
#[test]
fn a_bad_version_that_is_listed_before_its_order_is_reverted() {
    let mut deployment = Deployment::start(&Behaviour::Answer(500, "broken"));
    deployment.list_without_order();

    deployment.order();
    deployment.request_until_ended();
    let reported = deployment.reported_states();
    let seen = deployment.requests_to_new();
    deployment.request_from_each(50);

    assert_eq!(
        reported,
        ["running", "reverted"],
        "{}",
        deployment.explain()
    );
    assert_eq!(deployment.requests_to_new(), seen);
}

// Guards against trial requests that go on to upstreams ejected for their failures: their repeats used up
// the retry budget, so callers got the bad version's answers.
#[test]
fn ejected_upstreams_of_a_bad_version_get_no_more_trial_requests() {
    let mut deployment = Deployment::start_hosts(1, &Behaviour::Answer(500, "broken"));
    deployment.order();
    let deadline = Instant::now() + DURATION;
    while Instant::now() < deadline && deployment.requests_to_new() == 0 {
        deployment.request_from_each(1);
    }

    deployment.request_from_each(60);

    assert!((1..=FAILURES_UNTIL_EJECTED).contains(&deployment.requests_to_new()));
}

#[test]
fn a_good_version_takes_over_in_time() {
    let mut deployment = Deployment::start(&Behaviour::Answer(200, "new"));
    deployment.order();

    deployment.request_until_ended();
    let reported = deployment.reported_states();
    let before = deployment.requests_to_new();
    deployment.request_from_each(20);

    assert_eq!(
        reported,
        ["running", "complete"],
        "{}",
        deployment.explain()
    );
    assert_eq!(deployment.requests_to_new() - before, 60);
}

// Guards against a host that reads an order after another host has reported its end, and then reports the
// order as running again.
#[test]
fn a_late_host_does_not_report_an_ended_order_again() {
    let deployment = Deployment::start(&Behaviour::Answer(200, "new"));
    let ended = json!({"to": "v2", "state": "complete", "order": {"era": 1, "offset": 1}});
    deployment.log().put("status", "rollout-nets", &ended);

    deployment.order();
    let serves_new = wait_until(|| {
        let answers = (0..20).map(|_| ask(deployment.hosts[0].callers(), &get("/nets/7", "")));
        answers.into_iter().all(|answer| answer.body == b"new")
    });

    assert!(serves_new);
    assert_eq!(deployment.reported_states(), ["complete"]);
}
