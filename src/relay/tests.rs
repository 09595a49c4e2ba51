use super::Action;
use super::Completion;
use super::DropReason;
use super::Input;
use super::Relay;
use super::RelayOptions;
use super::RelayTerms;
use super::RestartCause;
use crate::clock::Time;
use crate::id::AttemptId;
use crate::refusal::Code;
use crate::refusal::Ran;
use crate::refusal::Refusal;
use crate::wire::EngineRefusalReason;

const FIRST: AttemptId = AttemptId::from_u128(1);
const OTHER: AttemptId = AttemptId::from_u128(2);

/// A relay under test that keeps what it asked for.
struct Bench {
    relay: Relay,
    now: Time,
    actions: Vec<Action>,
}

impl Bench {
    fn new(repeatable: bool, streaming: bool) -> Self {
        let terms = RelayTerms {
            repeatable,
            streaming,
        };
        let mut relay = Relay::new(RelayOptions::default(), terms);
        relay.begin(Time::ZERO, FIRST);
        Bench {
            relay,
            now: Time::ZERO,
            actions: Vec::new(),
        }
    }

    fn opened(repeatable: bool, streaming: bool) -> Self {
        let mut bench = Bench::new(repeatable, streaming);
        bench.feed(Input::Opened);
        bench
    }

    fn feed(&mut self, input: Input<'_>) -> Vec<Action> {
        self.relay.step(self.now, input, &mut self.actions);
        std::mem::take(&mut self.actions)
    }

    fn token(&mut self, index: u32) -> Vec<Action> {
        self.token_of(FIRST, index)
    }

    fn token_of(&mut self, attempt: AttemptId, index: u32) -> Vec<Action> {
        self.feed(Input::Token {
            attempt,
            index,
            text: &text(index),
        })
    }

    fn done(&mut self, output_tokens: u32) -> Vec<Action> {
        self.feed(Input::Done {
            attempt: FIRST,
            output_tokens,
            cached_prompt_tokens: 0,
        })
    }

    fn tick_at_ms(&mut self, ms: u64) -> Vec<Action> {
        self.now = Time::from_ms(ms);
        self.feed(Input::Tick)
    }
}

fn text(index: u32) -> String {
    format!("w{index} ")
}

fn deliver(index: u32) -> Action {
    Action::Deliver(text(index))
}

fn failed(reason: &str) -> Action {
    Action::Restart(RestartCause::Failed(reason.to_owned()))
}

fn complete(output_tokens: u32) -> Action {
    Action::Complete(Completion {
        output_tokens,
        cached_prompt_tokens: 0,
    })
}

fn failure(actions: &[Action]) -> &Refusal {
    match actions.last() {
        Some(Action::Fail(refusal)) => refusal,
        other => panic!("no failure but {other:?}"),
    }
}

#[test]
fn tokens_in_order_are_delivered_and_the_end_completes() {
    let mut bench = Bench::opened(true, true);

    let delivered = [bench.token(0), bench.token(1)].concat();
    let end = bench.done(2);

    assert_eq!(delivered, [deliver(0), deliver(1)]);
    assert_eq!(end, [complete(2)]);
}

#[test]
fn a_duplicate_is_dropped() {
    let mut bench = Bench::opened(true, true);
    bench.token(0);

    let again = bench.token(0);

    assert_eq!(again, [Action::Dropped(DropReason::Duplicate)]);
}

#[test]
fn a_crossed_token_or_end_is_dropped() {
    let mut bench = Bench::opened(true, true);

    let token = bench.token_of(OTHER, 0);
    let end = bench.feed(Input::Done {
        attempt: OTHER,
        output_tokens: 0,
        cached_prompt_tokens: 0,
    });
    let failed = bench.feed(Input::Failed {
        attempt: OTHER,
        message: "x",
    });

    assert_eq!(token, [Action::Dropped(DropReason::Crossed)]);
    assert_eq!(end, [Action::Dropped(DropReason::Crossed)]);
    assert_eq!(failed, [Action::Dropped(DropReason::Crossed)]);
}

