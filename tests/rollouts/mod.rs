//! Operators roll a version out: a bad one is reverted, a good one takes over.

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
/// What a bad version may get beside a tenth of all requests.
const SLACK: usize = 50;

struct Deployment {
    hosts: Vec<World>,
    new: Vec<FakeUpstream>,
    asked: usize,
}

impl Deployment {
    /// Three upstreams of the version `v1`, and three of `v2` that behave like this.
    fn start(new: &Behaviour) -> Self {
        let hosts = World::start_fleet(3);
        let sound = Behaviour::Answer(200, "sound");
        let upstreams = |version: &'static str, behaviour: &Behaviour| -> Vec<FakeUpstream> {
            let ids = (0..3).map(|index| format!("up-{version}-{index}"));
            ids.map(|id| FakeUpstream::start(&id, std::slice::from_ref(behaviour)))
                .map(|upstream| upstream.of_version(version))
                .collect()
        };
        let deployment = Deployment {
            new: upstreams("v2", new),
            asked: 0,
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

    /// Orders the version, whose upstreams then list themselves.
    fn order(&self) {
        let order = json!({"to": "v2", "duration_ms": DURATION.as_millis() as u64});
        self.log().put("operator", "rollout/nets", &order);
        for new in &self.new {
            self.hosts[0].list(new, "ready");
        }
    }

    /// Sends requests until operators are told the end, or the time is up.
    fn ask_until_told(&mut self) {
        let ends = Instant::now() + DURATION;
        while Instant::now() < ends && self.told().len() < 2 {
            self.ask_all(10);
        }
    }

    fn ask_all(&mut self, requests: usize) {
        for _ in 0..requests {
            for host in &self.hosts {
                let answer = ask(host.callers(), &get("/nets/7", ""));
                assert_eq!(answer.status, 200);
            }
        }
        self.asked += requests * self.hosts.len();
    }

    fn told(&self) -> Vec<String> {
        let told = self.log().written("status", "rollout-nets");
        let state = |status: &Value| status["state"].as_str().unwrap_or("").to_owned();
        told.iter().map(state).collect()
    }

    fn seen_by_new(&self) -> usize {
        self.new.iter().map(|upstream| upstream.seen().len()).sum()
    }
}

// Upstreams of a version that nobody had tried got their part of all requests from their start on.
#[test]
fn a_bad_version_is_reverted_before_it_gets_much() {
    let mut deployment = Deployment::start(&Behaviour::Answer(500, "broken"));
    deployment.order();

    deployment.ask_until_told();
    let seen = deployment.seen_by_new();
    deployment.ask_all(50);

    assert_eq!(deployment.told(), ["running", "reverted"]);
    assert!(
        seen <= deployment.asked / 10 + SLACK,
        "{seen} of {}",
        deployment.asked
    );
    assert_eq!(deployment.seen_by_new(), seen);
}

#[test]
fn a_good_version_takes_over_in_time() {
    let mut deployment = Deployment::start(&Behaviour::Answer(200, "new"));
    deployment.order();

    deployment.ask_until_told();
    let told = deployment.told();
    let before = deployment.seen_by_new();
    deployment.ask_all(20);

    assert_eq!(told, ["running", "complete"]);
    assert_eq!(deployment.seen_by_new() - before, 60);
}

// A host that looked only after another had told the end told operators again that the order runs.
#[test]
fn a_late_host_does_not_tell_an_ended_order_anew() {
    let deployment = Deployment::start(&Behaviour::Answer(200, "new"));
    let ended = json!({"to": "v2", "state": "complete", "order": {"era": 1, "offset": 1}});
    deployment.log().put("status", "rollout-nets", &ended);

    deployment.order();
    let ends_here = wait_until(|| {
        let answers = (0..20).map(|_| ask(deployment.hosts[0].callers(), &get("/nets/7", "")));
        answers.into_iter().all(|answer| answer.body == b"new")
    });

    assert!(ends_here);
    assert_eq!(deployment.told(), ["complete"]);
}
