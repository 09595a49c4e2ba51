//! Replays a trace in virtual time under several policies, on the same engines and seed.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::thread;

use serde::Serialize;
use serde_json::Value;

use crate::baselines::Baseline;
use crate::baselines::Choice;
use crate::clock::Time;
use crate::error::Error;
use crate::fairness::Fairness;
use crate::fairness::fairness;
use crate::faultscript::Faults;
use crate::faultscript::shifted;
use crate::id::RequestId;
use crate::observe::Recorder;
use crate::oracle::Oracle;
use crate::outcome::CheckedOutcome;
use crate::schedule::Policy;
use crate::scheduler::Scheduler;
use crate::scheduler::SchedulerOptions;
use crate::summary::Summary;
use crate::trace::Trace;
use crate::trace::TraceService;
use crate::virtualtime::VirtualRun;
use crate::virtualtime::ids::request_id;

/// A policy that `compare` can replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyName {
    /// The scheduler that entry hosts run.
    Cedargauge,
    /// Each engine in turn, without admission.
    RoundRobin,
    /// The engine with the fewest requests, without admission.
    LeastRequests,
    /// Admission that knows every output length.
    Oracle,
}

impl PolicyName {
    /// Every policy.
    pub const ALL: [PolicyName; 4] = [
        PolicyName::Cedargauge,
        PolicyName::RoundRobin,
        PolicyName::LeastRequests,
        PolicyName::Oracle,
    ];

    /// The name on the command line and in results.
    pub const fn as_str(self) -> &'static str {
        match self {
            PolicyName::Cedargauge => "cedargauge",
            PolicyName::RoundRobin => "round-robin",
            PolicyName::LeastRequests => "least-requests",
            PolicyName::Oracle => "oracle",
        }
    }
}

impl fmt::Display for PolicyName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for PolicyName {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut all = PolicyName::ALL.into_iter();
        all.find(|name| name.as_str() == text)
            .ok_or_else(|| Error::Invalid {
                faults: vec![format!(
                    "policy {text}: known are {}",
                    PolicyName::ALL.map(PolicyName::as_str).join(", ")
                )],
            })
    }
}

/// The figures of every policy on one trace.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Comparison {
    /// Figures by policy.
    pub policies: BTreeMap<String, Summary>,
    /// Shares of the tokens by policy, if there was a minute in which every customer waited.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub fairness: BTreeMap<String, Fairness>,
    /// Stated outcomes, checked.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub outcomes: Vec<CheckedOutcome>,
}

impl Comparison {
    /// Sums up what was recorded under each policy and checks the outcomes that the trace states.
    pub fn of(trace: &Trace, recorded: &[(PolicyName, Recorder)]) -> Self {
        let weights = &trace.header.weights;
        let mut comparison = Comparison {
            policies: recorded
                .iter()
                .map(|(name, recorder)| (name.to_string(), Summary::of(recorder)))
                .collect(),
            fairness: recorded
                .iter()
                .filter_map(|(name, recorder)| {
                    Some((name.to_string(), fairness(recorder, weights)?))
                })
                .collect(),
            outcomes: Vec::new(),
        };
        comparison.outcomes = trace
            .outcomes
            .iter()
            .map(|outcome| outcome.check(&comparison))
            .collect();
        comparison
    }

    /// A top-level number of a policy's figures, by its name in JSON. A dotted name goes into
    /// groups, as in `by_class.urgent.refused`.
    pub fn metric(&self, policy: &str, metric: &str) -> Option<f64> {
        let summary = self.policies.get(policy)?;
        let value = serde_json::to_value(summary).ok()?;
        metric
            .split('.')
            .try_fold(&value, |value: &Value, key| value.get(key))?
            .as_f64()
    }

    /// Whether every stated outcome holds.
    pub fn holds(&self) -> bool {
        self.outcomes.iter().all(|outcome| outcome.holds)
    }
}

/// Replays `trace` under each policy and checks the outcomes that it states.
pub fn compare(
    trace: &Trace,
    policies: &[PolicyName],
    faults: &Faults,
    scheduler: &SchedulerOptions,
) -> Comparison {
    Comparison::of(trace, &record(trace, policies, faults, scheduler))
}

/// Replays `trace` under each policy and answers with the records of each.
pub fn record(
    trace: &Trace,
    policies: &[PolicyName],
    faults: &Faults,
    scheduler: &SchedulerOptions,
) -> Vec<(PolicyName, Recorder)> {
    let trace = &shifted(trace, faults);
    let replay_one = |name: PolicyName| {
        let mut whole = Recorder::new(Time::from_ms(trace.header.duration_ms));
        for service in &trace.header.services {
            let policy = build(name, trace, service, scheduler);
            whole.merge(VirtualRun::new(trace, service, faults, policy).run());
        }
        (name, whole)
    };
    thread::scope(|scope| {
        let threads: Vec<_> = policies
            .iter()
            .map(|name| scope.spawn(move || replay_one(*name)))
            .collect();
        threads
            .into_iter()
            .map(|thread| match thread.join() {
                Ok(recorded) => recorded,
                Err(panic) => std::panic::resume_unwind(panic),
            })
            .collect()
    })
}

fn build(
    name: PolicyName,
    trace: &Trace,
    service: &TraceService,
    scheduler: &SchedulerOptions,
) -> Box<dyn Policy> {
    match name {
        PolicyName::Cedargauge => Box::new(Scheduler::new(scheduler.clone())),
        PolicyName::RoundRobin => Box::new(Baseline::new(Choice::RoundRobin)),
        PolicyName::LeastRequests => Box::new(Baseline::new(Choice::LeastRequests)),
        PolicyName::Oracle => {
            let lengths = true_lengths(trace, service);
            Box::new(Oracle::new(lengths, service.engine.block_tokens))
        }
    }
}

fn true_lengths(trace: &Trace, service: &TraceService) -> HashMap<RequestId, u32> {
    trace
        .requests_of(&service.service)
        .enumerate()
        .map(|(index, request)| (request_id(index), request.output_tokens))
        .collect()
}

#[cfg(test)]
mod tests;
