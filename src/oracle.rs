//! A policy that knows every output length: the bound that replay holds the scheduler against.
//!
//! Order and shares are the scheduler's own ([`FairQueue`]); what differs is admission. With the
//! lengths known, the memory of an engine is known at every later token step, since each running
//! sequence gains one token a step until its end. A request is admitted where the highest memory
//! ever reached, with it, stays within the engine's; so nothing is preempted, and no memory is
//! held back for a doubt. It waits only while no engine has such room, and is refused when its
//! class's longest wait is over.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::fairqueue::FairQueue;
use crate::fairqueue::Waiting;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::schedule::Action;
use crate::schedule::Input;
use crate::schedule::Policy;
use crate::schedule::Ticket;

/// Memory a sequence may hold beyond its tokens: a part of its last block, and tokens generated
/// since the last progress message.
const SLACK_TOKENS: u64 = 16;

/// Time between two looks at the queue for waits that are over.
const TICK: Duration = Duration::from_millis(100);

/// A running request with its known end.
#[derive(Debug, Clone)]
struct Known {
    request: RequestId,
    ticket: Ticket,
    shared_tokens: u64,
    output_tokens: u32,
    true_output_tokens: u32,
}

impl Known {
    fn remaining_tokens(&self) -> u64 {
        u64::from(self.true_output_tokens.saturating_sub(self.output_tokens))
    }

    fn private_tokens(&self) -> u64 {
        let context = u64::from(self.ticket.prompt_tokens) + u64::from(self.output_tokens);
        context.saturating_sub(self.shared_tokens) + SLACK_TOKENS
    }
}

/// An upstream with all that runs there.
#[derive(Debug, Clone)]
struct Upstream {
    id: UpstreamId,
    memory_tokens: u64,
    leaving: bool,
    running: Vec<Known>,
    /// Running sequences by shared block.
    shared_blocks: HashMap<u64, u32>,
}

/// The policy that knows.
#[derive(Debug)]
pub struct Oracle {
    block_tokens: u64,
    true_output_tokens: HashMap<RequestId, u32>,
    queue: FairQueue,
    deadlines: BTreeSet<(Time, RequestId)>,
    upstreams: Vec<Upstream>,
    placed: HashMap<RequestId, UpstreamId>,
}

impl Oracle {
    /// An oracle for requests of these true output lengths.
    pub fn new(true_output_tokens: HashMap<RequestId, u32>, block_tokens: u32) -> Self {
        Oracle {
            block_tokens: u64::from(block_tokens),
            true_output_tokens,
            queue: FairQueue::default(),
            deadlines: BTreeSet::new(),
            upstreams: Vec::new(),
            placed: HashMap::new(),
        }
    }

    fn submit(&mut self, now: Time, ticket: Ticket) {
        let class_limit_ms = self.queue.max_wait_ms(&ticket.class);
        let limit_ms =
            class_limit_ms.map_or(ticket.wait_limit_ms, |ms| ms.min(ticket.wait_limit_ms));
        let deadline = now + Duration::from_millis(limit_ms);
        self.deadlines.insert((deadline, ticket.request));
        self.queue.push(Waiting {
            ticket,
            since: now,
            deadline,
        });
    }

    fn withdraw(&mut self, request: RequestId) -> Option<Waiting> {
        let waiting = self.queue.remove(request)?;
        self.deadlines.remove(&(waiting.deadline, request));
        Some(waiting)
    }

    fn progress(&mut self, request: RequestId, output_tokens: u32) {
        let Some(id) = self.placed.get(&request).cloned() else {
            return;
        };
        let Some(upstream) = self.find(&id) else {
            return;
        };
        let mut running = upstream.running.iter_mut();
        let Some(known) = running.find(|known| known.request == request) else {
            return;
        };
        let grown = output_tokens.saturating_sub(known.output_tokens);
        known.output_tokens += grown;
        let class = known.ticket.class.clone();
        let customer = known.ticket.customer.clone();
        self.queue.charge(&class, &customer, i64::from(grown));
    }

    fn release(&mut self, request: RequestId) {
        let Some(id) = self.placed.remove(&request) else {
            return;
        };
        let Some(known) = self.find(&id).and_then(|upstream| upstream.remove(request)) else {
            return;
        };
        self.queue.end(&known.ticket.class, &known.ticket.customer);
    }

    fn forget(&mut self, id: &UpstreamId) {
        let requests: Vec<RequestId> = self
            .placed
            .iter()
            .filter(|(_, placed)| *placed == id)
            .map(|(request, _)| *request)
            .collect();
        for request in requests {
            self.release(request);
        }
        self.upstreams.retain(|upstream| upstream.id != *id);
    }

    fn refuse_late(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((deadline, request)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.withdraw(request);
            let refusal = Refusal::not_run(Code::Overloaded, "no upstream had room in time");
            actions.push(Action::Refuse { request, refusal });
        }
        actions
    }

    fn grant(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(waiting) = self.queue.peek() {
            let request = waiting.ticket.request;
            let Some(index) = self.place(&waiting.ticket) else {
                break;
            };
            let Some(waiting) = self.withdraw(request) else {
                break;
            };
            actions.push(self.run(waiting.ticket, index));
        }
        actions
    }

