//! Routes and customers whose requests may run in some regions only.

use serde_json::Value;
use serde_json::json;

use crate::code;
use crate::gatewayworld::Behaviour;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;
use crate::get;
use crate::ran;

const REQUESTS: usize = 40;

/// A host with an upstream in each of two regions, `valley`, which is its own, and `coast`.
fn deployment(table: &Value) -> (World, FakeUpstream, FakeUpstream) {
    let world = World::start();
    let sound = [Behaviour::Answer(200, "sound")];
    let valley = FakeUpstream::start("up-valley", &sound);
    let coast = FakeUpstream::start("up-coast", &sound).in_data_centre("south");
    for upstream in [&valley, &coast] {
        world.list(upstream, "ready");
    }
    world.log.put("operator", "table", table);
    assert!(wait_until(|| world.is_ready()));
    (world, valley, coast)
}

fn route_within(regions: &[&str]) -> Value {
    let mut route = route("idempotent");
    route["regions"] = json!(regions);
    route
}

// Requests ran wherever there was room.
#[test]
fn requests_of_a_route_run_only_where_it_allows() {
    let (world, valley, coast) = deployment(&table(1, json!([route_within(&["coast"])])));

    for _ in 0..REQUESTS {
        assert_eq!(ask(world.callers(), &get("/nets/7", "")).status, 200);
    }

    assert_eq!(valley.seen().len(), 0);
    assert_eq!(coast.seen().len(), REQUESTS);
}

#[test]
fn requests_run_where_both_route_and_customer_allow() {
    let mut table = table(1, json!([route_within(&["valley", "coast"])]));
    table["customer_regions"] = json!(["coast", "island"]);
    let (world, valley, coast) = deployment(&table);

    for _ in 0..REQUESTS {
        assert_eq!(ask(world.callers(), &get("/nets/7", "")).status, 200);
    }

    assert_eq!(valley.seen().len(), 0);
    assert_eq!(coast.seen().len(), REQUESTS);
}

#[test]
fn a_request_that_may_run_nowhere_is_refused_at_once() {
    let (world, valley, coast) = deployment(&table(1, json!([route_within(&["island"])])));

    let answer = ask(world.callers(), &get("/nets/7", ""));

    assert_eq!(answer.status, 503);
    assert_eq!(
        (code(&answer), ran(&answer)),
        ("no_upstream".into(), "no".into())
    );
    assert!(valley.seen().is_empty() && coast.seen().is_empty());
}
