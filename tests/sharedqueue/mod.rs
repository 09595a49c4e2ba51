//! Hosts of a data centre have one queue for the generations that wait for an engine.

#![allow(clippy::unwrap_used, reason = "fixtures of tests")]

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::gatewayworld::Behaviour;
use crate::gatewayworld::Caller;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::World;
use crate::gatewayworld::route_to;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;
use cedargauge::gateway::datagram;
use cedargauge::gateway::datagram::Datagram;
use cedargauge::gateway::settings::LoadFeatures;
use cedargauge::id::DataCentre;
use cedargauge::id::HostId;

const HOSTS: usize = 3;
/// For so long an owner is cut off.
const STALL: Duration = Duration::from_secs(2);
/// Output tokens of a generation that leaves room for no other one of its size at its engine.
const LARGE_TOKENS: u32 = 25_000;
/// Output tokens of a generation of which three fit.
const SMALL_TOKENS: u32 = 8_000;
/// First byte of messages on queues.
const QUEUE_FORMAT: u8 = 0x4F;
/// Time in which the hosts exchange loads several times.
const SOME_ROUNDS: Duration = Duration::from_millis(700);

fn sharing() -> LoadFeatures {
    LoadFeatures {
        shared_queue: true,
        ..LoadFeatures::default()
    }
}

/// An engine whose generations run until their callers leave.
fn start_engine() -> FakeUpstream {
    let endless = Behaviour::Events {
        to: 2,
        break_after: None,
        hold_after: Some(1),
    };
    FakeUpstream::of("reports", "engine", &[endless])
}

/// Has hosts serve generations at `engine`, whose callers wait for up to a minute.
fn serve_reports(hosts: &[World], engine: &FakeUpstream) {
    let mut route = route_to("stream", "reports");
    route["objective_ms"] = json!(60_000);
    route["timeout_ms"] = json!(90_000);
    hosts[0].list(engine, "ready");
    let log = &hosts[0].log;
    log.put("operator", "table", &table(1, json!([route])));
    assert!(wait_until(|| hosts.iter().all(World::is_ready)));
    let know_each_other = |host: &World| host.lines.of("PeerJoined").len() >= hosts.len() - 1;
    assert!(wait_until(|| hosts.iter().all(know_each_other)));
}

fn start_sharing(count: usize) -> (Vec<World>, FakeUpstream) {
    let engine = start_engine();
    let hosts = World::start_fleet_with(count, sharing());
    serve_reports(&hosts, &engine);
    (hosts, engine)
}

/// A caller whose generation, told by its name, runs or waits.
struct Generation {
    name: String,
    caller: Caller,
}

fn generate(host: &World, name: &str, tokens: u32) -> Generation {
    let mut caller = Caller::connect(host.callers());
    let length = name.len();
    caller.send(format!(
        "POST /nets/7 HTTP/1.1\r\nhost: a.example\r\nauthorization: Key key-1\r\nrequest-id: {name}\r\ntokens: {tokens}\r\ncontent-length: {length}\r\n\r\n{name}"
    ));
    Generation {
        name: name.to_owned(),
        caller,
    }
}

impl Generation {
    /// Waits until its first event has come.
    fn wait_started(&mut self, hosts: &[World]) {
        let has_started = self.caller.read_until("data: ");
        let entries = hosts.iter().flat_map(|host| queued(host, &self.name));
        let entries: Vec<Value> = entries.collect();
        assert!(has_started, "{}: {entries:?}", self.name);
    }
}

/// Names of the generations in the order in which they reached the engine.
fn started(engine: &FakeUpstream) -> Vec<String> {
    let seen = engine.seen();
    let names = seen.iter();
    names
        .map(|seen| String::from_utf8(seen.body.clone()).unwrap())
        .collect()
}

/// Entries on how the generation of that name was queued.
fn queued(host: &World, name: &str) -> Vec<Value> {
    let entries = host.lines.of("RequestQueued").into_iter();
    entries.filter(|entry| entry["request"] == name).collect()
}

