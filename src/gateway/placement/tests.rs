use std::collections::BTreeMap;
use std::sync::Arc;

use super::Candidate;
use super::Need;
use super::PlacementContext;
use super::RemoteCounts;
use super::choose;
use crate::gateway::directory::Upstream;
use crate::gateway::directory::UpstreamState;
use crate::gateway::instance::InstanceId;
use crate::gateway::loads::Load;
use crate::gateway::reportedloads::ReportedLoad;
use crate::gateway::speeds::Slowness;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::VersionId;

fn candidate(id: &str, data_centre: &str, load: Load) -> Candidate {
    Candidate {
        upstream: Arc::new(Upstream {
            id: InstanceId::from(UpstreamId::new(id)),
            service: ServiceId::new("inspection"),
            address: "127.0.0.1:9000".parse().unwrap(),
            data_centre: DataCentre::new(data_centre),
            state: UpstreamState::Ready,
            slots: 10,
            cold_left_ms: 0,
            version: VersionId::new("v1"),
            sequence: 0,
        }),
        load,
        reported: None,
        slowness: Slowness::default(),
        unhealthy: false,
    }
}

fn load(requests: u32, tokens: u32, unread_tokens: u32) -> Load {
    Load {
        requests,
        tokens,
        unread_tokens,
    }
}

const GENERATION: Need = Need::Memory {
    tokens: 4_000,
    prompt_tokens: 3_000,
    memory_tokens: 34_000,
};

const COPY: Need = Need::Copy {
    tokens: 4_000,
    memory_tokens: 34_000,
};

fn choose_id(need: Need, candidates: &[Candidate]) -> Option<String> {
    choose_with(RemoteCounts::Fresh, need, candidates)
}

fn choose_with(
    remote_counts: RemoteCounts,
    need: Need,
    candidates: &[Candidate],
) -> Option<String> {
    let context = PlacementContext {
        data_centre: &DataCentre::new("north"),
        remote_counts,
    };
    choose(need, candidates, context, || 0.0).map(|candidate| candidate.upstream.id.to_string())
}

#[test]
fn a_generation_goes_where_the_most_memory_is_free() {
    let candidates = [
        candidate("full", "north", load(5, 20_000, 0)),
        candidate("free", "north", load(5, 9_000, 0)),
    ];

    assert_eq!(choose_id(GENERATION, &candidates), Some("free".into()));
}

#[test]
fn unread_prompts_count_against_an_engine() {
    let candidates = [
        candidate("reading", "north", load(2, 6_000, 6_000)),
        candidate("read", "north", load(3, 10_000, 0)),
    ];

    assert_eq!(choose_id(GENERATION, &candidates), Some("read".into()));
}

#[test]
fn a_copy_stays_local_unless_a_remote_engine_has_far_more_memory() {
    let local = candidate("local", "north", load(7, 24_000, 0));
    let remote = candidate("remote", "south", load(4, 14_000, 0));
    let empty = candidate("empty", "south", load(0, 0, 0));

    assert_eq!(
        choose_id(COPY, &[local.clone(), remote]),
        Some("local".into())
    );
    assert_eq!(choose_id(COPY, &[local, empty]), Some("empty".into()));
}

#[test]
fn a_call_goes_remote_only_when_local_slots_are_busy() {
    let local = candidate("local", "north", load(1, 0, 0));
    let remote = candidate("remote", "south", load(0, 0, 0));
    let busy = candidate("busy", "north", load(5, 0, 0));

    assert_eq!(
        choose_id(Need::Slot, &[local, remote.clone()]),
        Some("local".into())
    );
    assert_eq!(
        choose_id(Need::Slot, &[busy, remote]),
        Some("remote".into())
    );
}

#[test]
fn an_unhealthy_upstream_is_chosen_only_without_an_alternative() {
    let mut unhealthy = candidate("unhealthy", "north", load(0, 0, 0));
    unhealthy.unhealthy = true;
    let loaded = candidate("loaded", "south", load(9, 0, 0));

    assert_eq!(
        choose_id(Need::Slot, &[unhealthy.clone(), loaded]),
        Some("loaded".into())
    );
    assert_eq!(
        choose_id(Need::Slot, &[unhealthy]),
        Some("unhealthy".into())
    );
    assert_eq!(choose_id(Need::Slot, &[]), None);
}

#[test]
fn stale_remote_counts_attract_no_generation_while_local_engines_have_room() {
    let candidates = [
        candidate("local", "north", load(5, 22_000, 3_000)),
        candidate("new", "south", load(0, 0, 0)),
    ];

    assert_eq!(
        choose_with(RemoteCounts::Fresh, GENERATION, &candidates),
        Some("new".into())
    );
    assert_eq!(
        choose_with(RemoteCounts::Stale, GENERATION, &candidates),
        Some("local".into())
    );
}

#[test]
fn spilled_generations_spread_over_remote_engines() {
    let candidates = [
        candidate("local", "north", load(8, 33_000, 0)),
        candidate("emptier", "south", load(1, 4_000, 0)),
        candidate("empty", "south", load(0, 0, 0)),
    ];
    let context = PlacementContext {
        data_centre: &DataCentre::new("north"),
        remote_counts: RemoteCounts::Stale,
    };
    let mut draws = [0.5, 0.1, 0.9].into_iter();

    let chosen = choose(GENERATION, &candidates, context, || draws.next().unwrap());

    assert_eq!(chosen.unwrap().upstream.id.as_str(), "emptier");
}

#[test]
fn full_or_busy_local_engines_send_generations_to_remote_ones() {
    let new = candidate("new", "south", load(0, 0, 0));
    for full_or_busy in [load(8, 30_000, 0), load(2, 9_000, 6_000)] {
        let candidates = [candidate("local", "north", full_or_busy), new.clone()];

        assert_eq!(
            choose_with(RemoteCounts::Stale, GENERATION, &candidates),
            Some("new".into())
        );
    }
}

