use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::AfterCopy;
use super::Decision;
use super::Distance;
use super::FirstCopy;
use super::LeavingRun;
use super::MoveKey;
use super::after_copy;

const TOKEN_TIME: Duration = Duration::from_millis(10);
const AT_NOTICE: Duration = Duration::ZERO;
/// How long the engine of the replays lives after its notice.
const LIFETIME: Duration = Duration::from_millis(1_700);
/// Rate at which its link copies about six runs of ordinary length in that time.
const COPY_TOKENS_PER_S: f64 = 12_000.0;
const RUNS: usize = 10;
const CASES: u64 = 1_000;

fn run(prompt: u32, produced: u32, tokens_left: u32) -> LeavingRun {
    LeavingRun {
        memory_tokens: prompt + produced,
        produced_tokens: produced,
        tokens_left,
        token_time: TOKEN_TIME,
        rank: 0,
        copy_tokens_per_s: Some(COPY_TOKENS_PER_S),
    }
}

fn key(run: LeavingRun) -> MoveKey {
    run.key(AT_NOTICE)
}

#[test]
fn a_run_that_ends_before_its_engine_stays() {
    let nearly_done = run(2_000, 400, 90);
    let goes_on = run(2_000, 400, 110);

    assert_eq!(nearly_done.decide(AT_NOTICE), Decision::Stays);
    assert!(matches!(goes_on.decide(AT_NOTICE), Decision::Moves(_)));
    let later = Duration::from_millis(800);
    assert!(matches!(nearly_done.decide(later), Decision::Moves(_)));
}

#[test]
fn a_run_that_has_produced_all_that_is_expected_does_not_count_as_ending() {
    let overdue = run(2_000, 400, 0);

    assert!(matches!(overdue.decide(AT_NOTICE), Decision::Moves(_)));
}

#[test]
fn a_long_answer_goes_before_one_just_begun_and_a_short_copy_before_a_long_one() {
    let nearly_complete = run(2_000, 800, 300);
    let may_end_by_itself = run(2_000, 800, 110);
    let just_begun = run(2_000, 10, 1_000);
    let with_long_prompt = run(6_000, 800, 300);

    assert!(key(nearly_complete) < key(just_begun));
    assert!(key(run(2_000, 800, 0)) < key(just_begun));
    assert!(key(nearly_complete) < key(with_long_prompt));
    assert!(key(nearly_complete) < key(may_end_by_itself));
}

#[test]
fn rank_goes_before_loss() {
    let urgent = run(6_000, 10, 1_000);
    let patient = LeavingRun {
        rank: 1,
        ..run(1_000, 800, 300)
    };

    assert!(key(urgent) < key(patient));
}

#[test]
fn a_run_whose_copy_no_longer_fits_comes_after_those_of_all_ranks() {
    let since_notice = Duration::from_millis(1_200);
    let large = run(6_000, 100, 1_000);
    let small = LeavingRun {
        rank: 9,
        ..run(1_000, 100, 1_000)
    };

    assert!(key(large).cmp(&key(small)).is_lt());
    assert!(large.key(since_notice).is_late() && !small.key(since_notice).is_late());
    assert!(large.key(since_notice) > small.key(since_notice));
}

#[test]
fn a_copy_to_another_data_centre_takes_the_link_twice_as_long() {
    let run = run(6_000, 0, 1_000);
    let since_notice = Duration::from_millis(900);

    assert!(run.fits(Distance::Near, since_notice, false));
    assert!(!run.fits(Distance::Far, since_notice, false));
    assert!(run.fits(Distance::Far, since_notice, true));
}

#[test]
fn a_rate_that_the_configuration_lacks_has_a_default() {
    let unknown = LeavingRun {
        copy_tokens_per_s: None,
        ..run(3_000, 0, 1_000)
    };

    let copy_time = unknown.copy_time(Distance::Near);

    assert!(copy_time > Duration::from_millis(200) && copy_time < Duration::from_millis(400));
}

fn first_copy(rest_tokens: u32) -> FirstCopy {
    FirstCopy {
        distance: Distance::Near,
        rest_tokens,
        copies: 1,
        is_link_taken: false,
        waited: Duration::ZERO,
        since_notice: Duration::from_millis(500),
    }
}