#[test]
fn tokens_that_overtook_wait_for_the_missing_one() {
    let mut bench = Bench::opened(true, true);

    let early = [bench.token(2), bench.token(1)].concat();
    let missing = bench.token(0);
    let end = bench.done(3);

    assert_eq!(early, []);
    assert_eq!(missing, [deliver(0), deliver(1), deliver(2)]);
    assert_eq!(end, [complete(3)]);
}

#[test]
fn an_end_that_overtook_its_tokens_waits_for_them() {
    let mut bench = Bench::opened(true, true);
    bench.token(0);

    let early_end = bench.done(2);
    let last = bench.token(1);

    assert_eq!(early_end, []);
    assert_eq!(last, [deliver(1), complete(2)]);
}

#[test]
fn a_gap_that_stays_open_is_resumed_from_the_missing_token() {
    let mut bench = Bench::opened(true, true);
    bench.token(0);
    bench.token(2);

    let before = bench.tick_at_ms(99);
    let after = bench.tick_at_ms(100);
    bench.feed(Input::Opened);
    let rest = [bench.token(1), bench.token(2), bench.done(3)].concat();

    assert_eq!(before, []);
    assert_eq!(after, [Action::Resume { from: 1 }]);
    assert_eq!(rest, [deliver(1), deliver(2), complete(3)]);
}

#[test]
fn more_early_tokens_than_the_buffer_holds_resume_at_once() {
    let mut bench = Bench::opened(true, true);
    let capacity = RelayOptions::default().reorder_capacity as u32;

    let kept: Vec<Action> = (1..=capacity)
        .flat_map(|index| bench.token(index))
        .collect();
    let beyond = bench.token(capacity + 1);

    assert_eq!(kept, []);
    assert_eq!(beyond, [Action::Resume { from: 0 }]);
}

#[test]
fn a_stalled_link_is_resumed_and_patience_doubles_until_a_token_comes() {
    let mut bench = Bench::opened(false, true);
    bench.token(0);

    let early = bench.tick_at_ms(999);
    let first = bench.tick_at_ms(1_000);
    bench.feed(Input::Opened);
    let not_yet = bench.tick_at_ms(2_999);
    let second = bench.tick_at_ms(3_000);
    bench.feed(Input::Opened);
    bench.token(1);
    let after_token = bench.tick_at_ms(4_000);

    assert_eq!(early, []);
    assert_eq!(first, [Action::Resume { from: 1 }]);
    assert_eq!(not_yet, []);
    assert_eq!(second, [Action::Resume { from: 1 }]);
    assert_eq!(after_token, [Action::Resume { from: 2 }]);
}

#[test]
fn a_repeatable_request_without_a_token_starts_again_and_old_tokens_are_dropped() {
    let mut bench = Bench::opened(true, true);

    let resumed = bench.feed(Input::Lost("reset"));
    let restarted = bench.feed(Input::Lost("refused"));
    let between = bench.token(0);
    bench.relay.begin(bench.now, OTHER);
    bench.feed(Input::Opened);
    let old = bench.token(0);
    let new = bench.token_of(OTHER, 0);

    assert_eq!(resumed, [Action::Resume { from: 0 }]);
    let lost = failed("the upstream was lost: refused");
    assert_eq!(restarted, [Action::Cancel(FIRST), lost]);
    assert_eq!(between, [Action::Dropped(DropReason::Late)]);
    assert_eq!(old, [Action::Dropped(DropReason::Crossed)]);
    assert_eq!(new, [deliver(0)]);
}

#[test]
fn after_the_first_token_a_stream_is_never_spliced() {
    let mut bench = Bench::opened(true, true);
    bench.token(0);

    let resumed = bench.feed(Input::Lost("reset"));
    let end = bench.feed(Input::Forgotten);

    assert_eq!(resumed, [Action::Resume { from: 1 }]);
    assert_eq!(end[0], Action::Cancel(FIRST));
    assert_eq!(failure(&end).code, Code::UpstreamFailed);
    assert_eq!(failure(&end).ran, Ran::Yes);
}

#[test]
fn a_collected_answer_may_start_again_at_any_time() {
    let mut bench = Bench::opened(true, false);
    bench.token(0);

    let actions = bench.feed(Input::Forgotten);

    let lost = failed("the upstream lost the generation");
    let expected = [Action::Cancel(FIRST), Action::Discard, lost];
    assert_eq!(actions, expected);
}

