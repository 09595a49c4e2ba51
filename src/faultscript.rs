//! What goes wrong in a replay: lag and loss of what engines tell, and scripted events.

use std::collections::HashMap;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::capacity::Demand;
use crate::id::ServiceId;
use crate::trace::Trace;
use crate::trace::TraceRequest;

/// How engines' words reach a policy, and what happens to engines and requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time between two load reports of an engine, in milliseconds; 250 by default.
    pub report_interval_ms: u64,
    /// Age of a load report when it arrives, in milliseconds; 250 by default.
    pub report_lag_ms: u64,
    /// Age of cache events when they arrive, in milliseconds; 1,000 by default.
    pub cache_lag_ms: u64,
    /// Cache events that never arrive, in percent; 5 by default.
    pub cache_loss_percent: u32,
    /// Time between two progress messages of a request, in milliseconds; 250 by default.
    pub progress_interval_ms: u64,
    /// Scripted events.
    pub events: Vec<FaultEvent>,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            report_interval_ms: 250,
            report_lag_ms: 250,
            cache_lag_ms: 1_000,
            cache_loss_percent: 5,
            progress_interval_ms: 250,
            events: Vec::new(),
        }
    }
}

/// Something that happens at a time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultEvent {
    /// When, in milliseconds after the start of the trace.
    pub at_ms: u64,
    /// What.
    pub fault: Fault,
}

/// What can happen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// An engine dies with what it runs. Policies learn it from failures at once, and from the
    /// list of hosts after 2 s.
    EngineDies {
        /// Whose engine.
        service: ServiceId,
        /// Its position, from 0.
        engine: usize,
    },
    /// An engine is reclaimed: it refuses new work at once and dies after the notice.
    EngineReclaimed {
        /// Whose engine.
        service: ServiceId,
        /// Its position, from 0.
        engine: usize,
        /// Time from the notice to its death, in milliseconds.
        notice_ms: u64,
    },
    /// From here on outputs are longer by the factor, and requests rarer such that the load stays
    /// what it was.
    LengthShift {
        /// Factor on output lengths.
        factor: f64,
        /// Outputs are no longer than this, in tokens.
        output_tokens_max: u32,
    },
}

/// The trace after its scripted shifts of the length mix.
pub(crate) fn shifted(trace: &Trace, faults: &Faults) -> Trace {
    let mut shifted = trace.clone();
    for event in &faults.events {
        if let Fault::LengthShift {
            factor,
            output_tokens_max,
        } = event.fault
        {
            shift(&mut shifted, event.at_ms, factor, output_tokens_max);
        }
    }
    shifted
}

fn shift(trace: &mut Trace, at_ms: u64, factor: f64, output_tokens_max: u32) {
    let mut rng = ChaCha8Rng::seed_from_u64(trace.header.seed ^ at_ms);
    let after = |request: &&TraceRequest| request.at_ms >= at_ms;
    let before_shift = rates(trace, trace.requests.iter().filter(after));
    for request in trace.requests.iter_mut().filter(|r| r.at_ms >= at_ms) {
        let longer = f64::from(request.output_tokens) * factor;
        request.output_tokens = (longer as u32).clamp(1, output_tokens_max);
        request.max_output_tokens = request.max_output_tokens.max(request.output_tokens);
    }
    let after_shift = rates(trace, trace.requests.iter().filter(after));
    trace.requests.retain(|request| {
        let kept = after_shift[&request.service] / before_shift[&request.service];
        request.at_ms < at_ms || rng.random_bool(kept.clamp(0.0, 1.0))
    });
}

/// Requests a second that an engine carries, for each service.
fn rates<'a>(
    trace: &Trace,
    requests: impl Iterator<Item = &'a TraceRequest>,
) -> HashMap<ServiceId, f64> {
    let mut demands: HashMap<ServiceId, Demand> = HashMap::new();
    for request in requests {
        let demand = demands.entry(request.service.clone()).or_default();
        demand.add(request, block_tokens(trace, &request.service));
    }
    trace
        .header
        .services
        .iter()
        .map(|service| {
            let demand = demands.remove(&service.service).unwrap_or_default();
            (
                service.service.clone(),
                demand.requests_per_s(&service.engine),
            )
        })
        .collect()
}

fn block_tokens(trace: &Trace, service: &ServiceId) -> u32 {
    trace
        .header
        .services
        .iter()
        .find(|candidate| candidate.service == *service)
        .map_or(1, |candidate| candidate.engine.block_tokens)
}

#[cfg(test)]
mod tests;