#[test]
fn a_run_is_not_stopped_for_longer_than_callers_bear() {
    let run = LeavingRun {
        copy_tokens_per_s: Some(300.0),
        ..run(400, 100, 1_000)
    };

    assert_eq!(after_copy(&run, first_copy(30)), AfterCopy::Stop);
    assert_eq!(after_copy(&run, first_copy(60)), AfterCopy::CopyAgain);
    let last = FirstCopy {
        copies: 3,
        ..first_copy(60)
    };
    assert_eq!(after_copy(&run, last), AfterCopy::Stop);
    let at_the_end = FirstCopy {
        since_notice: Duration::from_millis(1_800),
        ..first_copy(60)
    };
    assert_eq!(after_copy(&run, at_the_end), AfterCopy::Stop);
}

#[test]
fn what_grows_faster_than_it_is_copied_is_not_copied_again() {
    let run = LeavingRun {
        copy_tokens_per_s: Some(50.0),
        ..run(400, 100, 1_000)
    };

    assert_eq!(after_copy(&run, first_copy(30)), AfterCopy::Stop);
}

#[test]
fn a_run_is_not_stopped_while_its_destinations_link_is_taken() {
    let run = run(2_000, 100, 1_000);
    let taken = FirstCopy {
        is_link_taken: true,
        ..first_copy(10)
    };
    let waited = FirstCopy {
        waited: Duration::from_millis(250),
        ..taken
    };
    let at_the_end = FirstCopy {
        since_notice: Duration::from_millis(1_900),
        ..taken
    };

    assert_eq!(after_copy(&run, taken), AfterCopy::WaitForLink);
    assert_eq!(after_copy(&run, waited), AfterCopy::Stop);
    assert_eq!(after_copy(&run, at_the_end), AfterCopy::Stop);
}

/// A run of a replay: what its host expects, and what it then produces.
#[derive(Debug, Clone, Copy)]
struct DrawnRun {
    expected: LeavingRun,
    host: u32,
    ends_at: Duration,
    /// Its key since it joined.
    key: Option<MoveKey>,
}

impl DrawnRun {
    fn ends_by_itself(&self) -> bool {
        self.ends_at <= LIFETIME
    }
}

/// Runs of drawn lengths over 1 to 8 hosts, in the order in which they join.
fn draw_runs(rng: &mut ChaCha8Rng, hint_error: f64) -> Vec<DrawnRun> {
    let hosts = rng.random_range(1..=8);
    let draw = |_| {
        let output = rng.random_range(200.0_f64.ln()..1_500.0_f64.ln()).exp();
        let produced = (output * rng.random::<f64>()) as u32;
        let tokens_left = output - f64::from(produced);
        let error = hint_error.powf(rng.random_range(-1.0..=1.0));
        DrawnRun {
            expected: run(
                rng.random_range(200..6_000),
                produced,
                (tokens_left * error) as u32,
            ),
            host: rng.random_range(0..hosts),
            ends_at: TOKEN_TIME.mul_f64(tokens_left),
            key: None,
        }
    };
    (0..RUNS).map(draw).collect()
}

/// Saved loss in seconds if the link copies, whenever it is free, the waiting run that `next` chooses; 10 ms later it
/// chooses anew where it chooses none.
fn replay(runs: &[DrawnRun], next: impl Fn(Duration, &mut [DrawnRun]) -> Option<usize>) -> f64 {
    let mut waiting = runs.to_vec();
    let mut now = AT_NOTICE;
    let mut saved = 0.0;
    while now < LIFETIME {
        waiting.retain(|run| run.ends_at > now);
        match next(now, &mut waiting) {
            Some(index) => {
                let moved = waiting.remove(index);
                now += moved
                    .expected
                    .copy_time(Distance::Near)
                    .min(moved.ends_at - now);
                if now <= LIFETIME && !moved.ends_by_itself() {
                    saved += moved.expected.loss().as_secs_f64();
                }
            }
            None => now += TOKEN_TIME,
        }
    }
    saved + ending_loss(runs)
}

