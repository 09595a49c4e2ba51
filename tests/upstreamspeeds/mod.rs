//! Hosts measure how fast upstreams work and send less to those that are slow.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::gatewayworld::Behaviour;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route;
use crate::post;
use cedargauge::gateway::settings::LoadFeatures;

const USUAL: Behaviour = Behaviour::AnswerAfter(Duration::from_millis(20), "sound");
const SLOW: Behaviour = Behaviour::AnswerAfter(Duration::from_millis(80), "sound");
/// Callers that each ask as soon as they have their answer: five running calls at three upstreams of four slots.
const CALLERS: usize = 5;
/// Time in which requests are counted.
const COUNTED: Duration = Duration::from_secs(3);
/// Time within which a change of speed shows in the choices.
const NOTICED: Duration = Duration::from_secs(40);

fn requests(upstreams: &[FakeUpstream]) -> Vec<usize> {
    upstreams.iter().map(|one| one.seen().len()).collect()
}

/// Requests that each upstream gets in [`COUNTED`].
fn count(upstreams: &[FakeUpstream]) -> Vec<usize> {
    let before = requests(upstreams);
    std::thread::sleep(COUNTED);
    let after = requests(upstreams);
    after
        .iter()
        .zip(before)
        .map(|(after, before)| after - before)
        .collect()
}

/// Counts until the last upstream's share of the requests is within `shares`, or [`NOTICED`] has passed.
fn last_share_becomes(
    upstreams: &[FakeUpstream],
    shares: std::ops::Range<f64>,
) -> (bool, Vec<usize>) {
    let ends = Instant::now() + NOTICED;
    loop {
        let counted = count(upstreams);
        let all: usize = counted.iter().sum();
        let share = counted[upstreams.len() - 1] as f64 / all as f64;
        let is_within = shares.contains(&share);
        if is_within || Instant::now() > ends {
            return (is_within, counted);
        }
    }
}

/// Runs `observe` while callers ask a host of three upstreams, the last of which is slow.
fn while_callers_ask(features: LoadFeatures, observe: impl FnOnce(&[FakeUpstream])) {
    let upstreams = [
        FakeUpstream::start("up-0", &[USUAL]),
        FakeUpstream::start("up-1", &[USUAL]),
        FakeUpstream::start("up-slow", &[SLOW]),
    ];
    let listed: Vec<&FakeUpstream> = upstreams.iter().collect();
    let host = World::serving_with(
        |settings| settings.features = features,
        json!([route("idempotent")]),
        &listed,
    );
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    ask(host.callers(), &post("/nets/7", "", "tighten"));
                }
            });
        }
        let observed = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            observe(&upstreams);
        }));
        is_over.store(true, Ordering::Relaxed);
        if let Err(failed) = observed {
            std::panic::resume_unwind(failed);
        }
    });
}

// Calls are placed by the load alone without the feature: a slow upstream keeps nearly a third of the running ones, and
// so gets an eighth to a sixth of the requests although it is four times as slow.
#[test]
fn a_slow_upstream_gets_less_and_as_much_as_the_others_once_it_is_well() {
    let features = LoadFeatures {
        upstream_speeds: true,
        ..LoadFeatures::default()
    };
    while_callers_ask(features, |upstreams| {
        let (gets_less, counted) = last_share_becomes(upstreams, 0.0..0.06);
        assert!(gets_less, "{counted:?}");

        upstreams[2].behave_as(USUAL);
        let (is_used, counted) = last_share_becomes(upstreams, 0.27..0.40);
        assert!(is_used, "{counted:?}");
    });
}

#[test]
fn without_the_feature_speed_changes_nothing() {
    while_callers_ask(LoadFeatures::default(), |upstreams| {
        let counted = count(upstreams);
        let share = counted[2] as f64 / counted.iter().sum::<usize>() as f64;
        assert!(share > 0.07, "{counted:?}");
    });
}
