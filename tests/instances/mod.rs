//! Upstreams that restart under the same id, and records that other writers put into their topic.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::gatewayworld::Behaviour;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route;
use crate::gatewayworld::wait_until;
use crate::get;

/// A listed upstream gets work within this time: two of its heartbeats.
const LISTING_DELAY_MAX: Duration = Duration::from_millis(1_000);

fn list_instance(world: &World, upstream: &FakeUpstream, born_ms: u64) {
    let mut entry = upstream.entry("ready");
    entry["born_ms"] = json!(born_ms);
    world.log.put("upstreams", upstream.id(), &entry);
}

fn call_status(world: &World) -> u16 {
    ask(world.callers(), &get("/nets/7", "")).status
}

// Health was tracked by the upstream's id. An upstream that had answered as another instance than the listed
// one was avoided for 120 s, even after it had restarted under its id and was listed again.
#[test]
fn a_restarted_upstream_gets_work_once_it_is_listed_again() {
    let behaviours = [Behaviour::OtherInstance, Behaviour::Answer(200, "sound")];
    let upstream = FakeUpstream::start("up-0", &behaviours);
    let world = World::serving(json!([route("idempotent")]), &[&upstream]);
    let first_call = call_status(&world);
    let second_call = call_status(&world);
    let seen_before = upstream.seen().len();

    list_instance(&world, &upstream, 9);

    let listed = Instant::now();
    assert_eq!((first_call, second_call, seen_before), (503, 503, 1));
    assert!(wait_until(|| call_status(&world) == 200));
    assert!(
        listed.elapsed() < LISTING_DELAY_MAX,
        "{:?}",
        listed.elapsed()
    );
}

// Another writer's record, without the fields of an upstream, replaced the record of a listed upstream. It
// was skipped, so the upstream went on getting work although the log no longer listed it.
#[test]
fn a_foreign_record_removes_the_upstream_that_it_replaces() {
    let upstreams =
        ["up-0", "up-1"].map(|id| FakeUpstream::start(id, &[Behaviour::Answer(200, "sound")]));
    let world = World::serving(json!([route("idempotent")]), &[&upstreams[0]]);

    world.log.put("upstreams", "up-0", &json!({"who": "else"}));
    world.list(&upstreams[1], "ready");

    assert!(wait_until(|| {
        call_status(&world);
        !upstreams[1].seen().is_empty()
    }));
    let seen_before = upstreams[0].seen().len();
    let statuses: Vec<u16> = (0..20).map(|_| call_status(&world)).collect();
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert_eq!(upstreams[0].seen().len(), seen_before);
}

#[test]
fn a_replaced_upstream_is_used_again_once_it_lists_itself() {
    let upstream = FakeUpstream::start("up-0", &[Behaviour::Answer(200, "sound")]);
    let world = World::serving(json!([route("idempotent")]), &[&upstream]);
    world.log.put("upstreams", "up-0", &json!([1, 2]));
    assert!(wait_until(|| call_status(&world) == 503));

    world.list(&upstream, "ready");

    assert!(wait_until(|| call_status(&world) == 200));
}
