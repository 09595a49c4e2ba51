use std::sync::Arc;
use std::time::Duration;

use quickcheck::TestResult;
use quickcheck::quickcheck;

use super::Demand;
use super::QueueState;
use super::Verdict;
use super::decide;
use super::retry_after;
use crate::gateway::admit::tests::simulation::Policy;
use crate::gateway::admit::tests::simulation::Simulation;
use crate::gateway::directory::Upstream;
use crate::gateway::directory::UpstreamState;
use crate::gateway::enginestats::EngineStats;
use crate::gateway::instance::InstanceId;
use crate::gateway::loads::Load;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Need;
use crate::gateway::placement::PlacementContext;
use crate::gateway::placement::RemoteCounts;
use crate::gateway::speeds::Slowness;
use crate::id::DataCentre;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::VersionId;

mod simulation;

const MEMORY_TOKENS: u32 = 34_000;
const OBJECTIVE: Duration = Duration::from_millis(1_800);

pub(super) fn candidate(id: &str, load: Load) -> Candidate {
    Candidate {
        upstream: Arc::new(Upstream {
            id: InstanceId::from(UpstreamId::new(id)),
            service: ServiceId::new("inspection"),
            address: "127.0.0.1:9000".parse().unwrap(),
            data_centre: DataCentre::new("north"),
            state: UpstreamState::Ready,
            slots: 24,
            cold_left_ms: 0,
            version: VersionId::new("v1"),
        }),
        load,
        reported: None,
        slowness: Slowness::default(),
        unhealthy: false,
    }
}

fn running(requests: u32, tokens: u32, unread_tokens: u32) -> Candidate {
    let load = Load {
        requests,
        tokens,
        unread_tokens,
    };
    candidate("engine", load)
}

pub(super) fn need(prompt_tokens: u32, output_tokens: u32) -> Need {
    Need::Memory {
        tokens: prompt_tokens + output_tokens,
        prompt_tokens,
        memory_tokens: MEMORY_TOKENS,
    }
}

pub(super) fn verdict(
    demand: &Demand,
    queue: &QueueState<'_>,
    candidates: &[Candidate],
) -> Verdict {
    let view = PlacementContext {
        data_centre: &DataCentre::new("north"),
        remote_counts: RemoteCounts::Fresh,
    };
    decide(demand, queue, candidates, view, || 0.0)
}

fn report(waited: Option<Duration>) -> Demand {
    Demand {
        need: need(3_000, 1_000),
        objective: OBJECTIVE,
        waited,
    }
}

fn flag() -> Demand {
    Demand {
        need: need(2_500, 12),
        objective: OBJECTIVE,
        waited: None,
    }
}

/// The queue at one of six hosts, with `taken_tokens` taken at all engines.
fn queue(stats: &EngineStats, ahead_tokens: u64, taken_tokens: u64) -> QueueState<'_> {
    QueueState {
        ahead_tokens,
        taken_tokens,
        hosts: 6,
        stats,
    }
}

/// Statistics of engines on which memory is held for `turnover`.
fn stats(turnover: Duration) -> EngineStats {
    let mut stats = EngineStats::default();
    for _ in 0..1_000 {
        stats.record_end(4_000, turnover);
        stats.record_first_event(3_000, Duration::from_millis(400));
    }
    stats
}

#[test]
fn it_starts_where_there_is_room() {
    let stats = EngineStats::default();
    let verdict = verdict(
        &report(None),
        &queue(&stats, 0, 30_000),
        &[running(7, 30_000, 0)],
    );
    assert!(matches!(verdict, Verdict::Start(_)));
}

#[test]
fn an_empty_engine_takes_also_what_may_not_fit() {
    let stats = EngineStats::default();
    let huge = Demand {
        need: need(30_000, 20_000),
        ..report(None)
    };
    let verdict = verdict(&huge, &queue(&stats, 0, 0), &[running(0, 0, 0)]);
    assert!(matches!(verdict, Verdict::Start(_)));
}

#[test]
fn it_waits_where_memory_is_expected_in_time() {
    let stats = stats(Duration::from_secs(4));
    let verdict = verdict(
        &report(None),
        &queue(&stats, 0, 500_000),
        &[running(8, 33_000, 0)],
    );
    assert!(matches!(verdict, Verdict::Wait));
}

#[test]
fn it_is_refused_at_once_where_no_memory_is_expected_in_time() {
    let stats = stats(Duration::from_secs(10));
    let verdict = verdict(
        &report(None),
        &queue(&stats, 20_000, 500_000),
        &[running(8, 33_000, 0)],
    );
    assert!(matches!(verdict, Verdict::Refuse(_)));
}

#[test]
fn it_is_refused_once_its_first_event_would_be_late() {
    let stats = stats(Duration::from_secs(4));
    let waited = Some(Duration::from_millis(700));
    let verdict = verdict(
        &report(waited),
        &queue(&stats, 0, 500_000),
        &[running(8, 33_000, 0)],
    );
    assert!(matches!(verdict, Verdict::Refuse(_)));
}

#[test]
fn it_does_not_overtake_the_queue() {
    let stats = stats(Duration::from_secs(1));
    let verdict = verdict(
        &report(None),
        &queue(&stats, 4_000, 500_000),
        &[running(1, 4_000, 0)],
    );
    assert!(matches!(verdict, Verdict::Wait));
}

