//! Synthesises traces after the two users' workloads, seeded.
//!
//! Lengths are mixtures of log-normal kinds, cut off at a service's longest output. Requests are
//! drawn until they need exactly the asked share of the engines' memory-time
//! ([`crate::capacity`]); then they are spread over the duration: the rate doubles in bursts, and
//! large customers send some of theirs in batches.

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rand_distr::Distribution;
use rand_distr::LogNormal;
use rand_distr::weighted::WeightedIndex;

use crate::capacity::Demand;
use crate::id::ClassId;
use crate::id::CustomerId;
use crate::id::ServiceId;
use crate::preset::Kind;
use crate::preset::Preset;
use crate::preset::ServicePlan;
use crate::trace::PrefixPart;
use crate::trace::Trace;
use crate::trace::TraceHeader;
use crate::trace::TraceRequest;
use crate::trace::TraceService;

/// Blocks at the head of a prompt that all requests of a kind share.
const KIND_BLOCKS: u32 = 16;

/// Blocks after those that all requests of a kind and customer share.
const CUSTOMER_BLOCKS: u32 = 4;

/// A burst multiplies the rate by this.
const BURST_FACTOR: f64 = 2.0;

/// Mean time between the starts of two bursts, in milliseconds.
const BURST_EVERY_MS: f64 = 150_000.0;

/// Bursts last between these, in milliseconds.
const BURST_MS: std::ops::Range<u64> = 15_000..45_000;

/// A large customer's request comes in a batch with this probability.
const BATCH_PROBABILITY: f64 = 0.1;

/// Requests of a batch arrive within this time, in milliseconds.
const BATCH_SPREAD_MS: u64 = 2_000;

/// Largest number of requests in a batch.
const BATCH_MAX: usize = 20;

/// How many requests a trace has.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Amount {
    /// As many as need this share of the engines' memory-time.
    Load(f64),
    /// This many over all services, by their numbers of engines.
    Requests(u64),
}

/// The customer that [`add_flood`] adds.
pub const FLOODER: &str = "flooder";

/// A trace of `preset` with `amount` requests, which arrive within `duration_ms`.
pub fn synthesise(preset: &Preset, seed: u64, amount: Amount, duration_ms: u64) -> Trace {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut requests = Vec::new();
    let mut load: f64 = 0.0;
    for plan in &preset.services {
        let (drawn, needed) = draw_all(preset, plan, amount, duration_ms, &mut rng);
        requests.extend(arranged(preset, drawn, duration_ms, &mut rng));
        load = load.max(needed);
    }
    requests.sort_by_key(|request| request.at_ms);
    Trace {
        header: TraceHeader {
            name: preset.name.clone(),
            seed,
            load,
            duration_ms,
            weights: preset.weights.clone(),
            services: preset.services.iter().map(trace_service).collect(),
        },
        requests,
        outcomes: Vec::new(),
    }
}

fn trace_service(plan: &ServicePlan) -> TraceService {
    TraceService {
        service: ServiceId::from(plan.service),
        engines: plan.engines,
        high_water_percent: 95,
        engine: plan.engine.clone(),
    }
}

/// Adds a customer of weight 1 that sends, in the middle third of the trace and in the class of
/// most requests, as many requests as need the share `load` of every service's memory-time there.
/// What was in the trace stays as it is.
pub fn add_flood(trace: &mut Trace, preset: &Preset, load: f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(trace.header.seed ^ 0xf100d);
    let third_ms = trace.header.duration_ms / 3;
    let classes = preset.classes.iter();
    let class = classes.max_by(|a, b| a.share.total_cmp(&b.share));
    for plan in &preset.services {
        let (drawn, _) = draw_all(preset, plan, Amount::Load(load), third_ms, &mut rng);
        for mut request in drawn {
            request.customer = CustomerId::from(FLOODER);
            request.class = class.map_or(request.class, |class| ClassId::from(class.name));
            request.at_ms = third_ms + rng.random_range(0..third_ms.max(1));
            trace.requests.push(request);
        }
    }
    trace.requests.sort_by_key(|request| request.at_ms);
}

/// Requests of one service, and the share of its engines' memory-time that they need.
fn draw_all(
    preset: &Preset,
    plan: &ServicePlan,
    amount: Amount,
    duration_ms: u64,
    rng: &mut ChaCha8Rng,
) -> (Vec<TraceRequest>, f64) {
    let engines: u32 = preset.services.iter().map(|plan| plan.engines).sum();
    let mut demand = Demand::default();
    let mut requests = Vec::new();
    loop {
        let load = demand.load(&plan.engine, plan.engines, duration_ms);
        let enough = match amount {
            Amount::Load(wanted) => load >= wanted,
            Amount::Requests(count) => {
                requests.len() as u64 >= count * u64::from(plan.engines) / u64::from(engines)
            }
        };
        if enough {
            return (requests, load);
        }
        let request = draw(preset, plan, rng);
        demand.add(&request, plan.engine.block_tokens);
        requests.push(request);
    }
}