    /// The upstream whose highest memory stays lowest with the request.
    fn place(&self, ticket: &Ticket) -> Option<usize> {
        let usable =
            |upstream: &Upstream| !upstream.leaving && !ticket.avoid.contains(&upstream.id);
        self.upstreams
            .iter()
            .enumerate()
            .filter(|(_, upstream)| usable(upstream))
            .map(|(index, upstream)| {
                let newcomer = self.known(ticket.clone());
                let peak = upstream.peak_tokens(&newcomer, self.block_tokens);
                (peak, index, upstream.memory_tokens)
            })
            .filter(|(peak, _, memory)| peak <= memory)
            .min_by_key(|(peak, ..)| *peak)
            .map(|(_, index, _)| index)
    }

    fn run(&mut self, ticket: Ticket, index: usize) -> Action {
        let request = ticket.request;
        let engine_priority = self.queue.engine_priority(&ticket.class);
        self.queue.start(&ticket.class, &ticket.customer);
        let prompt_tokens = i64::from(ticket.prompt_tokens);
        self.queue
            .charge(&ticket.class, &ticket.customer, prompt_tokens);
        let known = self.known(ticket);
        let upstream = &mut self.upstreams[index];
        upstream.insert(known);
        self.placed.insert(request, upstream.id.clone());
        Action::Grant {
            request,
            upstream: upstream.id.clone(),
            engine_priority,
            valid_ms: 1_000,
        }
    }

    fn known(&self, ticket: Ticket) -> Known {
        let known_tokens = self.true_output_tokens.get(&ticket.request);
        Known {
            request: ticket.request,
            shared_tokens: ticket.prefix_hashes.len() as u64 * self.block_tokens,
            output_tokens: 0,
            true_output_tokens: known_tokens.copied().unwrap_or(ticket.max_output_tokens),
            ticket,
        }
    }

    fn find(&mut self, id: &UpstreamId) -> Option<&mut Upstream> {
        self.upstreams
            .iter_mut()
            .find(|upstream| upstream.id == *id)
    }
}

impl Upstream {
    fn insert(&mut self, known: Known) {
        for hash in &known.ticket.prefix_hashes {
            *self.shared_blocks.entry(*hash).or_default() += 1;
        }
        self.running.push(known);
    }

    fn remove(&mut self, request: RequestId) -> Option<Known> {
        let index = self.running.iter().position(|k| k.request == request)?;
        let known = self.running.swap_remove(index);
        for hash in &known.ticket.prefix_hashes {
            if let Some(users) = self.shared_blocks.get_mut(hash) {
                *users -= 1;
                if *users == 0 {
                    self.shared_blocks.remove(hash);
                }
            }
        }
        Some(known)
    }

    /// The highest memory ever reached with the newcomer, if nothing else comes.
    fn peak_tokens(&self, newcomer: &Known, block_tokens: u64) -> u64 {
        let mut sequences: Vec<(u64, u64)> = self
            .running
            .iter()
            .chain([newcomer])
            .map(|known| (known.remaining_tokens(), known.private_tokens()))
            .collect();
        sequences.sort_unstable_by(|a, b| b.cmp(a));
        let mut alive_tokens = 0;
        let mut peak = 0;
        for (alive, (remaining, private)) in (1..).zip(sequences) {
            alive_tokens += private;
            peak = peak.max(alive_tokens + alive * remaining);
        }
        let mut newcomer_hashes = newcomer.ticket.prefix_hashes.iter();
        let new_blocks = newcomer_hashes
            .by_ref()
            .filter(|hash| !self.shared_blocks.contains_key(hash))
            .count();
        peak + (self.shared_blocks.len() + new_blocks) as u64 * block_tokens
    }
}

impl Policy for Oracle {
    fn step(&mut self, now: Time, input: Input) -> Vec<Action> {
        match input {
            Input::Weights(weights) => self.queue.set_weights(&weights),
            Input::Upstream(spec) => {
                if self.find(&spec.upstream).is_none() {
                    self.upstreams.push(Upstream {
                        id: spec.upstream,
                        memory_tokens: spec.memory_tokens,
                        leaving: false,
                        running: Vec::new(),
                        shared_blocks: HashMap::new(),
                    });
                }
            }
            Input::UpstreamLeaving(id) => {
                if let Some(upstream) = self.find(&id) {
                    upstream.leaving = true;
                }
            }
            Input::UpstreamRemoved(id) => self.forget(&id),
            Input::Submit(ticket) => self.submit(now, ticket),
            Input::Withdraw(request) => {
                self.withdraw(request);
            }
            Input::Progress {
                request,
                output_tokens,
            } => {
                self.progress(request, output_tokens);
                return Vec::new();
            }
            Input::Finished { request, .. } => self.release(request),
            Input::Tick => {}
            Input::Report { .. }
            | Input::Cache { .. }
            | Input::Started { .. }
            | Input::Adopt { .. } => return Vec::new(),
        }
        let mut actions = self.refuse_late(now);
        actions.extend(self.grant());
        actions
    }

    fn next_tick(&self, now: Time) -> Option<Time> {
        (self.queue.len() > 0).then(|| now + TICK)
    }
}

#[cfg(test)]
mod tests;
