//! Retries of hosts that start and stop while upstreams refuse all requests.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::gatewayworld::Behaviour;
use crate::gatewayworld::Caller;
use crate::gatewayworld::FakeLog;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;

const HOSTS: usize = 6;
const UPSTREAMS: usize = 8;
/// The budget in the hosts' settings.
const RATIO: f64 = 0.2;
const ALLOWANCE: f64 = 50.0;
const WINDOW: Duration = Duration::from_secs(10);
/// Processes that each host runs, one after another.
const PROCESSES_PER_HOST: usize = 5;
/// Requests that use up a host's share of the budget.
const REQUESTS_PER_HOST: usize = 6;
/// Requests that would use up the whole budget.
const REQUESTS_PER_WHOLE_BUDGET: usize = 24;
/// Generations that are migrated: more than the retries that a host may make.
const GENERATIONS: usize = 45;
/// Engines with room for all of them.
const ENGINES: usize = 12;
/// Time without a datagram after which a host counts as gone.
const PEER_TIMEOUT: Duration = Duration::from_millis(4_500);

fn request(id: usize) -> String {
    format!(
        "POST /nets/7 HTTP/1.1\r\nhost: a.example\r\nauthorization: Key key-1\r\nrequest-id: r-{id}\r\ntokens: 40\r\ncontent-length: 0\r\n\r\n"
    )
}

/// Upstreams that refuse all requests, and the number of requests sent so far.
struct Pool {
    log: FakeLog,
    upstreams: Vec<FakeUpstream>,
    sent: usize,
}

impl Pool {
    fn start(log: &FakeLog) -> Self {
        let upstreams: Vec<FakeUpstream> = (0..UPSTREAMS)
            .map(|index| FakeUpstream::start(&format!("up-{index}"), &[Behaviour::NotRun]))
            .collect();
        for upstream in &upstreams {
            log.put("upstreams", upstream.id(), &upstream.entry("ready"));
        }
        log.put("operator", "table", &table(1, json!([route("once")])));
        Pool {
            log: log.clone(),
            upstreams,
            sent: 0,
        }
    }

    fn wait_until_ready(hosts: &[World]) {
        for host in hosts {
            assert!(wait_until(|| host.is_ready()), "a host is not ready");
        }
    }

    /// Sends `requests` requests to each of `hosts`, in turn.
    fn send_requests(&mut self, hosts: &[World], requests: usize) {
        for _ in 0..requests {
            for host in hosts {
                self.sent += 1;
                ask(host.callers(), &request(self.sent));
            }
        }
    }

    /// Arrival times of retries at upstreams: all arrivals of a request but the first.
    fn retries(&self) -> Vec<Instant> {
        let mut arrivals: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
        for seen in self.upstreams.iter().flat_map(FakeUpstream::seen) {
            let id = seen.header("request-id").unwrap_or("").to_owned();
            arrivals.entry(id).or_default().push(seen.at);
        }
        let mut retries = Vec::new();
        for mut of_request in arrivals.into_values() {
            of_request.sort();
            retries.extend(of_request.into_iter().skip(1));
        }
        retries.sort();
        retries
    }

    /// Largest number of retries in any window.
    fn max_retries_in_window(&self) -> usize {
        let retries = self.retries();
        let from = |first: &Instant| {
            let window = retries.iter().filter(|at| *at >= first);
            window
                .take_while(|at| at.duration_since(*first) <= WINDOW)
                .count()
        };
        retries.iter().map(from).max().unwrap_or(0)
    }

    fn allowed(&self) -> usize {
        (RATIO * self.sent as f64 + ALLOWANCE) as usize
    }
}

// A restarted process must not use the part of the budget that the host's previous process has used.
#[test]
fn repeatedly_restarted_hosts_stay_within_one_retry_budget() {
    let mut hosts = World::start_fleet(HOSTS);
    let mut pool = Pool::start(&hosts[0].log);
    Pool::wait_until_ready(&hosts);
    pool.send_requests(&hosts, REQUESTS_PER_HOST);

    for _ in 1..PROCESSES_PER_HOST {
        hosts.clear();
        hosts = World::start_fleet_at(&pool.log, HOSTS);
        Pool::wait_until_ready(&hosts);
        pool.send_requests(&hosts, REQUESTS_PER_HOST);
    }

    let (retries, allowed) = (pool.max_retries_in_window(), pool.allowed());
    assert!(retries <= allowed, "{retries} retries, {allowed} allowed");
}

// Retries of hosts that are gone still count in the window, so the remaining host must not use their shares
// immediately.
#[test]
fn a_host_does_not_take_over_the_retry_budget_of_ended_peers() {
    let mut hosts = World::start_fleet(HOSTS);
    let mut pool = Pool::start(&hosts[0].log);
    Pool::wait_until_ready(&hosts);
    pool.send_requests(&hosts, REQUESTS_PER_HOST);

    let mut others = hosts.split_off(1);
    others.iter_mut().for_each(World::drain);
    others.iter_mut().for_each(World::wait_ended);
    let ended_at = Instant::now();
    assert!(wait_until(|| ended_at.elapsed() > PEER_TIMEOUT));
    pool.send_requests(&hosts, REQUESTS_PER_WHOLE_BUDGET);

    let (retries, allowed) = (pool.max_retries_in_window(), pool.allowed());
    assert!(retries <= allowed, "{retries} retries, {allowed} allowed");
}

// A generation that continues from a copy of its memory is not a retry: when many engines leave, migrations must
// not use up the retry budget of requests that were refused.
#[test]
fn moved_generations_do_not_use_the_retry_budget() {
    let held = Behaviour::Events {
        to: 8,
        break_after: None,
        hold_after: Some(7),
    };
    let (world, engines) = crate::engines(&vec![held; ENGINES]);
    let run = |id| {
        let mut caller = Caller::connect(world.callers());
        caller.send(request(id));
        assert!(caller.read_until("id: 7\n"), "run {id}");
        caller
    };
    let callers: Vec<Caller> = (0..GENERATIONS).map(run).collect();
    let others: Vec<FakeUpstream> = (0..ENGINES)
        .map(|index| FakeUpstream::of("reports", &format!("other-{index}"), &[crate::events(8)]))
        .collect();
    others.iter().for_each(|other| world.list(other, "ready"));
    engines
        .iter()
        .for_each(|engine| world.list(engine, "leaving"));
    for mut caller in callers {
        let moved = caller.read().whole;
        assert!(moved, "a run was not moved: {}", world.last_lines(200));
    }

    let full = FakeUpstream::of("reports", "full", &[Behaviour::NotRun]);
    world.list(&full, "ready");
    let is_refused = wait_until(|| {
        let answer = ask(world.callers(), &request(GENERATIONS));
        assert_eq!(answer.status, 200);
        !full.seen().is_empty()
    });

    assert!(is_refused);
}
