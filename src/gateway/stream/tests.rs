use super::expected_output;
use super::planned_output;
use crate::gateway::protocol::GenerationSize;

fn size(hint: Option<u32>) -> GenerationSize {
    GenerationSize {
        prompt_tokens: 3_000,
        output_tokens_max: 1_600,
        output_tokens_hint: hint,
    }
}

#[test]
fn hints_far_from_the_typical_length_are_weighted_with_it() {
    let planned = [30, 400, 5_000].map(|hint| planned_output(size(Some(hint))));

    assert!((38..500).contains(&planned[0]), "{planned:?}");
    assert!((490..=500).contains(&planned[1]), "{planned:?}");
    assert_eq!(planned[2], 1_600, "{planned:?}");
    assert!(planned_output(size(Some(1_500))) < 1_500);
}

#[test]
fn without_a_hint_the_output_limit_is_planned() {
    assert_eq!(planned_output(size(None)), 1_600);
}

// Guards against engines that look half empty but preempt streams, because runs that outlast a short hint
// count with too little memory.
#[test]
fn a_run_that_exceeds_its_plan_is_expected_to_continue() {
    let planned = planned_output(size(Some(100)));

    let expected =
        [0, planned, 1_000, 1_600].map(|produced| expected_output(size(Some(100)), produced));

    assert_eq!(expected[0], planned);
    assert!(expected[1] > planned);
    assert_eq!(expected[2..], [1_500, 1_600]);
}
