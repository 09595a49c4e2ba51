//! The memory of a host while upstreams send without end. A program of its own, as it counts all allocations.

#[allow(dead_code, unused_imports, reason = "tests/gateway uses the rest")]
mod gatewayworld;

use std::alloc::System;

use serde_json::json;
use stats_alloc::INSTRUMENTED_SYSTEM;
use stats_alloc::StatsAlloc;

use crate::gatewayworld::Behaviour;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::Pace;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route;
use crate::gatewayworld::route_to;

/// What a host may allocate meanwhile: half of the smallest host's memory.
const HELD_BYTES_MAX: usize = 44 << 20;
/// Upstreams that send without end at the same time.
const ENDLESS_UPSTREAMS: usize = 24;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn held_bytes() -> usize {
    let stats = ALLOCATOR.stats();
    stats
        .bytes_allocated
        .saturating_sub(stats.bytes_deallocated)
}

/// A body that would end with its connection.
fn endless() -> Behaviour {
    Behaviour::Endless {
        begin: "HTTP/1.1 200 X\r\nrequest-id: {id}\r\n\r\n",
        repeated: "x",
        pace: Pace::Fast,
    }
}

fn get(path: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: a.example\r\nauthorization: Key key-1\r\nrequest-id: r-1\r\n\r\n"
    )
}

// Guards against a host that outgrows its memory: each body without length was collected until its deadline.
#[test]
fn many_endless_bodies_leave_memory_and_time_for_other_requests() {
    let upstreams: Vec<FakeUpstream> = (0..ENDLESS_UPSTREAMS)
        .map(|index| FakeUpstream::start(&format!("up-{index}"), &[endless()]))
        .collect();
    let sound_one = FakeUpstream::of("other", "sound", &[Behaviour::Answer(200, "sound")]);
    let mut other = route_to("idempotent", "other");
    other["prefix"] = json!("/other/");
    other["name"] = json!("other");
    let listed: Vec<&FakeUpstream> = upstreams.iter().chain([&sound_one]).collect();
    let host = World::serving(json!([route("once"), other]), &listed);
    let before = held_bytes();

    let callers: Vec<_> = (0..ENDLESS_UPSTREAMS)
        .map(|_| {
            let address = host.callers();
            std::thread::spawn(move || ask(address, &get("/nets/7")).status)
        })
        .collect();
    let mut peak = 0;
    let mut served = 0;
    while callers.iter().any(|caller| !caller.is_finished()) {
        served += usize::from(ask(host.callers(), &get("/other/7")).status == 200);
        peak = peak.max(held_bytes().saturating_sub(before));
    }

    let statuses: Vec<u16> = callers.into_iter().map(|it| it.join().unwrap()).collect();
    assert!(statuses.iter().all(|status| *status == 502), "{statuses:?}");
    assert!(served > 0);
    assert!(peak < HELD_BYTES_MAX, "{} MB", peak >> 20);
}