fn has_outcome(host: &World, name: &str, outcome: &str) -> bool {
    let entries = queued(host, name);
    entries.iter().any(|entry| entry["outcome"] == outcome)
}

/// A large generation at each of `at`, begun once the one before waits in the shared queue.
fn generate_waiting(hosts: &[World], at: &[usize], tokens: u32) -> Vec<Generation> {
    let generations = at.iter().enumerate().map(|(number, host)| {
        let name = format!("waiting-{number}");
        let generation = generate(&hosts[*host], &name, tokens);
        let waits = wait_until(|| has_outcome(&hosts[*host], &name, "waits"));
        assert!(waits, "{:?}", queued(&hosts[*host], &name));
        generation
    });
    generations.collect()
}

/// Fills the engine from a host, and returns its generation once all hosts know that it runs.
fn fill(hosts: &[World], at: usize) -> Generation {
    let mut running = generate(&hosts[at], "first", LARGE_TOKENS);
    running.wait_started(hosts);
    std::thread::sleep(SOME_ROUNDS);
    running
}

/// The owner of the queue while nothing waits there: what it answers to a generation that asks for a moment.
fn find_owner(hosts: &[World]) -> usize {
    let filling = fill(hosts, 0);
    let _probe = generate_waiting(hosts, &[0], LARGE_TOKENS);
    let entries = queued(&hosts[0], "waiting-0");
    let owner = entries[0]["owner"].as_str();
    let owner = hosts.iter().position(|host| Some(host.name()) == owner);
    drop(filling);
    owner.unwrap()
}

/// Hosts with a full engine, and which of them owns the queue. The owner's callers have no part in it.
struct Deployment {
    hosts: Vec<World>,
    engine: FakeUpstream,
    owner: usize,
    /// Another host, at which the generation runs that fills the engine.
    other: usize,
    running: Generation,
}

fn start_full() -> Deployment {
    let owner = {
        let (hosts, _engine) = start_sharing(HOSTS);
        find_owner(&hosts)
    };
    let (hosts, engine) = start_sharing(HOSTS);
    let other = (owner + 1) % HOSTS;
    Deployment {
        running: fill(&hosts, other),
        hosts,
        engine,
        owner,
        other,
    }
}

// With one queue per host, whichever host looked next took the memory that became free.
#[test]
fn generations_start_in_order_of_arrival_whichever_host_they_wait_at() {
    let (hosts, engine) = start_sharing(HOSTS);
    let mut running = fill(&hosts, 0);
    let waiting = generate_waiting(&hosts, &[2, 0, 1, 2], LARGE_TOKENS);

    for mut next in waiting {
        drop(running);
        next.wait_started(&hosts);
        running = next;
    }

    let expected = ["first", "waiting-0", "waiting-1", "waiting-2", "waiting-3"];
    assert_eq!(started(&engine), expected);
    assert!(has_outcome(&hosts[1], "waiting-2", "granted"));
    let owners = hosts.iter();
    let owners = owners.filter(|host| !host.lines.of("QueueOpened").is_empty());
    assert_eq!(owners.count(), 1);
}

#[test]
fn generations_whose_owner_is_killed_start_at_their_own_hosts_decision() {
    let Deployment {
        hosts,
        engine,
        owner,
        other,
        running,
    } = start_full();
    let third = (other + 1) % HOSTS;
    let waiting = generate_waiting(&hosts, &[other, third], SMALL_TOKENS);

    hosts[owner].kill();
    drop(running);

    for mut generation in waiting {
        generation.wait_started(&hosts);
    }
    let mut started = started(&engine);
    started.sort();
    assert_eq!(started, ["first", "waiting-0", "waiting-1"]);
}