/// The requests with their times of arrival.
fn arranged(
    preset: &Preset,
    mut requests: Vec<TraceRequest>,
    duration_ms: u64,
    rng: &mut ChaCha8Rng,
) -> Vec<TraceRequest> {
    let bursts = bursts(duration_ms, rng);
    for request in &mut requests {
        request.at_ms = arrival_ms(&bursts, duration_ms, rng);
    }
    batch(preset, &mut requests, duration_ms, rng);
    requests
}

fn draw(preset: &Preset, plan: &ServicePlan, rng: &mut ChaCha8Rng) -> TraceRequest {
    let (kind_number, kind) = choose(&plan.kinds, |kind| kind.share, rng);
    let (customer_number, customer) = choose(&preset.customers, |customer| customer.share, rng);
    let (_, class) = choose(&preset.classes, |class| class.share, rng);
    let head_tokens = (KIND_BLOCKS + CUSTOMER_BLOCKS) * plan.engine.block_tokens;
    let own_tokens = log_normal(kind.prompt_median, kind.prompt_sigma, rng);
    let output = log_normal(kind.output_median, kind.output_sigma, rng);
    let output_tokens = output.clamp(1, plan.output_tokens_max);
    TraceRequest {
        at_ms: 0,
        service: ServiceId::from(plan.service),
        customer: CustomerId::from(customer.name),
        class: ClassId::from(class.name),
        prompt_tokens: head_tokens + own_tokens.clamp(1, plan.prompt_tokens_max),
        output_tokens,
        max_output_tokens: stated_bound(plan, kind, output_tokens, rng),
        repeatable: rng.random_bool(kind.repeatable),
        prefix: vec![
            PrefixPart {
                content: kind_number as u64,
                blocks: KIND_BLOCKS,
            },
            PrefixPart {
                content: customer_number as u64,
                blocks: CUSTOMER_BLOCKS,
            },
        ],
    }
}

/// Half of the callers leave the bound at the service's longest output, half set what is usual
/// for the kind; neither tells the length.
fn stated_bound(plan: &ServicePlan, kind: &Kind, output_tokens: u32, rng: &mut ChaCha8Rng) -> u32 {
    if rng.random_bool(0.5) {
        return plan.output_tokens_max;
    }
    kind.usual_bound_tokens.max(output_tokens)
}

fn choose<'a, T>(
    items: &'a [T],
    share: impl Fn(&T) -> f64,
    rng: &mut ChaCha8Rng,
) -> (usize, &'a T) {
    let index = match WeightedIndex::new(items.iter().map(share)) {
        Ok(weighted) => weighted.sample(rng),
        Err(error) => unreachable!("presets hold positive shares: {error}"),
    };
    (index, &items[index])
}

fn log_normal(median: f64, sigma: f64, rng: &mut ChaCha8Rng) -> u32 {
    match LogNormal::new(median.ln(), sigma) {
        Ok(distribution) => distribution.sample(rng).round() as u32,
        Err(error) => unreachable!("presets hold valid deviations: {error}"),
    }
}

/// Starts and ends of bursts.
fn bursts(duration_ms: u64, rng: &mut ChaCha8Rng) -> Vec<(u64, u64)> {
    let mut bursts = Vec::new();
    let mut at_ms = 0;
    loop {
        let pause = -rng.random_range(f64::EPSILON..1.0).ln() * BURST_EVERY_MS;
        let from_ms = at_ms + pause as u64;
        let until_ms = (from_ms + rng.random_range(BURST_MS)).min(duration_ms);
        if from_ms >= duration_ms {
            return bursts;
        }
        bursts.push((from_ms, until_ms));
        at_ms = until_ms;
    }
}

/// An arrival whose density is [`BURST_FACTOR`] times higher in bursts, by rejection.
fn arrival_ms(bursts: &[(u64, u64)], duration_ms: u64, rng: &mut ChaCha8Rng) -> u64 {
    loop {
        let at_ms = rng.random_range(0..duration_ms);
        let mut inside = bursts.iter();
        let in_burst = inside.any(|(from_ms, until_ms)| (*from_ms..*until_ms).contains(&at_ms));
        if in_burst || rng.random_bool(1.0 / BURST_FACTOR) {
            return at_ms;
        }
    }
}

/// Moves some requests of each large customer together in time.
fn batch(preset: &Preset, requests: &mut [TraceRequest], duration_ms: u64, rng: &mut ChaCha8Rng) {
    for customer in preset.customers.iter().filter(|customer| customer.large) {
        let mut own: Vec<usize> = (0..requests.len())
            .filter(|index| requests[*index].customer.as_str() == customer.name)
            .filter(|_| rng.random_bool(BATCH_PROBABILITY))
            .collect();
        own.shuffle(rng);
        let mut rest = own.as_slice();
        while !rest.is_empty() {
            let (batch, after) = rest.split_at(rng.random_range(1..=BATCH_MAX.min(rest.len())));
            let from_ms = rng.random_range(0..duration_ms.saturating_sub(BATCH_SPREAD_MS).max(1));
            for index in batch {
                requests[*index].at_ms = from_ms + rng.random_range(0..BATCH_SPREAD_MS);
            }
            rest = after;
        }
    }
}

#[cfg(test)]
mod tests;