#[test]
fn a_generation_stays_local_while_a_prompt_is_being_read_there() {
    let local = candidate("local", "north", load(3, 12_000, 1_500));
    let remote = candidate("remote", "south", load(1, 4_000, 0));
    let empty = candidate("empty", "south", load(0, 0, 0));
    let crowded = candidate("crowded", "north", load(7, 28_000, 6_000));

    assert_eq!(
        choose_id(GENERATION, &[local, remote]),
        Some("local".into())
    );
    assert_eq!(
        choose_id(GENERATION, &[crowded, empty]),
        Some("empty".into())
    );
}

// Scoring each of thousands of upstreams took 40 ms a request on a host with a tenth of a core.
#[test]
fn each_host_uses_a_subset_and_all_hosts_together_use_every_upstream() {
    let listed: Vec<Arc<Upstream>> = (0..1_844)
        .map(|index| candidate(&format!("up-{index:04}"), "north", Load::default()).upstream)
        .collect();
    let subsets = (0..200).map(|host| {
        let host = HostId::new(format!("host-{host}"));
        super::subset(listed.clone(), &host)
    });

    let mut hosts_by_upstream = BTreeMap::new();
    for subset in subsets {
        assert_eq!(subset.len(), super::SUBSET_UPSTREAMS);
        for upstream in subset {
            *hosts_by_upstream.entry(upstream.id.clone()).or_insert(0) += 1;
        }
    }

    let most = hosts_by_upstream.values().max().copied().unwrap_or(0);
    assert!(
        hosts_by_upstream.len() > 1_800,
        "{} upstreams used",
        hosts_by_upstream.len()
    );
    assert!(most <= 25, "{most} hosts use one upstream");
}

// Hosts learn of each other's calls late, and other programs on an upstream's machine can slow it.
#[test]
fn an_upstream_that_reports_itself_full_or_slow_is_chosen_last() {
    let mut full = candidate("full", "north", Load::default());
    full.reported = Some(ReportedLoad {
        running: 8,
        waiting: 4,
        slowness: 1.0,
    });
    let mut slow = candidate("slow", "north", Load::default());
    slow.reported = Some(ReportedLoad {
        running: 1,
        waiting: 0,
        slowness: 6.0,
    });
    let usual = candidate("usual", "north", load(4, 0, 0));

    assert_eq!(
        choose_id(Need::Slot, &[full, slow, usual]).as_deref(),
        Some("usual")
    );
}

/// `candidate` where prompts take `prefill` and tokens `decode` times as long as usual.
fn slow(prefill: f64, decode: f64, candidate: Candidate) -> Candidate {
    Candidate {
        slowness: Slowness {
            prefill,
            decode,
            ..Slowness::default()
        },
        ..candidate
    }
}

fn generation(prompt_tokens: u32, output_tokens: u32) -> Need {
    Need::Memory {
        tokens: prompt_tokens + output_tokens,
        prompt_tokens,
        memory_tokens: 34_000,
    }
}

#[test]
fn a_generation_avoids_a_slow_engine_until_the_others_are_fuller() {
    let slow_engine = slow(2.4, 2.4, candidate("slow", "north", load(2, 8_000, 0)));
    let fuller = candidate("usual", "north", load(4, 14_000, 0));
    let full = candidate("usual", "north", load(9, 33_000, 6_000));

    assert_eq!(
        choose_id(GENERATION, &[slow_engine.clone(), fuller]),
        Some("usual".into())
    );
    assert_eq!(
        choose_id(GENERATION, &[slow_engine, full]),
        Some("slow".into())
    );
}

#[test]
fn long_outputs_avoid_slow_generation_and_long_prompts_slow_reading() {
    let engines = [
        slow(2.4, 1.0, candidate("reads-slowly", "north", load(0, 0, 0))),
        slow(
            1.0,
            2.4,
            candidate("generates-slowly", "north", load(0, 0, 0)),
        ),
    ];

    assert_eq!(
        choose_id(generation(500, 3_000), &engines),
        Some("reads-slowly".into())
    );
    assert_eq!(
        choose_id(generation(3_500, 10), &engines),
        Some("generates-slowly".into())
    );
}

#[test]
fn a_copy_avoids_a_slow_engine() {
    let engines = [
        slow(2.4, 2.4, candidate("slow", "north", load(2, 8_000, 0))),
        candidate("usual", "north", load(3, 12_000, 0)),
    ];

    assert_eq!(choose_id(COPY, &engines), Some("usual".into()));
}

#[test]
fn a_call_avoids_a_slow_upstream_until_the_others_are_fuller() {
    let mut slow_upstream = candidate("slow", "north", load(1, 0, 0));
    slow_upstream.slowness.call = 2.4;
    let fuller = candidate("usual", "north", load(2, 0, 0));
    let full = candidate("usual", "north", load(6, 0, 0));

    assert_eq!(
        choose_id(Need::Slot, &[slow_upstream.clone(), fuller]),
        Some("usual".into())
    );
    assert_eq!(
        choose_id(Need::Slot, &[slow_upstream, full]),
        Some("slow".into())
    );
}

#[test]
fn a_prompt_at_a_slowly_reading_engine_sends_generations_away_sooner() {
    let local = slow(2.4, 1.0, candidate("local", "north", load(2, 6_000, 3_000)));
    let remote = candidate("remote", "south", load(0, 0, 0));

    assert_eq!(
        choose_with(RemoteCounts::Stale, GENERATION, &[local, remote]),
        Some("remote".into())
    );
}
