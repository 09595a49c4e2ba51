use crate::compare::PolicyName;
use crate::compare::compare;
use crate::faultscript::Faults;
use crate::preset::Preset;
use crate::scheduler::SchedulerOptions;
use crate::synth::Amount;
use crate::synth::synthesise;

#[test]
fn known_lengths_leave_next_to_no_preemptions() {
    let trace = synthesise(&Preset::hoher_grat(), 5, Amount::Load(1.0), 120_000);
    let policies = [PolicyName::Oracle, PolicyName::LeastRequests];
    let options = SchedulerOptions::default();

    let comparison = compare(&trace, &policies, &Faults::default(), &options);

    let oracle = &comparison.policies["oracle"];
    let least_requests = &comparison.policies["least-requests"];
    assert!(least_requests.preemptions > 100);
    assert!(oracle.preemptions * 50 < least_requests.preemptions);
}
