use crate::capacity::Demand;
use crate::faultscript::Fault;
use crate::faultscript::FaultEvent;
use crate::faultscript::Faults;
use crate::faultscript::shifted;
use crate::preset::Preset;
use crate::synth::Amount;
use crate::synth::synthesise;
use crate::trace::Trace;
use crate::trace::TraceRequest;

const SHIFT_AT_MS: u64 = 300_000;

fn late(trace: &Trace) -> Vec<&TraceRequest> {
    let requests = trace.requests_of(&trace.header.services[0].service);
    requests.filter(|r| r.at_ms >= SHIFT_AT_MS).collect()
}

fn mean_output(requests: &[&TraceRequest]) -> f64 {
    let sum: f64 = requests.iter().map(|r| f64::from(r.output_tokens)).sum();
    sum / requests.len() as f64
}

#[test]
fn shift_lengthens_outputs_and_keeps_the_load() {
    let trace = synthesise(&Preset::hoher_grat(), 4, Amount::Load(0.9), 600_000);
    let event = FaultEvent {
        at_ms: SHIFT_AT_MS,
        fault: Fault::LengthShift {
            factor: 5.0,
            output_tokens_max: 16_384,
        },
    };
    let faults = Faults {
        events: vec![event],
        ..Faults::default()
    };

    let after = shifted(&trace, &faults);

    assert!(mean_output(&late(&after)) > 3.0 * mean_output(&late(&trace)));
    let service = &trace.header.services[0];
    let load = |requests: Vec<&TraceRequest>| {
        let mut demand = Demand::default();
        requests
            .iter()
            .for_each(|r| demand.add(r, service.engine.block_tokens));
        demand.load(&service.engine, service.engines, SHIFT_AT_MS)
    };
    let ratio = load(late(&after)) / load(late(&trace));
    assert!((0.85..1.15).contains(&ratio), "{ratio}");
}

#[test]
fn faults_read_from_json() {
    let text = r#"{"report_lag_ms": 2000, "events": [
        {"at_ms": 5, "fault": {"engine_dies": {"service": "inspection", "engine": 1}}}]}"#;

    let faults: Faults = crate::settings::parse(text).unwrap();

    assert_eq!(faults.report_lag_ms, 2_000);
    assert_eq!(faults.report_interval_ms, 250);
    assert_eq!(faults.events.len(), 1);
}
