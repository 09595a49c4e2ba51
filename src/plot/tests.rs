use crate::compare::PolicyName;
use crate::compare::record;
use crate::faultscript::Faults;
use crate::plot::draw;
use crate::preset::Preset;
use crate::scheduler::SchedulerOptions;
use crate::synth::Amount;
use crate::synth::synthesise;

#[test]
fn picture_names_every_policy() {
    let trace = synthesise(&Preset::hoher_grat(), 1, Amount::Requests(40), 5_000);
    let faults = Faults::default();
    let options = SchedulerOptions::default();
    let recorded = record(&trace, &PolicyName::ALL, &faults, &options);

    let svg = draw("stalls", &recorded).unwrap();

    assert!(svg.starts_with("<svg"));
    for name in PolicyName::ALL {
        assert!(svg.contains(name.as_str()), "{name}");
    }
}
