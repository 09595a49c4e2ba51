use crate::compare::PolicyName;
use crate::compare::compare;
use crate::faultscript::Faults;
use crate::outcome::StatedOutcome;
use crate::preset::Preset;
use crate::scheduler::SchedulerOptions;
use crate::synth::Amount;
use crate::synth::synthesise;

fn outcome(metric: &str, relative_to: Option<&str>, at_most: f64) -> StatedOutcome {
    StatedOutcome {
        policy: "oracle".to_owned(),
        metric: metric.to_owned(),
        relative_to: relative_to.map(str::to_owned),
        at_most: Some(at_most),
        at_least: None,
    }
}

#[test]
fn outcomes_are_held_against_values_and_ratios() {
    let mut trace = synthesise(&Preset::hoher_grat(), 1, Amount::Load(0.5), 10_000);
    trace.outcomes = vec![
        outcome("completed", None, 1e6),
        outcome("completed", None, 1.0),
        outcome("completed", Some("oracle"), 1.0),
        outcome("by_class.urgent.requests", Some("oracle"), 0.5),
        outcome("no_such_metric", None, 1e6),
    ];

    let policies = [PolicyName::Oracle];
    let options = SchedulerOptions::default();
    let comparison = compare(&trace, &policies, &Faults::default(), &options);

    let verdicts: Vec<bool> = comparison.outcomes.iter().map(|o| o.holds).collect();
    assert_eq!(verdicts, vec![true, false, true, false, false]);
    assert!(!comparison.holds());
}
