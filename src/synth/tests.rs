use crate::capacity::Demand;
use crate::preset::Preset;
use crate::synth::Amount;
use crate::synth::synthesise;

#[test]
fn trace_needs_the_asked_share_of_every_service() {
    for preset in [Preset::hoher_grat(), Preset::joint_venture()] {
        let trace = synthesise(&preset, 7, Amount::Load(0.8), 300_000);

        for service in &trace.header.services {
            let mut demand = Demand::default();
            for request in trace.requests_of(&service.service) {
                demand.add(request, service.engine.block_tokens);
            }
            let load = demand.load(&service.engine, service.engines, 300_000);
            assert!((0.8..0.82).contains(&load), "{}: {load}", service.service);
        }
    }
}

#[test]
fn seed_decides_the_trace() {
    let preset = Preset::joint_venture();

    let first = synthesise(&preset, 7, Amount::Load(0.5), 60_000);
    let same = synthesise(&preset, 7, Amount::Load(0.5), 60_000);
    let other = synthesise(&preset, 8, Amount::Load(0.5), 60_000);

    assert_eq!(first, same);
    assert_ne!(first.requests, other.requests);
}

#[test]
fn lengths_have_a_long_tail_and_arrivals_are_in_order() {
    let trace = synthesise(&Preset::joint_venture(), 7, Amount::Load(0.9), 600_000);

    let service = &trace.header.services[0].service;
    let mut outputs: Vec<u32> = trace
        .requests_of(service)
        .map(|r| r.output_tokens)
        .collect();
    outputs.sort_unstable();
    let median = outputs[outputs.len() / 2];
    let p99 = outputs[outputs.len() * 99 / 100];
    assert!(p99 > 50 * median, "median {median}, p99 {p99}");
    assert!(trace.requests.is_sorted_by_key(|request| request.at_ms));
}