#[test]
fn an_owner_that_is_cut_off_delays_nothing_and_is_asked_again_afterwards() {
    let Deployment {
        hosts,
        engine,
        owner,
        other,
        running,
    } = start_full();
    let mut waiting = generate_waiting(&hosts, &[other], SMALL_TOKENS);

    hosts[owner].stall(STALL);
    let is_alone = || has_outcome(&hosts[other], "waiting-0", "decided alone");
    assert!(wait_until(is_alone));
    drop(running);
    let began = Instant::now();
    waiting[0].wait_started(&hosts);

    assert!(began.elapsed() < STALL / 2, "{:?}", began.elapsed());
    let silences = || hosts[other].lines.of("QueueOwnerSilent");
    assert_eq!(silences()[0]["owner"], hosts[owner].name());
    let _filling = generate(&hosts[other], "filling", LARGE_TOKENS);
    let mut asked = 0;
    let is_asked_again = wait_until(|| {
        asked += 1;
        let name = format!("again-{asked}");
        let _again = generate(&hosts[other], &name, LARGE_TOKENS);
        assert!(wait_until(|| !queued(&hosts[other], &name).is_empty()));
        silences().iter().any(|entry| entry["silent"] == false)
    });
    assert!(is_asked_again);
    let started = started(&engine);
    let once = |name: &str| started.iter().filter(|other| *other == name).count() == 1;
    assert!(once("first") && once("waiting-0"), "{started:?}");
}

// An owner that has yet to receive the loads of its peers would take full engines for idle ones.
#[test]
fn an_owner_that_starts_again_owns_nothing_until_it_knows_the_loads() {
    let Deployment {
        mut hosts,
        engine,
        owner,
        other,
        running,
    } = start_full();

    let cold = hosts.remove(owner).restart();
    hosts.insert(owner, cold);
    assert!(wait_until(|| hosts[owner].is_ready()));
    let mut waiting = generate_waiting(&hosts, &[other], LARGE_TOKENS);
    let asked = queued(&hosts[other], "waiting-0");

    assert_ne!(asked[0]["owner"], hosts[owner].name());
    let has_opened = || !hosts[owner].lines.of("QueueOpened").is_empty();
    assert!(wait_until(has_opened), "it owns no queue again");
    drop(running);
    waiting[0].wait_started(&hosts);
    assert_eq!(started(&engine), ["first", "waiting-0"]);
}

/// A host that only listens, known to `host` as one of its data centre.
struct Spy {
    socket: UdpSocket,
    host: SocketAddr,
}

impl Spy {
    fn beside(host: &World) -> Self {
        let mut own = host.gossip_address();
        own.set_ip(crate::gatewayworld::own_address());
        let socket = UdpSocket::bind(own).unwrap();
        socket
            .set_read_timeout(Some(Duration::from_millis(20)))
            .unwrap();
        Spy {
            socket,
            host: host.gossip_address(),
        }
    }

    fn announce(&self) {
        let datagram = Datagram::new(HostId::new("spy"), DataCentre::new("north"));
        let bytes = datagram::encode(datagram);
        self.socket.send_to(&bytes, self.host).unwrap();
    }

    /// First bytes of the datagrams that arrive within `time`.
    fn listen(&self, time: Duration) -> Vec<u8> {
        let ends = Instant::now() + time;
        let mut buffer = [0; 2_000];
        let mut first_bytes = Vec::new();
        while Instant::now() < ends {
            self.announce();
            if let Ok((1.., _)) = self.socket.recv_from(&mut buffer) {
                first_bytes.push(buffer[0]);
            }
        }
        first_bytes
    }
}

/// The kinds of datagrams that a host sends to another one while a generation waits there.
fn kinds_while_waiting(features: LoadFeatures) -> Vec<u8> {
    let engine = start_engine();
    let hosts = World::start_fleet_with(1, features);
    serve_reports(&hosts, &engine);
    let spy = Spy::beside(&hosts[0]);
    spy.announce();
    let _running = fill(&hosts, 0);
    let _waiting = generate(&hosts[0], "waiting", LARGE_TOKENS);
    assert!(wait_until(|| !queued(&hosts[0], "waiting").is_empty()));
    spy.listen(Duration::from_secs(1))
}

#[test]
fn no_message_on_a_queue_is_sent_unless_queues_are_shared() {
    let off = kinds_while_waiting(LoadFeatures::default());
    let on = kinds_while_waiting(sharing());

    assert!(!off.is_empty() && !off.contains(&QUEUE_FORMAT));
    assert!(on.contains(&QUEUE_FORMAT));
}
