//! What a host that stops has read is answered in whole before it ends, or was never begun.

use std::collections::BTreeSet;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::code;
use crate::engines;
use crate::events;
use crate::gatewayworld::Answer;
use crate::gatewayworld::BOUND;
use crate::gatewayworld::Behaviour;
use crate::gatewayworld::Caller;
use crate::gatewayworld::ConnectionEnd;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::header;
use crate::gatewayworld::route_to;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;
use crate::get;
use crate::post;
use crate::ran;
use crate::sum_seen;
use crate::world;
use cedargauge::gateway::settings::GatewaySettings;

/// From then on after SIGTERM new requests come over old connections only.
const NOTICED: Duration = Duration::from_millis(2_600);
/// From then on after SIGTERM a host without requests has ended.
const IDLE_ENDED: Duration = Duration::from_millis(3_200);
/// More than the buffers of both systems take of an answer that its caller doesn't read.
const LARGE_ANSWER_BYTES: usize = 16 << 20;
const LARGE_ANSWER_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 16777216\r\n";
/// Callers who ask at the same time until the host is gone.
const CALLERS: usize = 8;
/// Longest time before streams are cut at which other requests are given up.
const GIVEN_UP_LEFT_MS: u64 = 250;
/// Generations that an engine runs at a time.
const SLOTS: usize = 4;

/// A grace period in which twice the time of a short generation fits after [`NOTICED`].
const LONG_GRACE: Duration = Duration::from_secs(8);
/// An answer at once comes within this time.
const AT_ONCE: Duration = Duration::from_millis(200);

const HELD: Behaviour = Behaviour::Events {
    to: 40,
    break_after: None,
    hold_after: Some(1),
};

/// A host that has begun to stop.
fn stop(world: &mut World) -> Instant {
    world.drain();
    assert!(wait_until(|| !world.is_ready()));
    Instant::now()
}

/// The host's lines on requests that it gave up because it stops.
fn given_up(world: &World, phase: &str) -> Vec<Value> {
    let mut lines = world.lines.of("RequestStopped");
    lines.retain(|line| line["phase"] == phase);
    lines
}

/// Whether a request was given up no sooner than needed.
fn is_late(line: &Value) -> bool {
    line["left_ms"]
        .as_u64()
        .is_some_and(|left_ms| left_ms <= GIVEN_UP_LEFT_MS)
}

/// A generation that its engine runs to no end.
fn hold(world: &World) -> Caller {
    let mut caller = Caller::connect(world.callers());
    caller.send(post("/nets/7", "tokens: 4000\r\n", "report"));
    assert!(caller.read_until("id: 1\n"));
    caller
}

/// An upstream's silence held a call of a stopping host until its connection was cut.
#[test]
fn a_call_to_a_silent_upstream_is_answered_before_its_host_ends() {
    let (mut world, upstreams) = world("once", &[&[Behaviour::Mute]]);
    stop(&mut world);

    let answer = ask(world.callers(), &get("/nets/1", ""));
    world.wait_ended();

    assert_eq!((answer.status, ran(&answer).as_str()), (504, "unknown"));
    assert!(answer.whole);
    assert_eq!(sum_seen(&upstreams), 1);
    let lines = given_up(&world, "sent");
    assert_eq!(lines.len(), 1);
    assert!(is_late(&lines[0]), "{}", lines[0]);
}

fn large_answer() -> Behaviour {
    Behaviour::Raw {
        head: LARGE_ANSWER_HEAD,
        body: "x".repeat(LARGE_ANSWER_BYTES),
        end: ConnectionEnd::Closed,
    }
}

/// An answer that was begun before its host stopped was cut like those begun later.
#[test]
fn an_answer_begun_before_its_host_stopped_is_written_before_it_ends() {
    let (mut world, _upstreams) = world("once", &[&[large_answer()]]);
    let mut caller = Caller::connect(world.callers());
    caller.send(get("/nets/1", ""));
    assert!(caller.read_until("\r\n\r\n"));
    let stopped_at = stop(&mut world);
    assert!(wait_until(|| stopped_at.elapsed() > IDLE_ENDED));

    let answer = caller.read();
    world.wait_ended();

    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.header("connection"), None);
    assert_eq!(answer.body.len(), LARGE_ANSWER_BYTES);
}

