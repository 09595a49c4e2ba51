//! Policies without admission that replay compares the scheduler with.

use std::collections::HashMap;

use crate::clock::Time;
use crate::id::ClassId;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::schedule::Action;
use crate::schedule::Input;
use crate::schedule::Policy;
use crate::schedule::Ticket;
use crate::schedule::Weights;

/// How a [`Baseline`] chooses an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Each in turn.
    RoundRobin,
    /// The one with the fewest requests that this policy sent there and that haven't ended.
    LeastRequests,
}

/// An upstream as a baseline sees it.
#[derive(Debug, Clone)]
struct Upstream {
    id: UpstreamId,
    requests: usize,
    leaving: bool,
}

/// Sends every request at once; the engine's own queue holds what doesn't fit.
#[derive(Debug, Clone)]
pub struct Baseline {
    choice: Choice,
    weights: Weights,
    upstreams: Vec<Upstream>,
    placed: HashMap<RequestId, UpstreamId>,
    turn: usize,
}

impl Baseline {
    /// A baseline without upstreams.
    pub fn new(choice: Choice) -> Self {
        Baseline {
            choice,
            weights: Weights::default(),
            upstreams: Vec::new(),
            placed: HashMap::new(),
            turn: 0,
        }
    }

    fn submit(&mut self, ticket: &Ticket) -> Action {
        let request = ticket.request;
        let Some(index) = self.choose(ticket) else {
            let refusal = Refusal::not_run(Code::NoUpstream, "no upstream is left");
            return Action::Refuse { request, refusal };
        };
        self.turn = (index + 1) % self.upstreams.len();
        let upstream = &mut self.upstreams[index];
        upstream.requests += 1;
        self.placed.insert(request, upstream.id.clone());
        Action::Grant {
            request,
            upstream: upstream.id.clone(),
            engine_priority: self.engine_priority(&ticket.class),
            valid_ms: 1_000,
        }
    }

    /// The upstream's index: from the one whose turn it is, or the least loaded.
    fn choose(&self, ticket: &Ticket) -> Option<usize> {
        let count = self.upstreams.len();
        let in_turn = (0..count).map(|offset| (self.turn + offset) % count);
        let mut usable = in_turn.filter(|index| {
            let upstream = &self.upstreams[*index];
            !upstream.leaving && !ticket.avoid.contains(&upstream.id)
        });
        match self.choice {
            Choice::RoundRobin => usable.next(),
            Choice::LeastRequests => usable.min_by_key(|index| self.upstreams[*index].requests),
        }
    }

    fn engine_priority(&self, class: &ClassId) -> u8 {
        let mut classes = self.weights.classes.iter();
        classes
            .find(|row| row.class == *class)
            .map_or(0, |row| row.engine_priority)
    }

    fn finished(&mut self, request: RequestId) {
        let Some(id) = self.placed.remove(&request) else {
            return;
        };
        if let Some(upstream) = self.find(&id) {
            upstream.requests -= 1;
        }
    }

    fn find(&mut self, id: &UpstreamId) -> Option<&mut Upstream> {
        self.upstreams
            .iter_mut()
            .find(|upstream| upstream.id == *id)
    }
}

impl Policy for Baseline {
    fn step(&mut self, _now: Time, input: Input) -> Vec<Action> {
        match input {
            Input::Weights(weights) => self.weights = weights,
            Input::Upstream(spec) => {
                if self.find(&spec.upstream).is_none() {
                    self.upstreams.push(Upstream {
                        id: spec.upstream,
                        requests: 0,
                        leaving: false,
                    });
                }
            }
            Input::UpstreamLeaving(id) => {
                if let Some(upstream) = self.find(&id) {
                    upstream.leaving = true;
                }
            }
            Input::UpstreamRemoved(id) => self.upstreams.retain(|upstream| upstream.id != id),
            Input::Submit(ticket) => return vec![self.submit(&ticket)],
            Input::Finished { request, .. } => self.finished(request),
            Input::Report { .. }
            | Input::Cache { .. }
            | Input::Withdraw(_)
            | Input::Started { .. }
            | Input::Progress { .. }
            | Input::Adopt { .. }
            | Input::Tick => {}
        }
        Vec::new()
    }

    fn next_tick(&self, _now: Time) -> Option<Time> {
        None
    }
}

#[cfg(test)]
mod tests;
