use crate::compare::PolicyName;
use crate::compare::record;
use crate::faultscript::Fault;
use crate::faultscript::FaultEvent;
use crate::faultscript::Faults;
use crate::id::ServiceId;
use crate::observe::Fate;
use crate::observe::Recorder;
use crate::preset::Preset;
use crate::scheduler::SchedulerOptions;
use crate::synth::Amount;
use crate::synth::synthesise;
use crate::trace::Trace;

fn small_trace() -> Trace {
    synthesise(&Preset::hoher_grat(), 2, Amount::Load(0.9), 30_000)
}

fn replay(trace: &Trace, policy: PolicyName, faults: &Faults) -> Recorder {
    let mut recorded = record(trace, &[policy], faults, &SchedulerOptions::default());
    recorded.remove(0).1
}

fn count(recorder: &Recorder, fate: Fate) -> usize {
    let mut records = recorder.requests.iter();
    records
        .by_ref()
        .filter(|record| record.fate == fate)
        .count()
}

fn served(recorder: &Recorder) -> u64 {
    let seconds = recorder.served.iter().flat_map(|(_, tokens)| tokens);
    seconds.map(|tokens| u64::from(*tokens)).sum()
}

/// Output tokens of the requests that completed, as the trace has them.
fn completed_tokens(trace: &Trace, recorder: &Recorder) -> u64 {
    let services = trace.header.services.iter();
    services
        .flat_map(|service| trace.requests_of(&service.service))
        .zip(&recorder.requests)
        .filter(|(_, record)| record.fate == Fate::Completed)
        .map(|(request, _)| u64::from(request.output_tokens))
        .sum()
}

fn engine_dies(at_ms: u64) -> FaultEvent {
    FaultEvent {
        at_ms,
        fault: Fault::EngineDies {
            service: ServiceId::from("inspection"),
            engine: 0,
        },
    }
}

#[test]
fn every_request_ends_and_each_completed_one_has_all_its_tokens() {
    let trace = small_trace();

    for policy in PolicyName::ALL {
        let recorder = replay(&trace, policy, &Faults::default());

        assert_eq!(recorder.requests.len(), trace.requests.len());
        assert_eq!(count(&recorder, Fate::Incomplete), 0, "{policy}");
        assert_eq!(
            served(&recorder),
            completed_tokens(&trace, &recorder),
            "{policy}"
        );
    }
}

#[test]
fn same_seed_gives_the_same_replay() {
    let trace = small_trace();

    let first = replay(&trace, PolicyName::LeastRequests, &Faults::default());
    let second = replay(&trace, PolicyName::LeastRequests, &Faults::default());

    assert_eq!(
        format!("{:?}", first.requests),
        format!("{:?}", second.requests)
    );
}

#[test]
fn dead_engine_fails_what_had_tokens_and_nothing_later() {
    let trace = small_trace();
    let faults = Faults {
        events: vec![engine_dies(10_000)],
        ..Faults::default()
    };

    for policy in PolicyName::ALL {
        let recorder = replay(&trace, policy, &faults);

        let failed: Vec<_> = recorder
            .requests
            .iter()
            .filter(|record| record.fate == Fate::Failed)
            .collect();
        assert!(!failed.is_empty(), "{policy}");
        assert!(
            failed
                .iter()
                .all(|record| record.last_seen.as_ms() == 10_000),
            "{policy}"
        );
        assert_eq!(count(&recorder, Fate::Incomplete), 0, "{policy}");
    }
}

#[test]
fn reclaimed_engine_finishes_short_work_within_its_notice() {
    let trace = small_trace();
    let reclaimed = FaultEvent {
        at_ms: 10_000,
        fault: Fault::EngineReclaimed {
            service: ServiceId::from("inspection"),
            engine: 0,
            notice_ms: 5_000,
        },
    };
    let with_notice = Faults {
        events: vec![reclaimed],
        ..Faults::default()
    };
    let without = Faults {
        events: vec![engine_dies(10_000)],
        ..Faults::default()
    };

    let noticed = replay(&trace, PolicyName::Oracle, &with_notice);
    let died = replay(&trace, PolicyName::Oracle, &without);

    assert!(count(&noticed, Fate::Failed) < count(&died, Fate::Failed));
}