/// An answer was cut because its request no longer counted while its caller had not read it.
#[test]
fn an_answer_to_a_slow_caller_is_written_before_its_host_ends() {
    let (mut world, _upstreams) = world("once", &[&[large_answer()]]);
    let stopped_at = stop(&mut world);
    let mut caller = Caller::connect(world.callers());
    caller.send(get("/nets/1", ""));
    assert!(wait_until(|| stopped_at.elapsed() > IDLE_ENDED));

    let answer = caller.read();
    world.wait_ended();

    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.body.len(), LARGE_ANSWER_BYTES);
    assert_eq!(world.lines.of("ShutdownComplete").len(), 1);
}

/// Connections that callers keep without a request held a stopping host.
#[test]
fn kept_connections_without_requests_do_not_hold_a_stopping_host() {
    let (mut world, _upstreams) = world("once", &[&[Behaviour::Answer(200, "sound")]]);
    let mut kept = Caller::connect(world.callers());
    kept.send(get("/nets/1", ""));
    let answer = kept.read();
    let _unused = Caller::connect(world.callers());

    let stopped_at = stop(&mut world);
    world.wait_ended();

    assert_eq!((answer.status, answer.header("connection")), (200, None));
    assert!(stopped_at.elapsed() < IDLE_ENDED);
}

/// An engine's silence held a generation of a stopping host until its connection was cut.
#[test]
fn a_generation_at_a_silent_engine_is_answered_before_its_host_ends() {
    let (mut world, _engines) = engines(&[Behaviour::Mute]);
    stop(&mut world);

    let answer = ask(
        world.callers(),
        &post("/nets/7", "tokens: 10\r\n", "report"),
    );
    world.wait_ended();

    assert_eq!((answer.status, ran(&answer).as_str()), (504, "unknown"));
    assert!(answer.whole);
    let lines = given_up(&world, "sent");
    assert_eq!(lines.len(), 1);
    assert!(is_late(&lines[0]), "{}", lines[0]);
}

/// Generations that waited for room at a stopping host were cut with their connections.
#[test]
fn a_generation_that_waits_for_room_is_answered_before_its_host_ends() {
    let (mut world, engines) = engines(&[HELD]);
    let routes = json!([patient_route("nets", "stream", "reports")]);
    world.log.put("operator", "table", &table(2, routes));
    assert!(wait_until(|| world.has_version(2)));
    let _held: Vec<Caller> = (0..SLOTS).map(|_| hold(&world)).collect();
    stop(&mut world);

    let answer = ask(
        world.callers(),
        &post("/nets/7", "tokens: 10\r\n", "report"),
    );
    world.wait_ended();

    assert_eq!((answer.status, ran(&answer).as_str()), (503, "no"));
    assert_eq!(answer.header("retry-after"), Some("0.020"));
    assert_eq!(sum_seen(&engines), SLOTS);
    assert_eq!(given_up(&world, "waiting").len(), 1);
    assert_eq!(given_up(&world, "streaming").len(), SLOTS);
}

fn lengthen_grace(settings: &mut GatewaySettings) {
    settings.grace = LONG_GRACE;
}

/// A route for everything under `prefix` that lets requests last longer than any grace period of these tests.
fn patient_route(name: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name, "host": "a.example", "prefix": format!("/{name}/"), "kind": kind, "timeout_ms": 30000,
        "objective_ms": 30000, "service": service, "attempts": 1})
}

/// A host with a long grace period and a generation at its engine, which pauses in every generation. So the host doesn't
/// end once it has stopped for [`NOTICED`].
fn busy_host() -> (World, FakeUpstream, Caller) {
    let engine = FakeUpstream::of("reports", "engine-0", &[HELD]);
    let routes = json!([patient_route("nets", "stream", "reports")]);
    let world = World::serving_with(lengthen_grace, routes, &[&engine]);
    let held = hold(&world);
    (world, engine, held)
}

/// Sends a request and returns its answer with the time that it took.
fn ask_timed(world: &World, request: &str) -> (Answer, Duration) {
    let asked_at = Instant::now();
    let answer = ask(world.callers(), request);
    (answer, asked_at.elapsed())
}

/// A stopping host took late generations by twice their estimate, and cut those whose engine preempted them or paused.
#[test]
fn a_late_generation_that_outlasts_its_host_if_its_engine_pauses_is_refused_at_once() {
    let (mut world, engine, held) = busy_host();
    let stopped_at = stop(&mut world);
    assert!(wait_until(|| stopped_at.elapsed() > NOTICED));

    let (answer, took) = ask_timed(&world, &post("/nets/7", "tokens: 10\r\n", "flag"));
    drop(held);
    world.wait_ended();

    assert_eq!((answer.status, ran(&answer).as_str()), (503, "no"));
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(took < AT_ONCE, "{took:?}");
    assert_eq!(engine.seen().len(), 1);
}

