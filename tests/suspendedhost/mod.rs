//! Suspension of a host: its steady clock doesn't count the time, and its view of upstreams and peers is
//! stale.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::code;
use crate::gatewayworld::Behaviour;
use crate::gatewayworld::Caller;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::Silence;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;
use crate::get;
use crate::ran;

/// Longer than any bound on the age of a host's view.
const SUSPENDED: Duration = Duration::from_secs(8);
/// A resumed host detects by itself what changed within this time.
const DETECT_WITHIN: Duration = Duration::from_secs(2);

fn status(world: &World) -> u16 {
    ask(world.callers(), &get("/nets/7", "")).status
}

/// A host that has just resumed and whose reads of the log are not answered yet. One of its two upstreams
/// is leaving, and the host missed the notice.
fn resumed_host() -> (World, [FakeUpstream; 2]) {
    let healthy = [Behaviour::Answer(200, "sound")];
    let upstreams = ["up-0", "up-1"].map(|id| FakeUpstream::start(id, &healthy));
    let world = World::serving(json!([route("once")]), &[&upstreams[0], &upstreams[1]]);
    world.log.set_silence(Silence::AllCalls);
    world.list(&upstreams[0], "leaving");
    world.wake_after(SUSPENDED);
    (world, upstreams)
}

// Guards against a resumed host that acts on its old view: after 8 s of suspension it didn't know of a
// leaving notice, and half of the requests before its next read of the log went to the upstream that had
// left.
#[test]
fn nothing_is_sent_on_state_from_before_the_suspension() {
    let (world, upstreams) = resumed_host();

    let answers: Vec<_> = (0..4)
        .map(|_| ask(world.callers(), &get("/nets/7", "")))
        .collect();

    let seen = upstreams[0].seen().len();
    assert_eq!(seen, 0, "sent to the upstream that left");
    for answer in answers {
        let refused = (answer.status, code(&answer), ran(&answer));
        assert_eq!(refused, (503, "not_ready".to_owned(), "no".to_owned()));
    }
}

#[test]
fn a_resumed_host_serves_once_it_has_read_the_log() {
    let (world, upstreams) = resumed_host();
    let was_ready = world.is_ready();

    world.log.set_silence(Silence::None);

    assert!(!was_ready);
    assert!(wait_until(|| world.is_ready()));
    for _ in 0..8 {
        assert_eq!(status(&world), 200);
    }
    assert_eq!(upstreams[0].seen().len(), 0);
}

#[test]
fn a_resumed_host_serves_on_known_state_while_the_log_is_down() {
    let (world, _upstreams) = resumed_host();
    world.log.set_down(true);

    assert!(wait_until(|| status(&world) == 200));
}

#[test]
fn a_stream_whose_deadline_passed_during_the_suspension_is_ended() {
    let holding = Behaviour::Events {
        to: 9,
        break_after: None,
        hold_after: Some(2),
    };
    let upstream = FakeUpstream::start("up-0", &[holding]);
    let world = World::serving(json!([route("stream")]), &[&upstream]);
    let mut caller = Caller::connect(world.callers());
    caller.send(get("/nets/7", "deadline-ms: 4000\r\n"));
    assert!(caller.read_until("id: 2"));

    let resumed = Instant::now();
    world.wake_after(SUSPENDED);

    let answer = caller.read();
    assert!(!answer.whole);
    assert!(resumed.elapsed() < DETECT_WITHIN, "{:?}", resumed.elapsed());
}

#[test]
fn the_deadline_sent_upstream_is_not_extended_by_a_suspension() {
    let behaviours = [Behaviour::NotRun, Behaviour::Answer(200, "sound")];
    let upstream = FakeUpstream::start("up-0", &behaviours);
    let world = World::serving(json!([route("once")]), &[&upstream]);
    world.wake_after(SUSPENDED);
    world
        .log
        .put("operator", "table", &table(2, json!([route("once")])));
    assert!(wait_until(|| world.is_ready() && world.has_version(2)));

    status(&world);

    let seen = &upstream.seen()[0];
    let left_ms: u64 = seen.header("deadline-ms").unwrap().parse().unwrap();
    assert!((1..=4_000).contains(&left_ms), "{left_ms}");
}