#[test]
fn a_non_repeatable_request_is_unknown_once_written_and_never_starts_again() {
    for streaming in [false, true] {
        let mut bench = Bench::new(false, streaming);

        let mut actions = bench.feed(Input::Lost("reset"));
        while !matches!(actions.last(), Some(Action::Fail(_))) {
            assert_eq!(actions, [Action::Resume { from: 0 }]);
            actions = bench.feed(Input::Lost("reset"));
        }

        assert_eq!(failure(&actions).ran, Ran::Unknown);
        assert_eq!(
            actions.len(),
            2,
            "a cancellation and the failure: {actions:?}"
        );
    }
}

#[test]
fn what_was_never_written_goes_elsewhere_and_ends_as_not_run() {
    let mut bench = Bench::new(false, true);

    let mut actions = bench.feed(Input::NotWritten("refused"));
    let mut attempts = 1;
    while matches!(actions[..], [Action::Restart(RestartCause::NotWritten(_))]) {
        attempts += 1;
        bench.relay.begin(bench.now, AttemptId::from_u128(attempts));
        actions = bench.feed(Input::NotWritten("refused"));
    }

    assert_eq!(attempts, u128::from(RelayOptions::default().attempts_max));
    assert_eq!(failure(&actions).ran, Ran::No);
    assert!(failure(&actions).retry_after_ms.is_some());
}

#[test]
fn a_refusal_of_the_upstream_means_not_run() {
    let mut bench = Bench::new(false, true);

    let actions = bench.feed(Input::Refused(EngineRefusalReason::Leaving));

    assert_eq!(failure(&actions).ran, Ran::No);
}

#[test]
fn a_refusal_after_a_lost_attempt_does_not_say_not_run() {
    let mut bench = Bench::opened(true, true);
    bench.feed(Input::Forgotten);

    let refusal = bench.relay.end(Refusal::not_run(Code::NoUpstream, "none"));

    assert_eq!(refusal.ran, Ran::Unknown);
}

#[test]
fn a_move_happens_only_before_the_first_token_of_a_repeatable_request() {
    let mut early = Bench::opened(true, true);
    let mut late = Bench::opened(true, true);
    late.token(0);
    let mut once = Bench::opened(false, true);

    let moved = early.feed(Input::Relocate);
    let stayed = [late.feed(Input::Relocate), once.feed(Input::Relocate)].concat();

    let restart = Action::Restart(RestartCause::Moved);
    assert_eq!(moved, [Action::Cancel(FIRST), restart]);
    assert_eq!(stayed, []);
}

#[test]
fn a_tick_is_asked_for_when_the_gap_or_the_stall_is_due() {
    let mut bench = Bench::opened(true, true);

    let stall = bench.relay.next_tick();
    bench.token(1);
    let gap = bench.relay.next_tick();
    bench.token(0);
    let closed = bench.relay.next_tick();

    assert_eq!(stall, Some(Time::from_ms(1_000)));
    assert_eq!(gap, Some(Time::from_ms(100)));
    assert_eq!(closed, Some(Time::from_ms(1_000)));
}

#[test]
fn the_deadline_cancels_and_says_what_is_known() {
    let mut bench = Bench::opened(true, true);

    let actions = bench.feed(Input::DeadlinePassed);

    assert_eq!(actions[0], Action::Cancel(FIRST));
    assert_eq!(failure(&actions).code, Code::DeadlineExceeded);
    assert_eq!(failure(&actions).ran, Ran::Unknown);
}

#[test]
fn nothing_is_delivered_after_the_end() {
    let mut bench = Bench::opened(true, true);
    bench.token(0);
    bench.done(1);

    let actions = [bench.token(1), bench.done(1), bench.feed(Input::Tick)].concat();

    let late = Action::Dropped(DropReason::Late);
    assert_eq!(actions, [late.clone(), late]);
}

#[test]
fn an_upstream_that_counts_too_few_tokens_is_not_believed() {
    let mut bench = Bench::opened(true, true);
    bench.token(0);
    bench.token(1);

    let actions = bench.done(1);

    assert_eq!(failure(&actions).code, Code::UpstreamFailed);
}
