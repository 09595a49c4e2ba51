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
        }),
        load,
        reported: None,
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

fn chosen(need: Need, candidates: &[Candidate]) -> Option<String> {
    chosen_by(RemoteCounts::Fresh, need, candidates)
}

fn chosen_by(remote_counts: RemoteCounts, need: Need, candidates: &[Candidate]) -> Option<String> {
    let view = PlacementContext {
        data_centre: &DataCentre::new("north"),
        remote_counts,
    };
    choose(need, candidates, view, || 0.0).map(|candidate| candidate.upstream.id.to_string())
}

#[test]
fn a_generation_goes_where_the_most_memory_is_free() {
    let candidates = [
        candidate("full", "north", load(5, 20_000, 0)),
        candidate("free", "north", load(5, 9_000, 0)),
    ];

    assert_eq!(chosen(GENERATION, &candidates), Some("free".into()));
}

#[test]
fn prompts_that_wait_to_be_read_count() {
    let candidates = [
        candidate("reading", "north", load(2, 6_000, 6_000)),
        candidate("read", "north", load(3, 10_000, 0)),
    ];

    assert_eq!(chosen(GENERATION, &candidates), Some("read".into()));
}

#[test]
fn a_copy_stays_in_the_data_centre_unless_much_room_is_elsewhere() {
    let near = candidate("near", "north", load(7, 24_000, 0));
    let far = candidate("far", "south", load(4, 14_000, 0));
    let empty = candidate("empty", "south", load(0, 0, 0));

    assert_eq!(chosen(COPY, &[near.clone(), far]), Some("near".into()));
    assert_eq!(chosen(COPY, &[near, empty]), Some("empty".into()));
}

#[test]
fn a_call_takes_a_round_trip_only_for_a_free_slot() {
    let near = candidate("near", "north", load(1, 0, 0));
    let far = candidate("far", "south", load(0, 0, 0));
    let busy = candidate("busy", "north", load(5, 0, 0));

    assert_eq!(
        chosen(Need::Slot, &[near, far.clone()]),
        Some("near".into())
    );
    assert_eq!(chosen(Need::Slot, &[busy, far]), Some("far".into()));
}

#[test]
fn a_doubtful_upstream_is_the_last_resort() {
    let mut doubtful = candidate("doubtful", "north", load(0, 0, 0));
    doubtful.unhealthy = true;
    let loaded = candidate("loaded", "south", load(9, 0, 0));

    assert_eq!(
        chosen(Need::Slot, &[doubtful.clone(), loaded]),
        Some("loaded".into())
    );
    assert_eq!(chosen(Need::Slot, &[doubtful]), Some("doubtful".into()));
    assert_eq!(chosen(Need::Slot, &[]), None);
}

#[test]
fn old_counts_of_other_data_centres_draw_no_generation_while_there_is_room_near() {
    let candidates = [
        candidate("near", "north", load(5, 22_000, 3_000)),
        candidate("new", "south", load(0, 0, 0)),
    ];

    assert_eq!(
        chosen_by(RemoteCounts::Fresh, GENERATION, &candidates),
        Some("new".into())
    );
    assert_eq!(
        chosen_by(RemoteCounts::Stale, GENERATION, &candidates),
        Some("near".into())
    );
}

#[test]
fn generations_that_leave_a_full_data_centre_spread_over_the_others() {
    let candidates = [
        candidate("near", "north", load(8, 33_000, 0)),
        candidate("emptier", "south", load(1, 4_000, 0)),
        candidate("empty", "south", load(0, 0, 0)),
    ];
    let view = PlacementContext {
        data_centre: &DataCentre::new("north"),
        remote_counts: RemoteCounts::Stale,
    };
    let mut draws = [0.5, 0.1, 0.9].into_iter();

    let chosen = choose(GENERATION, &candidates, view, || draws.next().unwrap());

    assert_eq!(chosen.unwrap().upstream.id.as_str(), "emptier");
}

#[test]
fn full_or_busy_near_engines_send_generations_far() {
    let new = candidate("new", "south", load(0, 0, 0));
    for full_or_busy in [load(8, 30_000, 0), load(2, 9_000, 6_000)] {
        let candidates = [candidate("near", "north", full_or_busy), new.clone()];

        assert_eq!(
            chosen_by(RemoteCounts::Stale, GENERATION, &candidates),
            Some("new".into())
        );
    }
}

#[test]
fn a_generation_stays_near_while_a_prompt_is_still_read_there() {
    let near = candidate("near", "north", load(3, 12_000, 1_500));
    let far = candidate("far", "south", load(1, 4_000, 0));
    let empty = candidate("empty", "south", load(0, 0, 0));
    let crowded = candidate("crowded", "north", load(7, 28_000, 6_000));

    assert_eq!(chosen(GENERATION, &[near, far]), Some("near".into()));
    assert_eq!(chosen(GENERATION, &[crowded, empty]), Some("empty".into()));
}

// A look at each of thousands of upstreams took a host of a tenth of a core 40 ms a request.
#[test]
fn each_host_looks_at_a_part_of_a_long_list_and_all_hosts_at_all_of_it() {
    let listed: Vec<Arc<Upstream>> = (0..1_844)
        .map(|index| candidate(&format!("up-{index:04}"), "north", Load::default()).upstream)
        .collect();
    let parts = (0..200).map(|host| {
        let host = HostId::new(format!("host-{host}"));
        super::subset(listed.clone(), &host)
    });

    let mut looked_at = BTreeMap::new();
    for part in parts {
        assert_eq!(part.len(), super::SUBSET_UPSTREAMS);
        for upstream in part {
            *looked_at.entry(upstream.id.clone()).or_insert(0) += 1;
        }
    }

    let most = looked_at.values().max().copied().unwrap_or(0);
    assert!(looked_at.len() > 1_800, "{} looked at", looked_at.len());
    assert!(most <= 25, "{most} hosts look at one");
}

// Upstreams share their machines with others, and hosts hear of each other's calls late.
#[test]
fn an_upstream_that_says_it_is_full_or_slow_now_gets_calls_last() {
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
        chosen(Need::Slot, &[full, slow, usual]).as_deref(),
        Some("usual")
    );
}
