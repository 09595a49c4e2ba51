//! Hosts avoid an upstream that fails at one of them.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::gatewayworld::Behaviour;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;
use crate::get;
use cedargauge::gateway::settings::LoadFeatures;

/// Failures in a row for which a host ejects an upstream by itself.
const OWN_EJECTION_FAILURES: usize = 3;
/// A host probes an avoided upstream no more often than this.
const PROBE_INTERVAL_MIN: Duration = Duration::from_secs(1);
/// Log lines among which an event is looked for.
const LINES_SEARCHED: usize = 2_000;
/// Requests with which each host shows which upstreams it uses.
const REQUESTS_PER_HOST: usize = 40;

/// Three hosts that tell each other of failed calls, three sound upstreams, and one that fails.
struct Deployment {
    hosts: Vec<World>,
    sound: Vec<FakeUpstream>,
    failing: FakeUpstream,
}

impl Deployment {
    fn start() -> Self {
        let features = LoadFeatures {
            upstream_speeds: true,
            ..LoadFeatures::default()
        };
        let hosts = World::start_fleet_with(3, features);
        let sound = [Behaviour::Answer(200, "sound")];
        let broken = [Behaviour::Answer(500, "broken")];
        let deployment = Deployment {
            hosts,
            sound: (0..3)
                .map(|index| FakeUpstream::start(&format!("up-{index}"), &sound))
                .collect(),
            failing: FakeUpstream::start("up-failing", &broken),
        };
        let first = &deployment.hosts[0];
        for upstream in deployment.sound.iter().chain([&deployment.failing]) {
            first.list(upstream, "ready");
        }
        let routes = json!([route("idempotent")]);
        first.log.put("operator", "table", &table(1, routes));
        assert!(wait_until(|| deployment.hosts.iter().all(World::is_ready)));
        deployment
    }

    /// Sends a request to a host, which has to succeed.
    fn request(&self, host: usize) {
        let host = &self.hosts[host];
        let answer = ask(host.callers(), &get("/nets/7", ""));
        assert_eq!(answer.status, 200, "{}", host.last_lines(20));
    }

    /// Whether a host says of the failing upstream that it is avoided, or no longer is.
    fn says(&self, host: usize, is_avoided: bool) -> bool {
        let lines = self.hosts[host].last_lines(LINES_SEARCHED);
        let avoided = format!("\"avoided\":{is_avoided}");
        let of_failures = |line: &&str| line.contains("UpstreamFailsOften");
        lines
            .lines()
            .filter(of_failures)
            .any(|line| line.contains(&avoided))
    }

    /// Requests that reach the failing upstream while the other hosts send [`REQUESTS_PER_HOST`] each, and the time
    /// that this takes.
    fn requests_of_others(&self) -> (usize, Duration) {
        let started = Instant::now();
        let before = self.failing.seen().len();
        for _ in 0..REQUESTS_PER_HOST {
            self.request(1);
            self.request(2);
        }
        (self.failing.seen().len() - before, started.elapsed())
    }
}

// Guards against each host having to see an upstream fail three times itself before it avoids it.
#[test]
fn hosts_avoid_an_upstream_that_fails_at_another_until_it_is_well() {
    let deployment = Deployment::start();

    let has_failed = wait_until(|| {
        deployment.request(0);
        deployment.failing.seen().len() >= OWN_EJECTION_FAILURES
    });
    let others_avoid = wait_until(|| deployment.says(1, true) && deployment.says(2, true));
    let (while_failing, took) = deployment.requests_of_others();
    let probes_max = 2 * (1 + took.div_duration_f64(PROBE_INTERVAL_MIN) as usize);
    deployment
        .failing
        .behave_as(Behaviour::Answer(200, "sound"));
    let others_return = wait_until(|| deployment.says(1, false) && deployment.says(2, false));
    let (once_well, _) = deployment.requests_of_others();

    assert!(has_failed && others_avoid && others_return);
    assert!(
        while_failing <= probes_max,
        "{while_failing} requests in {took:?}, {probes_max} probes are allowed"
    );
    assert!(once_well > 2, "{once_well} requests");
    assert!(
        deployment
            .sound
            .iter()
            .all(|sound| !sound.seen().is_empty())
    );
}
