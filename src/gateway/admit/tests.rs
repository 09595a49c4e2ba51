use std::sync::Arc;
use std::time::Duration;

use quickcheck::TestResult;
use quickcheck::quickcheck;

use super::Demand;
use super::QueueState;
use super::Verdict;
use super::decide;
use super::retry_after;
use crate::gateway::admit::tests::simulation::Knowledge;
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
            sequence: 0,
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
        stats.record_first_event(3_000, 1.0, Duration::from_millis(400));
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

/// What the engines of [`uneven_engines`] bear: reports a second, beside 1.4 flags for each. A report takes 1.1 s of an
/// engine of the model's speed and a flag 0.2 s.
const BORNE_REPORTS_PER_S: f64 = 4.0;

/// Engines of which a third takes 2.4 times as long as the others, on machines that others use too.
fn uneven_engines(share: f64, knowledge: Knowledge) -> Vec<simulation::Outcome> {
    simulate_engines(&[0.7, 0.7, 1.7, 0.7, 0.7, 1.7], share, knowledge)
}

fn simulate_engines(factors: &[f64], share: f64, knowledge: Knowledge) -> Vec<simulation::Outcome> {
    let simulation = |seed| {
        Simulation::new(Policy::Decide)
            .engines(factors.len())
            .factors(factors)
            .shared_machines(seed)
            .knowing(knowledge)
            .tokens_per_event(4)
            .reports_per_s(BORNE_REPORTS_PER_S * share)
            .flags_per_s(BORNE_REPORTS_PER_S * share * 1.4)
            .duration_s(30)
            .run()
    };
    (0..4).map(simulation).collect()
}

fn in_time(outcomes: &[simulation::Outcome]) -> u32 {
    outcomes.iter().map(simulation::Outcome::in_time).sum()
}

#[test]
fn where_engines_differ_more_are_served_in_time_by_speeds() {
    for share in [0.9, 1.1, 1.4] {
        let without = in_time(&uneven_engines(share, Knowledge::Nothing));
        let with = in_time(&uneven_engines(share, Knowledge::Observed));
        assert!(
            with >= without,
            "at {share}: {with} with, {without} without"
        );
    }
}

#[test]
fn observed_speeds_serve_nearly_as_many_as_true_ones() {
    for (share, least) in [(0.9, 0.93), (1.1, 0.93), (1.4, 0.85)] {
        let known = in_time(&uneven_engines(share, Knowledge::True));
        let observed = in_time(&uneven_engines(share, Knowledge::Observed));
        assert!(
            f64::from(observed) >= f64::from(known) * least,
            "at {share}: {observed} observed, {known} known"
        );
    }
}

#[test]
fn at_half_load_speeds_spare_most_of_the_pauses_of_slow_engines() {
    let late = |knowledge| -> u32 {
        let outcomes = uneven_engines(0.5, knowledge);
        outcomes.iter().map(|outcome| outcome.late_reports).sum()
    };
    let without = late(Knowledge::Nothing);
    let with = late(Knowledge::Observed);
    assert!(with * 2 < without, "{with} with, {without} without");
}

// Guards against choices that follow chance: machines that are shared are slow for moments.
#[test]
fn where_engines_are_alike_speeds_take_nothing_away() {
    let at_all_loads = |knowledge| -> u32 {
        let loads = [0.5, 0.7, 0.9, 1.1, 1.4];
        let outcomes = loads.map(|share| simulate_engines(&[1.0; 6], share, knowledge));
        outcomes.iter().map(|outcomes| in_time(outcomes)).sum()
    };
    let without = at_all_loads(Knowledge::Nothing);
    let with = at_all_loads(Knowledge::Observed);
    assert!(with >= without, "{with} with, {without} without");
}

/// An engine that takes `factor` times the usual time, beside an unread prompt.
fn slow(factor: f64, requests: u32, tokens: u32, unread_tokens: u32) -> Candidate {
    Candidate {
        slowness: Slowness {
            prefill: factor,
            decode: factor,
            event_time: Some(Duration::from_millis(30).mul_f64(factor)),
            ..Slowness::default()
        },
        ..running(requests, tokens, unread_tokens)
    }
}

#[test]
fn a_slow_engine_reads_fewer_prompts_within_the_objective() {
    let stats = stats(Duration::from_secs(4));
    let starts = |candidate| {
        let verdict = verdict(&flag(), &queue(&stats, 0, 6_000), &[candidate]);
        matches!(verdict, Verdict::Start(_))
    };
    assert!(starts(slow(1.0, 2, 6_000, 6_000)));
    assert!(!starts(slow(2.5, 2, 6_000, 6_000)));
}

#[test]
fn a_long_output_does_not_start_where_its_pauses_would_be_long() {
    let stats = stats(Duration::from_secs(4));
    let starts = |demand: Demand, candidate| {
        let verdict = verdict(&demand, &queue(&stats, 0, 6_000), &[candidate]);
        matches!(verdict, Verdict::Start(_))
    };
    assert!(starts(report(None), slow(1.0, 2, 6_000, 0)));
    assert!(!starts(report(None), slow(2.5, 2, 6_000, 0)));
    assert!(starts(flag(), slow(2.5, 2, 6_000, 0)));
    assert!(starts(report(None), slow(2.5, 0, 0, 0)));
}

#[test]
fn it_waits_for_less_time_where_engines_read_slowly() {
    let stats = stats(Duration::from_secs(4));
    let estimate = |factor| {
        let full = [slow(factor, 24, 34_000, 0)];
        match verdict(&report(None), &queue(&stats, 90_000, 34_000), &full) {
            Verdict::Refuse(estimate) => estimate,
            other => panic!("{other:?}"),
        }
    };
    assert!(estimate(4.0).limit < estimate(1.0).limit);
    assert!(estimate(4.0).expected > estimate(1.0).expected);
}
