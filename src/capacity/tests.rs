use crate::capacity::Demand;
use crate::id::ClassId;
use crate::id::CustomerId;
use crate::id::ServiceId;
use crate::model::ModelOptions;
use crate::trace::TraceRequest;

fn request(prompt_tokens: u32, output_tokens: u32) -> TraceRequest {
    TraceRequest {
        at_ms: 0,
        service: ServiceId::from("s"),
        customer: CustomerId::from("c"),
        class: ClassId::from("k"),
        prompt_tokens,
        output_tokens,
        max_output_tokens: output_tokens,
        repeatable: true,
        prefix: Vec::new(),
    }
}

#[test]
fn capacity_follows_from_memory_over_token_steps() {
    let options = ModelOptions {
        memory_tokens: 10_000,
        step_base_us: 10_000,
        step_sequence_us: 0,
        step_prefill_token_us: 0,
        ..ModelOptions::default()
    };
    let mut demand = Demand::default();
    demand.add(&request(50, 99), options.block_tokens);

    let requests_per_s = demand.requests_per_s(&options);

    // 50·99 + 99·100/2 = 9,900 token-steps in 10,000 tokens of 100 steps a second.
    assert!((requests_per_s - 10_000.0 / 9_900.0 * 100.0).abs() < 1e-9);
    assert!((demand.load(&options, 2, 1_000) - 0.0049500).abs() < 1e-6);
}
