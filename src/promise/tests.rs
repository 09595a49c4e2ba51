use crate::promise::BrokenPromise;
use crate::promise::RunCounts;
use crate::promise::TryEnd;
use crate::promise::check_runs;
use crate::refusal::Code;
use crate::refusal::Refusal;

fn not_run() -> TryEnd {
    TryEnd::Refused(Refusal::not_run(Code::Overloaded, ""))
}

fn unknown() -> TryEnd {
    TryEnd::Refused(Refusal::unknown(Code::UpstreamFailed, ""))
}

fn counts(started: u64) -> RunCounts {
    let mut counts = RunCounts::default();
    counts.add("k", started);
    counts
}

#[test]
fn refusal_that_did_run_is_found() {
    let broken = check_runs(&counts(1), "k", true, &[TryEnd::NotSent, not_run()]);
    let honest = check_runs(&counts(1), "k", true, &[not_run(), unknown()]);

    assert_eq!(
        broken,
        Some(BrokenPromise::RanDespiteRefusal { started: 1 })
    );
    assert_eq!(honest, None);
}

#[test]
fn second_run_is_found_only_where_it_must_not_be() {
    let mut counts = counts(1);
    counts.add("k", 1);

    let once = check_runs(&counts, "k", false, &[unknown(), TryEnd::Complete]);
    let repeatable = check_runs(&counts, "k", true, &[unknown(), TryEnd::Complete]);

    assert_eq!(once, Some(BrokenPromise::RanTwice { started: 2 }));
    assert_eq!(repeatable, None);
}

#[test]
fn only_what_did_not_run_or_may_repeat_is_tried_again() {
    let malformed = TryEnd::Refused(Refusal::not_run(Code::InvalidRequest, ""));

    assert!(not_run().may_try_again(false));
    assert!(TryEnd::NotSent.may_try_again(false));
    assert!(!unknown().may_try_again(false));
    assert!(!TryEnd::Cut.may_try_again(false));
    assert!(TryEnd::Cut.may_try_again(true));
    assert!(!malformed.may_try_again(true));
    assert!(!TryEnd::Complete.may_try_again(true));
}
