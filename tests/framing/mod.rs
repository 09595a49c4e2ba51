//! Answers of upstreams that come with neither a length nor chunks, and streams that end inside an event.

use std::time::Duration;

use serde_json::json;

use crate::code;
use crate::engines;
use crate::events;
use crate::gatewayworld::Answer;
use crate::gatewayworld::Behaviour;
use crate::gatewayworld::Caller;
use crate::gatewayworld::ConnectionEnd;
use crate::gatewayworld::Cut;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route_to;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;
use crate::get;
use crate::ids;
use crate::post;
use crate::ran;
use crate::sum_seen;
use crate::world;

/// Heads of answers that end with their connection.
const UNFRAMED_HEADS: [&str; 4] = [
    "HTTP/1.1 200 X\r\n",
    "HTTP/1.1 200 X\r\nconnection: close\r\n",
    "HTTP/1.0 200 X\r\n",
    "HTTP/1.0 200 X\r\nconnection: keep-alive\r\n",
];
const CHUNKED_HEAD: &str = "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n";
/// Time that a copy of a run takes.
const COPY_TIME: Duration = Duration::from_millis(60);
/// Hosts of a fleet in which one is cut off from its upstreams.
const HOSTS: usize = 3;

fn raw(head: &'static str, body: impl Into<String>, end: ConnectionEnd) -> Behaviour {
    Behaviour::Raw {
        head,
        body: body.into(),
        end,
    }
}