/// Too strict a check on what a stopping host can finish turned away generations that end before it in any case.
#[test]
fn a_late_generation_whose_deadline_passes_before_its_host_ends_is_served() {
    let (mut world, engine, held) = busy_host();
    engine.behave_as(events(20));
    let stopped_at = stop(&mut world);
    assert!(wait_until(|| stopped_at.elapsed() > NOTICED));

    let request = post("/nets/7", "tokens: 20\r\ndeadline-ms: 3000\r\n", "flag");
    let answer = ask(world.callers(), &request);
    drop(held);
    world.wait_ended();

    assert_eq!((answer.status, answer.whole), (200, true));
}

/// A generation that its host could not finish any more waited for room until the host answered it just before its end.
#[test]
fn a_generation_that_waits_for_room_as_its_host_stops_is_refused_at_once() {
    let (mut world, engine, held) = busy_host();
    let others: Vec<Caller> = (1..SLOTS).map(|_| hold(&world)).collect();
    let mut waiting = Caller::connect(world.callers());
    waiting.send(post("/nets/7", "tokens: 1000\r\n", "report"));
    assert!(wait_until(|| world
        .lines
        .of("RequestQueued")
        .iter()
        .any(|line| line["outcome"] == "waits")));

    let stopped_at = stop(&mut world);
    let answer = waiting.read();
    let took = stopped_at.elapsed();
    drop(held);
    drop(others);
    world.wait_ended();

    assert_eq!((answer.status, ran(&answer).as_str()), (503, "no"));
    assert!(took < AT_ONCE, "{took:?}");
    assert_eq!(given_up(&world, "waiting").len(), 1);
    assert_eq!(engine.seen().len(), SLOTS);
}

/// A late call to an upstream that paused was given up just before its host ended, though it may have run.
#[test]
fn a_late_call_that_may_outlast_its_host_is_refused_at_once() {
    let (mut world, _engine, held) = busy_host();
    let plain = FakeUpstream::start("up-0", &[Behaviour::Mute]);
    world.list(&plain, "ready");
    let routes = json!([
        patient_route("nets", "stream", "reports"),
        patient_route("plain", "once", "nets")
    ]);
    world.log.put("operator", "table", &table(2, routes));
    assert!(wait_until(|| world.has_version(2)));
    let stopped_at = stop(&mut world);
    assert!(wait_until(|| stopped_at.elapsed() > NOTICED));

    let (answer, took) = ask_timed(&world, &get("/plain/1", "deadline-ms: 10000\r\n"));
    drop(held);
    world.wait_ended();

    assert_eq!((answer.status, ran(&answer).as_str()), (503, "no"));
    assert!(took < AT_ONCE, "{took:?}");
    assert_eq!(plain.seen().len(), 0);
}

/// A short generation was taken late in the grace period by an optimistic estimate, and cut at its end.
#[test]
fn a_late_generation_that_is_not_certain_to_finish_is_refused_at_once() {
    let (mut world, engines) = engines(&[HELD]);
    let _held = hold(&world);
    engines[0].behave_as(Behaviour::Mute);
    let stopped_at = stop(&mut world);
    assert!(wait_until(|| stopped_at.elapsed() > NOTICED));

    let asked_at = Instant::now();
    let answer = ask(world.callers(), &post("/nets/7", "tokens: 10\r\n", "flag"));
    let took = asked_at.elapsed();
    world.wait_ended();

    assert_eq!((answer.status, ran(&answer).as_str()), (503, "no"));
    assert_eq!(code(&answer), "not_ready");
    assert!(took < Duration::from_millis(200), "{took:?}");
    assert_eq!(sum_seen(&engines), 1);
}

/// Too strict a check on what a stopping host can finish turned early generations away.
#[test]
fn an_early_generation_that_its_engine_can_finish_is_served() {
    let (mut world, engines) = engines(&[events(20)]);
    stop(&mut world);

    let answer = ask(world.callers(), &post("/nets/7", "tokens: 20\r\n", "flag"));
    world.wait_ended();

    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(sum_seen(&engines), 1);
}

/// How a caller's last requests ended.
#[derive(Default)]
struct Ledger {
    answered: BTreeSet<String>,
    unanswered: BTreeSet<String>,
}

