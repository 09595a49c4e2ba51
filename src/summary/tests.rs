use crate::clock::Time;
use crate::observe::Recorder;
use crate::preset::Preset;
use crate::summary::Summary;
use crate::summary::percentile_ms;
use crate::synth::Amount;
use crate::synth::synthesise;

#[test]
fn percentile_takes_the_value_at_the_rank() {
    let mut recorder = Recorder::new(Time::from_ms(1));
    let request = synthesise(&Preset::hoher_grat(), 1, Amount::Load(0.1), 5_000);
    for _ in 0..100 {
        recorder.add(&request.requests[0]);
    }
    for (index, record) in recorder.requests.iter_mut().enumerate() {
        record.gap_stall_us = (index as u64 + 1) * 1_000;
    }
    let records: Vec<_> = recorder.requests.iter().collect();

    let p99 = percentile_ms(&records, 0.99, |record| Some(record.gap_stall_us));

    assert_eq!(p99, 99.0);
}

#[test]
fn empty_record_has_zero_figures() {
    let recorder = Recorder::new(Time::from_ms(1_000));

    let summary = Summary::of(&recorder);

    assert_eq!(summary.stall_ms_p99, 0.0);
    assert_eq!(summary.completed, 0);
}
