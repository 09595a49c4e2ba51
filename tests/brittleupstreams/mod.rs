//! Upstreams that fall over if they have to turn many requests away, and let fewer of them wait without a notice.

#![allow(clippy::unwrap_used, reason = "fixtures of tests")]

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
use crate::post;

const HOSTS: usize = 4;
/// Callers of each host, who ask again at once: more than the upstreams have room for.
const CALLERS_PER_HOST: usize = 6;
const RUN_TIME: Duration = Duration::from_millis(250);
/// Rejections a second that an upstream bears.
const BEARS_PER_S: f64 = 12.0;
/// Requests that an upstream takes at first, and after its room has shrunk.
const ROOM: usize = 12;
const ROOM_LEFT: usize = 2;
/// Time from which the bound holds after upstreams have first named it.
const LEARNING_TIME: Duration = Duration::from_secs(3);
/// Time over which the room that is left is used.
const SHRUNK_TIME: Duration = Duration::from_secs(5);
/// Share of the room that is left which has to be used.
const USED_SHARE_MIN: f64 = 0.5;

/// Has callers send to all hosts for a time. Returns how many were served.
fn call_all(hosts: &[World], time: Duration) -> usize {
    let ends = Instant::now() + time;
    let call = |address| {
        let mut served = 0;
        while Instant::now() < ends {
            let answer = ask(address, &post("/nets/7", "", "tighten"));
            served += usize::from(answer.status == 200);
        }
        served
    };
    std::thread::scope(|scope| {
        let callers = hosts.iter().flat_map(|host| {
            let address = host.callers();
            (0..CALLERS_PER_HOST).map(move |_| scope.spawn(move || call(address)))
        });
        let callers: Vec<_> = callers.collect();
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .sum()
    })
}

/// The most rejections of an upstream in any second.
fn most_rejections(upstream: &FakeUpstream) -> usize {
    let rejected = upstream.rejected();
    let in_second = |from: &Instant| {
        let second = rejected.iter().filter(|at| *at >= from);
        second
            .filter(|at| **at - *from < Duration::from_secs(1))
            .count()
    };
    rejected.iter().map(in_second).max().unwrap_or(0)
}

// Guards against an upstream that falls over: hosts sent to it by its load while it turned requests away.
#[test]
fn hosts_together_keep_the_rejections_that_an_upstream_bears_and_use_its_room() {
    let answer = Behaviour::AnswerAfter(RUN_TIME, "sound");
    let upstreams: Vec<FakeUpstream> = ["up-0", "up-1", "up-2"]
        .map(|name| FakeUpstream::start(name, std::slice::from_ref(&answer)))
        .into();
    let hosts = World::start_fleet(HOSTS);
    for upstream in &upstreams {
        upstream.be_brittle(BEARS_PER_S, ROOM);
        hosts[0].list(upstream, "ready");
    }
    let log = &hosts[0].log;
    log.put("operator", "table", &table(1, json!([route("once")])));
    assert!(wait_until(|| hosts.iter().all(World::is_ready)));
    call_all(&hosts, LEARNING_TIME);

    for upstream in &upstreams {
        upstream.be_brittle(BEARS_PER_S, ROOM_LEFT);
    }
    let served = call_all(&hosts, SHRUNK_TIME);

    let most: Vec<usize> = upstreams.iter().map(most_rejections).collect();
    assert!(
        most.iter().all(|most| *most as f64 <= BEARS_PER_S),
        "{most:?}"
    );
    let room = (upstreams.len() * ROOM_LEFT) as f64 * SHRUNK_TIME.div_duration_f64(RUN_TIME);
    let used = served as f64 / room;
    assert!(
        used > USED_SHARE_MIN,
        "{used:.2} of the room was used, rejections {most:?}"
    );
}