#[test]
fn a_short_generation_fits_beside_what_has_not_grown_yet() {
    let stats = EngineStats::default();
    let full = [running(8, 33_000, 0)];
    let verdict = verdict(&flag(), &queue(&stats, 0, 33_000), &full);
    assert!(matches!(verdict, Verdict::Start(_)));
}

#[test]
fn prompts_are_not_queued_at_an_engine_beyond_the_objective() {
    let stats = EngineStats::default();
    let busy = [running(4, 12_000, 12_000)];
    let verdict = verdict(&report(None), &queue(&stats, 0, 12_000), &busy);
    assert!(!matches!(verdict, Verdict::Start(_)));
}

#[test]
fn an_unhealthy_engine_is_not_used_when_the_others_are_full() {
    let stats = EngineStats::default();
    let mut engine = running(1, 1_000, 0);
    engine.unhealthy = true;
    let candidates = [running(8, 34_000, 0), engine];
    let verdict = verdict(&report(None), &queue(&stats, 0, 35_000), &candidates);
    assert!(!matches!(verdict, Verdict::Start(_)));
}

quickcheck! {
    fn what_needs_no_less_has_no_room_where_the_other_has_none(
        load: (u8, u16, u16), sizes: (u16, u16), others: (u16, u16)
    ) -> TestResult {
        let stats = EngineStats::default();
        let demand = |(prompt, output): (u16, u16)| Demand { need: need(u32::from(prompt), u32::from(output)), ..report(None) };
        let (one, other) = (demand(sizes), demand(others));
        let engine = running(u32::from(load.0), u32::from(load.1), u32::from(load.2));
        if !one.needs_no_less_than(&other) || other.has_room(&engine, &stats) {
            return TestResult::discard();
        }
        TestResult::from_bool(!one.has_room(&engine, &stats))
    }

    fn engine_memory_is_never_overcommitted(loads: Vec<(u8, u16, u16)>, prompt: u16, output: u16) -> TestResult {
        let stats = EngineStats::default();
        let candidates: Vec<Candidate> = loads
            .iter()
            .map(|(requests, tokens, unread)| running(u32::from(*requests), u32::from(*tokens), u32::from(*unread)))
            .collect();
        let demand = Demand { need: need(u32::from(prompt), 101 + u32::from(output)), ..report(None) };
        let Verdict::Start(chosen) = verdict(&demand, &queue(&stats, 0, 1), &candidates) else {
            return TestResult::discard();
        };
        let tokens = demand.need.tokens();
        TestResult::from_bool(chosen.load.requests == 0 || chosen.load.tokens + tokens <= MEMORY_TOKENS)
    }

    fn retry_after_leaves_time_for_the_answer(left_ms: u16, run_ms: u16, expected_ms: u16, draw: u8) -> bool {
        let millis = |ms: u16| Duration::from_millis(u64::from(ms));
        let again = retry_after(millis(left_ms), millis(run_ms), millis(expected_ms), f64::from(draw) / 255.0);
        again <= millis(left_ms).saturating_sub(millis(run_ms))
    }
}

/// Long answers arrive for 9 s at four times the rate that the engines sustain.
fn surge_of_long_answers(policy: Policy) -> simulation::Outcome {
    Simulation::new(policy)
        .engines(6)
        .reports_per_s(11.0)
        .flags_per_s(4.0)
        .duration_s(9)
        .run()
}

#[test]
fn in_a_surge_of_long_answers_more_are_served_in_time_than_by_sending_all_at_once() {
    let at_once = surge_of_long_answers(Policy::SendAtOnce);
    let decided = surge_of_long_answers(Policy::Decide);
    assert!(
        decided.in_time_reports * 2 > at_once.in_time_reports * 3,
        "{decided:?} {at_once:?}"
    );
    assert!(
        decided.in_time_flags >= at_once.in_time_flags,
        "{decided:?} {at_once:?}"
    );
}

#[test]
fn in_a_surge_of_long_answers_hardly_any_run_is_preempted() {
    let at_once = surge_of_long_answers(Policy::SendAtOnce);
    let decided = surge_of_long_answers(Policy::Decide);
    assert!(at_once.preempted > 10, "{at_once:?}");
    assert!(decided.preempted < 5, "{decided:?}");
}

#[test]
fn in_a_surge_the_more_urgent_are_served_no_less_often() {
    let decided = surge_of_long_answers(Policy::Decide);
    assert!(
        decided.flags_share() >= decided.reports_share(),
        "{decided:?}"
    );
}

#[test]
fn at_a_usual_load_nothing_is_refused_or_waits() {
    let decided = Simulation::new(Policy::Decide)
        .engines(6)
        .reports_per_s(2.3)
        .flags_per_s(3.2)
        .duration_s(20)
        .run();
    assert_eq!(decided.refused, 0, "{decided:?}");
    assert_eq!(decided.waited, 0, "{decided:?}");
}

#[test]
fn engines_lost_in_a_surge_leave_no_backlog() {
    let simulation = |policy| {
        Simulation::new(policy)
            .engines(6)
            .lose_engines_at_s(3, 2)
            .reports_per_s(5.0)
            .flags_per_s(6.0)
            .duration_s(9)
            .run()
    };
    let at_once = simulation(Policy::SendAtOnce);
    let decided = simulation(Policy::Decide);
    assert!(
        decided.in_time_reports >= at_once.in_time_reports,
        "{decided:?} {at_once:?}"
    );
    assert!(
        decided.late_reports * 2 < at_once.late_reports,
        "{decided:?} {at_once:?}"
    );
}