/// Whole events with the ids from 1 to `to`.
fn whole_events(to: u64) -> String {
    (1..=to)
        .map(|id| format!("id: {id}\ndata: x\n\n"))
        .collect()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn ask_stream(host: &World) -> Answer {
    ask(host.callers(), &post("/nets/7", "tokens: 40\r\n", "report"))
}

#[test]
fn calls_whose_answer_ends_with_its_connection_are_whole() {
    for kind in ["once", "idempotent"] {
        for head in UNFRAMED_HEADS {
            let (world, _upstreams) = world(kind, &[&[raw(head, "sound", ConnectionEnd::Closed)]]);

            let answers = [1, 2].map(|_| ask(world.callers(), &get("/nets/7", "")));

            for answer in answers {
                assert_eq!((answer.status, answer.text().as_str()), (200, "sound"));
                assert!(answer.whole, "{kind} {head}");
                assert_eq!(answer.header("content-length"), Some("5"));
            }
        }
    }
}

#[test]
fn a_connection_that_ended_an_answer_is_not_used_again() {
    let framed = "HTTP/1.1 200 X\r\nconnection: close\r\ncontent-length: 5\r\n";
    for head in [UNFRAMED_HEADS[0], UNFRAMED_HEADS[3], framed] {
        let (world, upstreams) = world(
            "idempotent",
            &[&[raw(head, "sound", ConnectionEnd::Closed)]],
        );
        let mut caller = Caller::connect(world.callers());

        let texts = [1, 2, 3, 4].map(|_| {
            caller.send(get("/nets/7", ""));
            caller.read().text()
        });

        assert_eq!(texts, ["sound"; 4]);
        let seen = upstreams[0].seen();
        let connections: Vec<usize> = seen.iter().map(|seen| seen.connection).collect();
        assert_eq!(connections, [1, 2, 3, 4], "{head}");
    }
}

#[test]
fn a_call_whose_connection_is_reset_is_not_whole() {
    for head in UNFRAMED_HEADS {
        let reset: &[Behaviour] = &[raw(head, "the first half", ConnectionEnd::Reset)];
        let (once, upstreams) = world("once", &[reset, reset]);
        let (repeated, _upstreams) =
            world("idempotent", &[reset, &[Behaviour::Answer(200, "sound")]]);

        let failed = ask(once.callers(), &get("/nets/7", ""));
        let texts = [1, 2, 3].map(|_| ask(repeated.callers(), &get("/nets/7", "")).text());

        assert_eq!(
            (failed.status, code(&failed).as_str()),
            (502, "upstream_failed")
        );
        assert_eq!(
            (ran(&failed).as_str(), sum_seen(&upstreams)),
            ("unknown", 1)
        );
        assert_eq!(texts, ["sound"; 3], "{head}");
    }
}

#[test]
fn a_stream_that_ends_with_its_connection_between_events_is_whole() {
    for head in UNFRAMED_HEADS {
        let (world, engines) = engines(&[raw(head, whole_events(7), ConnectionEnd::Closed)]);

        let answer = ask_stream(&world);

        assert!(answer.whole, "{head}: {}", world.last_lines(4));
        assert_eq!(ids(&answer.text()), (1..=7).collect::<Vec<u64>>());
        assert_eq!(sum_seen(&engines), 1);
    }
}

#[test]
fn a_stream_whose_connection_is_reset_looks_broken() {
    for head in UNFRAMED_HEADS {
        let (world, engines) = engines(&[raw(head, whole_events(7), ConnectionEnd::Reset)]);

        let answer = ask_stream(&world);

        assert!(!answer.whole, "{head}");
        assert_eq!(sum_seen(&engines), 1);
    }
}

#[test]
fn a_stream_that_ends_inside_an_event_looks_broken() {
    let events = whole_events(2);
    let parts = [
        "id: 3\ndata: x\n",
        "id: 3\ndata: x\r\n",
        "id: 3\nda",
        "id: 3",
        "\r",
    ];
    let unframed = parts.map(|part| (UNFRAMED_HEADS[0], format!("{events}{part}")));
    let chunked = parts.map(|part| {
        let body = chunk(&events) + &chunk(part) + "0\r\n\r\n";
        (CHUNKED_HEAD, body)
    });
    let sized = [(
        "HTTP/1.1 200 X\r\ncontent-length: 38\r\n",
        format!("{events}id: 3\n"),
    )];
    let in_chunk = [
        (CHUNKED_HEAD, chunk(&events) + "e\r\nid: 3\nda"),
        (CHUNKED_HEAD, chunk(&events) + "e"),
        (CHUNKED_HEAD, chunk(&events)),
    ];
    let all = unframed
        .into_iter()
        .chain(chunked)
        .chain(sized)
        .chain(in_chunk);
    for (head, body) in all {
        let (world, engines) = engines(&[raw(head, body.clone(), ConnectionEnd::Closed)]);

        let answer = ask_stream(&world);

        assert!(!answer.whole, "{head}{body}");
        assert_eq!(ids(&answer.text()), [1, 2], "{head}{body}");
        assert_eq!(sum_seen(&engines), 1);
    }
}

// Guards against a crash taken for an answer: no generation ends before its first event.
#[test]
fn a_stream_that_ends_with_its_connection_before_its_first_event_looks_broken() {
    for head in UNFRAMED_HEADS {
        let (world, _engines) = engines(&[raw(head, "", ConnectionEnd::Closed)]);

        let answer = ask_stream(&world);

        assert!(!answer.whole, "{head}");
    }
}

/// Starts a stream that waits after event 7 until its run is stopped, and lists an engine to which it can move.
fn begin_held(continued: Behaviour) -> (World, Vec<FakeUpstream>, FakeUpstream, Caller) {
    let held = Behaviour::UnframedEvents {
        to: 40,
        hold_after: Some(7),
    };
    let (world, engines) = engines(&[held]);
    let mut caller = Caller::connect(world.callers());
    caller.send(post("/nets/7", "tokens: 40\r\n", "report"));
    assert!(caller.read_until("id: 7\n"));
    let other = FakeUpstream::of("reports", "engine-9", &[continued]);
    world.list(&other, "ready");
    // The stopped run's stream ends before the copy is confirmed.
    engines[0].copy_for(COPY_TIME);
    (world, engines, other, caller)
}

// Guards against half an answer that looks whole: a stopped run closes its stream, which without framing ends like a
// complete one.
#[test]
fn a_moved_stream_that_ends_with_its_connection_goes_on() {
    let continued = [
        events(40),
        Behaviour::UnframedEvents {
            to: 40,
            hold_after: None,
        },
    ];
    for continued in continued {
        let (world, engines, other, mut caller) = begin_held(continued);

        world.list(&engines[0], "leaving");
        let answer = caller.read();

        assert!(answer.whole, "{}", world.last_lines(6));
        assert_eq!(ids(&answer.text()), (1..=40).collect::<Vec<u64>>());
        assert_eq!(other.seen()[0].header("last-event-id"), Some("7"));
    }
}

#[test]
fn a_moved_stream_that_goes_on_without_further_events_is_whole() {
    let nothing = raw(UNFRAMED_HEADS[0], "", ConnectionEnd::Closed);
    let (world, engines, _other, mut caller) = begin_held(nothing);

    world.list(&engines[0], "leaving");
    let answer = caller.read();

    assert!(answer.whole, "{}", world.last_lines(6));
    assert_eq!(ids(&answer.text()), (1..=7).collect::<Vec<u64>>());
}

#[test]
fn a_moved_stream_that_is_reset_after_its_move_looks_broken() {
    let body = "id: 8\ndata: x\n\n";
    let (world, engines, _other, mut caller) =
        begin_held(raw(UNFRAMED_HEADS[0], body, ConnectionEnd::Reset));

    world.list(&engines[0], "leaving");
    let answer = caller.read();

    assert!(!answer.whole);
}

/// Hosts of which the second reaches no upstream, and engines with this behaviour.
fn start_cut_off(behaviour: Behaviour) -> (Vec<World>, FakeUpstream) {
    let hosts = World::start_fleet(HOSTS);
    hosts[1].links.prepare_cuts();
    let engine = FakeUpstream::of("reports", "engine", &[behaviour]);
    hosts[0].list(&engine, "ready");
    let routes = json!([route_to("stream", "reports")]);
    hosts[0].log.put("operator", "table", &table(1, routes));
    assert!(wait_until(|| hosts.iter().all(World::is_ready)));
    assert!(wait_until(|| {
        let joined = |host: &World| host.lines.of("PeerJoined").len();
        hosts.iter().all(|host| joined(host) == HOSTS - 1)
    }));
    hosts[1].links.cut(Cut::Reset);
    (hosts, engine)
}

#[test]
fn a_carried_stream_that_ends_with_its_connection_is_whole() {
    let whole = raw(UNFRAMED_HEADS[0], whole_events(7), ConnectionEnd::Closed);
    let (hosts, _engine) = start_cut_off(whole);
    assert!(wait_until(|| ask_stream(&hosts[1]).status == 200));

    let answer = ask_stream(&hosts[1]);

    assert!(answer.whole, "{}", hosts[1].last_lines(6));
    assert_eq!(ids(&answer.text()), (1..=7).collect::<Vec<u64>>());
}

#[test]
fn a_carried_stream_whose_connection_is_reset_looks_broken() {
    let reset = raw(UNFRAMED_HEADS[0], whole_events(7), ConnectionEnd::Reset);
    let (hosts, _engine) = start_cut_off(reset);
    assert!(wait_until(|| ask_stream(&hosts[1]).status == 200));

    let answer = ask_stream(&hosts[1]);

    assert!(!answer.whole, "{}", hosts[1].last_lines(6));
}

#[test]
fn a_carried_stream_that_ends_with_its_carrier_looks_broken() {
    let (hosts, engine) = start_cut_off(Behaviour::UnframedEvents {
        to: 40,
        hold_after: Some(3),
    });
    // The first request finds out that the engine can't be reached.
    ask_stream(&hosts[1]);
    let mut caller = Caller::connect(hosts[1].callers());
    caller.send(post("/nets/7", "tokens: 40\r\n", "report"));
    assert!(caller.read_until("id: 3\n"), "{}", hosts[1].last_lines(8));
    let carried = hosts[1].lines.of("UpstreamTunnelled");
    let carrier = carried.last().unwrap()["carrier"].as_str().unwrap();

    let host = hosts.iter().find(|host| host.name() == carrier);
    host.unwrap().kill();
    let answer = caller.read();

    assert!(!answer.whole);
    assert_eq!(engine.seen().len(), 1);
}