/// Whether these are a head and a body of the length that it states.
fn is_whole(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    header(head, "content-length") == Some(body.len().to_string().as_str())
}

/// Asks on `kept` first and then on new connections until the host is gone.
fn ask_to_the_end(address: SocketAddr, mut kept: Option<TcpStream>, caller: usize) -> Ledger {
    let mut ledger = Ledger::default();
    for number in 0.. {
        let connection = kept.take().or_else(|| TcpStream::connect(address).ok());
        let Some(mut connection) = connection else {
            break;
        };
        let target = format!("/nets/{caller}-{number}");
        // A connection that is closed before the request is written has no answer either.
        let mut answer = Vec::new();
        let written = connection.write_all(get(&target, "").as_bytes());
        let read = written.and_then(|()| connection.set_read_timeout(Some(BOUND)));
        let read = read.and_then(|()| connection.read_to_end(&mut answer));
        match read.is_ok() && is_whole(&answer) {
            true => ledger.answered.insert(target),
            false => ledger.unanswered.insert(target),
        };
    }
    ledger
}

/// A request was sent to an upstream while its host ended, and its caller saw a closed connection.
#[test]
fn what_an_upstream_ran_as_its_host_ended_was_answered() {
    let (mut world, upstreams) = world("once", &[&[Behaviour::Answer(200, "sound")]]);
    let address = world.callers();
    let kept: Vec<TcpStream> = (0..CALLERS)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    stop(&mut world);

    let callers: Vec<_> = kept
        .into_iter()
        .enumerate()
        .map(|(caller, kept)| {
            std::thread::spawn(move || ask_to_the_end(address, Some(kept), caller))
        })
        .collect();
    world.wait_ended();
    let mut ledger = Ledger::default();
    for caller in callers {
        let own = caller.join().unwrap();
        ledger.answered.extend(own.answered);
        ledger.unanswered.extend(own.unanswered);
    }

    let seen = upstreams[0].seen();
    let ran_unanswered: Vec<&str> = seen
        .iter()
        .filter_map(|seen| seen.line().strip_prefix("GET "))
        .filter(|target| ledger.unanswered.contains(*target))
        .collect();
    assert!(ran_unanswered.is_empty(), "{ran_unanswered:?}");
    assert!(ledger.answered.len() > CALLERS);
}

/// A caller that sent its body slowly kept a stopping host from ending, and was cut.
#[test]
fn a_request_that_is_not_read_whole_is_refused_before_its_host_ends() {
    let (mut world, upstreams) = world("once", &[&[Behaviour::Answer(200, "sound")]]);
    stop(&mut world);
    let mut caller = Caller::connect(world.callers());
    let half = post("/nets/7", "", "half of it");
    caller.send(&half[..half.len() - 4]);

    let answer: Answer = caller.read();
    world.wait_ended();

    assert_eq!((answer.status, ran(&answer).as_str()), (503, "no"));
    assert_eq!(sum_seen(&upstreams), 0);
}

/// A stopping host that ran longer work than its grace period took new calls until it was killed.
#[test]
fn a_host_whose_work_outlasts_its_grace_refuses_calls_before_it_ends() {
    let (mut world, _engines) = engines(&[HELD]);
    let plain = FakeUpstream::start("up-0", &[Behaviour::Answer(200, "sound")]);
    world.list(&plain, "ready");
    let routes = json!([route_to("stream", "reports"), {
        "name": "plain", "host": "a.example", "prefix": "/plain/", "kind": "once",
        "timeout_ms": 4000, "objective_ms": 1000, "service": "nets", "attempts": 1}]);
    world.log.put("operator", "table", &table(2, routes));
    assert!(wait_until(|| ask(world.callers(), &get("/plain/1", ""))
        .status
        == 200));
    let _held = hold(&world);
    stop(&mut world);

    let mut last = Answer::default();
    while let Ok(mut connection) = TcpStream::connect(world.callers()) {
        let mut answer = Vec::new();
        let asked = connection.write_all(get("/plain/2", "").as_bytes());
        let read = asked.and_then(|()| connection.read_to_end(&mut answer));
        let text = String::from_utf8_lossy(&answer).into_owned();
        if read.is_err() || text.is_empty() {
            break;
        }
        let status = text.split(' ').nth(1).and_then(|text| text.parse().ok());
        last.status = status.unwrap_or(0);
    }
    world.wait_ended();

    assert_eq!(last.status, 503);
}
