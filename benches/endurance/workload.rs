//! The requests: short answers, so that many fit into minutes; every kind of service and repeat.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use cedargauge::id::ClassId;
use cedargauge::id::CustomerId;
use cedargauge::id::ServiceId;
use cedargauge::model::ModelOptions;
use cedargauge::schedule::Weights;
use cedargauge::standin_table::CREW_APP;
use cedargauge::standin_table::INSPECTION;
use cedargauge::trace::Trace;
use cedargauge::trace::TraceHeader;
use cedargauge::trace::TraceRequest;
use cedargauge::trace::TraceService;

const SEED: u64 = 20_261_202;
const REQUESTS_PER_S: u64 = 160;
const PLAIN_PERCENT: u32 = 25;
const NOT_REPEATABLE_PERCENT: u32 = 30;
const LONG_PERCENT: u32 = 3;
const CLASSES: [&str; 3] = ["urgent", "standard", "batch"];

/// A trace of `requests` requests at a steady rate.
pub fn trace(requests: usize) -> Trace {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let requests: Vec<TraceRequest> = (0..requests as u64)
        .map(|index| request(&mut rng, index * 1_000 / REQUESTS_PER_S))
        .collect();
    Trace {
        header: TraceHeader {
            name: "endurance".to_owned(),
            seed: SEED,
            load: 0.0,
            duration_ms: requests.last().map_or(0, |last| last.at_ms),
            weights: Weights::default(),
            services: vec![generation_service()],
        },
        requests,
        outcomes: Vec::new(),
    }
}

fn generation_service() -> TraceService {
    TraceService {
        service: ServiceId::from(INSPECTION),
        engines: 1,
        high_water_percent: 90,
        engine: ModelOptions::default(),
    }
}

fn request(rng: &mut ChaCha8Rng, at_ms: u64) -> TraceRequest {
    let is_plain = rng.random_range(0..100) < PLAIN_PERCENT;
    let is_long = rng.random_range(0..100) < LONG_PERCENT;
    let output_tokens = match is_long {
        true => rng.random_range(200..800),
        false => rng.random_range(4..40),
    };
    TraceRequest {
        at_ms,
        service: ServiceId::from(if is_plain { CREW_APP } else { INSPECTION }),
        customer: CustomerId::from("demo"),
        class: ClassId::from(CLASSES[rng.random_range(0..CLASSES.len())]),
        prompt_tokens: rng.random_range(40..400),
        output_tokens,
        max_output_tokens: 2 * output_tokens,
        repeatable: rng.random_range(0..100) >= NOT_REPEATABLE_PERCENT,
        prefix: Vec::new(),
    }
}