fn ending_loss(runs: &[DrawnRun]) -> f64 {
    let ending = runs.iter().filter(|run| run.ends_by_itself());
    ending.map(|run| run.expected.loss().as_secs_f64()).sum()
}

/// What is left of the expected run at `now`.
fn at(now: Duration, run: &DrawnRun) -> LeavingRun {
    let produced = (now.as_millis() / TOKEN_TIME.as_millis()) as u32;
    LeavingRun {
        tokens_left: run.expected.tokens_left.saturating_sub(produced),
        ..run.expected
    }
}

/// The order by keys, which runs get as they join and once more as they become late.
fn by_key(now: Duration, waiting: &mut [DrawnRun]) -> Option<usize> {
    for run in waiting.iter_mut() {
        let is_late = !run.expected.fits(Distance::Near, now, false);
        run.key = match at(now, run).decide(now) {
            Decision::Stays => None,
            Decision::Moves(key) if is_late => Some(key),
            Decision::Moves(key) => run.key.or(Some(key)),
        };
    }
    let joined = waiting.iter().enumerate();
    let joined = joined.filter_map(|(index, run)| Some((run.key?, run.host, index)));
    joined.min().map(|(_, _, index)| index)
}

/// The order without keys: the first host by name, there the first that joined; short runs join late.
fn by_joining(now: Duration, waiting: &mut [DrawnRun]) -> Option<usize> {
    let is_short = |run: &DrawnRun| {
        let left = at(now, run).tokens_left;
        left > 0 && TOKEN_TIME * left < Duration::from_millis(700)
    };
    let joined = waiting.iter().enumerate();
    let joined = joined.filter(|(_, run)| now >= Duration::from_millis(600) || !is_short(run));
    joined
        .min_by_key(|(index, run)| (run.host, *index))
        .map(|(index, _)| index)
}

/// The most that any choice of runs saves, by trying all.
fn optimum(runs: &[DrawnRun]) -> f64 {
    let moved: Vec<&DrawnRun> = runs.iter().filter(|run| !run.ends_by_itself()).collect();
    let saved = |set: u32| -> f64 {
        let chosen = moved.iter().enumerate();
        let chosen = chosen.filter(|(index, _)| set & (1 << index) != 0);
        let chosen = chosen.map(|(_, run)| run.expected);
        let (time, loss) = chosen.fold((0.0, 0.0), |(time, loss), run| {
            let copy = run.copy_time(Distance::Near).as_secs_f64();
            (time + copy, loss + run.loss().as_secs_f64())
        });
        if time <= LIFETIME.as_secs_f64() {
            loss
        } else {
            0.0
        }
    };
    let best = (0..1 << moved.len()).map(saved).fold(0.0, f64::max);
    best + ending_loss(runs)
}

/// Saved loss over all drawn cases: by key, by joining, and the most possible; and the cases in which the order by
/// key saves less than that by joining.
fn compare(hint_error: f64) -> (f64, f64, f64, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let cases = (0..CASES).map(|_| {
        let runs = draw_runs(&mut rng, hint_error);
        (
            replay(&runs, by_key),
            replay(&runs, by_joining),
            optimum(&runs),
        )
    });
    cases.fold((0.0, 0.0, 0.0, 0), |sum, (keys, joining, most)| {
        assert!(keys <= most + 1e-6, "{keys} of at most {most}");
        let is_worse = usize::from(keys < joining - 1e-6);
        (
            sum.0 + keys,
            sum.1 + joining,
            sum.2 + most,
            sum.3 + is_worse,
        )
    })
}

#[test]
fn the_order_saves_nearly_the_most_possible_where_outputs_are_as_expected() {
    let (keys, joining, most, worse) = compare(1.0);

    println!("by key {keys:.0} s, by joining {joining:.0} s, most {most:.0} s, worse in {worse}");
    assert!(keys > 0.95 * most && keys > joining);
}

#[test]
fn the_order_saves_more_than_that_of_joining_where_outputs_are_up_to_twice_as_long_or_short() {
    let (keys, joining, most, worse) = compare(2.0);

    println!("by key {keys:.0} s, by joining {joining:.0} s, most {most:.0} s, worse in {worse}");
    assert!(keys > 0.93 * most && keys > joining);
}
