//! The generations of this host that wait for room at an engine.
//!
//! The most urgent rank goes first; within it the customer of whom least runs at this host, so that
//! one who sends many times its usual waits behind the others; then who came first.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;

use crate::event::EventCode;
use crate::gateway::admit;
use crate::gateway::admit::Demand;
use crate::gateway::admit::Prospect;
use crate::gateway::admit::Verdict;
use crate::gateway::instance::InstanceId;
use crate::gateway::loads::LoadGuard;
use crate::gateway::pace::Pace;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Need;
use crate::gateway::rollouts::Track;
use crate::gateway::serve;
use crate::gateway::serve::Admitted;
use crate::gateway::serve::Breadth;
use crate::gateway::shared::Shared;
use crate::gateway::stream;
use crate::id::CustomerId;
use crate::id::ServiceId;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// How often one that waits looks for room: hosts tell each other what ended four times a second.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// One that waits.
#[derive(Debug, Clone)]
struct Waiting {
    number: u64,
    service: ServiceId,
    rank: u8,
    customer: Option<CustomerId>,
    tokens: u32,
}

/// Those that wait, what runs of each customer, and the pace of engines.
#[derive(Debug, Default)]
pub struct Lines {
    waiting: Vec<Waiting>,
    running_tokens: HashMap<CustomerId, u64>,
    next_number: u64,
    /// What was observed of engines.
    pub pace: Pace,
}

impl Lines {
    fn join(
        &mut self,
        service: &ServiceId,
        rank: u8,
        customer: Option<&CustomerId>,
        tokens: u32,
    ) -> u64 {
        self.next_number += 1;
        self.waiting.push(Waiting {
            number: self.next_number,
            service: service.clone(),
            rank,
            customer: customer.cloned(),
            tokens,
        });
        self.next_number
    }

    fn leave(&mut self, number: u64) {
        self.waiting.retain(|other| other.number != number);
    }

    fn running(&self, customer: Option<&CustomerId>) -> u64 {
        let running = customer.and_then(|customer| self.running_tokens.get(customer));
        running.copied().unwrap_or(0)
    }

    /// Tokens needed by those that go before `number`.
    fn ahead_tokens(&self, number: u64) -> u64 {
        let key = |waiting: &Waiting| {
            let running = self.running(waiting.customer.as_ref());
            (waiting.rank, running, waiting.number)
        };
        let Some(own) = self.waiting.iter().find(|other| other.number == number) else {
            return 0;
        };
        let line = self
            .waiting
            .iter()
            .filter(|other| other.service == own.service);
        line.filter(|other| key(other) < key(own))
            .map(|other| u64::from(other.tokens))
            .sum()
    }

    fn start(&mut self, customer: &CustomerId, tokens: u32) {
        *self.running_tokens.entry(customer.clone()).or_default() += u64::from(tokens);
    }

    fn end(&mut self, customer: &CustomerId, tokens: u32) {
        let Some(running) = self.running_tokens.get_mut(customer) else {
            return;
        };
        *running = running.saturating_sub(u64::from(tokens));
        if *running == 0 {
            self.running_tokens.remove(customer);
        }
    }
}

/// A handle on the lines; clones share them.
#[derive(Debug, Clone, Default)]
pub struct LineBoard(Arc<Mutex<Lines>>);

impl LineBoard {
    /// Runs `use_lines` on the lines.
    pub fn with<T>(&self, use_lines: impl FnOnce(&mut Lines) -> T) -> T {
        use_lines(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Counts a generation as running for its customer until the guard is dropped.
    pub fn run(&self, customer: Option<&CustomerId>, tokens: u32) -> Share {
        if let Some(customer) = customer {
            self.with(|lines| lines.start(customer, tokens));
        }
        Share {
            board: self.clone(),
            customer: customer.cloned(),
            tokens,
            began: Instant::now(),
        }
    }
}

/// What a running generation counts for its customer.
#[derive(Debug)]
pub struct Share {
    board: LineBoard,
    customer: Option<CustomerId>,
    tokens: u32,
    began: Instant,
}

impl Share {
    /// The generation has ended by itself. One that broke or never ran tells nothing of how long memory is
    /// taken.
    pub fn complete(&self) {
        let time = self.began.elapsed();
        self.board.with(|lines| lines.pace.ended(self.tokens, time));
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        if let Some(customer) = &self.customer {
            self.board.with(|lines| lines.end(customer, self.tokens));
        }
    }
}

/// A place in the line, given up when it is dropped.
struct Ticket {
    board: LineBoard,
    number: u64,
}

impl Ticket {
    fn join(shared: &Shared, admitted: &Admitted, tokens: u32) -> Self {
        let board = shared.lines().clone();
        let customer = admitted.customer.as_ref();
        let number =
            board.with(|lines| lines.join(&admitted.service, admitted.priority, customer, tokens));
        Ticket { board, number }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.board.with(|lines| lines.leave(self.number));
    }
}

/// The engine at which a generation starts, at once or after a wait; none if there is no engine left.
///
/// # Errors
///
/// The refusal of one for which no room is expected in time.
pub async fn wait_for_room(
    shared: &Shared,
    admitted: &Admitted,
    need: Need,
    avoid: &[InstanceId],
) -> Result<Option<Candidate>, Refusal> {
    let tokens = need.tokens();
    let ticket = Ticket::join(shared, admitted, tokens);
    let mut waited = None;
    let mut has_asked = false;
    let mut breadth = Breadth::at_first(shared, &admitted.service);
    let mut reserved: Option<Reserved> = None;
    loop {
        // Upstreams may crash under a repeat while this one waits.
        if let Some(refusal) = shared.held_back(admitted) {
            return Err(refusal);
        }
        shared.look_for_suspension();
        if shared.is_waking() {
            tokio::time::sleep(LOOK_INTERVAL).await;
            continue;
        }
        let mut candidates = serve::candidates(shared, admitted, avoid, breadth);
        if candidates.is_empty() {
            match std::mem::replace(&mut breadth, Breadth::All) {
                Breadth::Few => continue,
                Breadth::All => return Ok(None),
            }
        }
        if let Some(reserved) = &reserved {
            reserved.leave_out(&mut candidates);
        }
        let demand = Demand {
            need,
            objective: admitted.route.objective,
            waited,
        };
        let believed = Believed::new(shared, &ticket, &candidates);
        let verdict = believed.decide(shared, &demand, &candidates);
        let is_sound = matches!(&verdict, Verdict::Start(candidate) if !candidate.unhealthy);
        if !is_sound && std::mem::replace(&mut breadth, Breadth::All) == Breadth::Few {
            continue;
        }
        if !has_asked && rests_on_old_words(shared, &verdict) {
            has_asked = true;
            shared.ask_far_loads().await;
            continue;
        }
        // A version that is tried is no reason to wait.
        let is_start = matches!(verdict, Verdict::Start(_));
        if !is_start && admitted.track.replace(Track::Proved) == Track::Tried {
            continue;
        }
        match verdict {
            Verdict::Start(candidate) => return Ok(Some(candidate)),
            Verdict::Wait => {
                if reserved.is_none() {
                    believed.note(shared, admitted, "waits");
                    reserved = Reserved::at_best(shared, need, &candidates);
                }
            }
            Verdict::Refuse(prospect) => {
                believed.note(shared, admitted, "refused");
                return Err(refusal(shared, admitted, prospect));
            }
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
        waited = Some(admitted.arrived.elapsed());
    }
}

/// Room that one which waits has others leave to it. Short generations of other hosts would else take what becomes
/// free, again and again, and long ones never start.
struct Reserved {
    upstream: InstanceId,
    tokens: u32,
    _occupied: LoadGuard,
}

impl Reserved {
    fn at_best(shared: &Shared, need: Need, candidates: &[Candidate]) -> Option<Self> {
        let best = serve::choose(shared, need, candidates)?;
        let tokens = need.tokens();
        let upstream = best.upstream.id.clone();
        let occupied = shared.loads().add_request(&upstream, tokens, 0);
        shared.tell_news();
        Some(Reserved {
            upstream,
            tokens,
            _occupied: occupied,
        })
    }

    /// Its own reservation is not in its way.
    fn leave_out(&self, candidates: &mut [Candidate]) {
        let own = candidates
            .iter_mut()
            .find(|candidate| candidate.upstream.id == self.upstream);
        if let Some(own) = own {
            own.load.requests = own.load.requests.saturating_sub(1);
            own.load.tokens = own.load.tokens.saturating_sub(self.tokens);
        }
    }
}

/// Whether a verdict rests on what was heard of other data centres a while ago: to start there, or to start nowhere.
/// Hosts that go by old words meet each other at one engine, where each waits for the other's prompt.
fn rests_on_old_words(shared: &Shared, verdict: &Verdict) -> bool {
    let leaves_home = match verdict {
        Verdict::Start(candidate) => {
            candidate.upstream.data_centre != shared.settings().data_centre
        }
        Verdict::Wait | Verdict::Refuse(_) => true,
    };
    leaves_home && !shared.data_centres_to_ask(shared.now()).is_empty()
}

/// What a decision about one that waits rests on.
struct Believed {
    ahead_tokens: u64,
    taken_tokens: u64,
    hosts: usize,
    engines: usize,
    pace: Pace,
}

impl Believed {
    fn new(shared: &Shared, ticket: &Ticket, candidates: &[Candidate]) -> Self {
        let (ahead_tokens, pace) = shared
            .lines()
            .with(|lines| (lines.ahead_tokens(ticket.number), lines.pace.clone()));
        let taken = candidates.iter();
        Believed {
            ahead_tokens,
            taken_tokens: taken
                .map(|candidate| u64::from(candidate.load.tokens))
                .sum(),
            hosts: shared.hosts(),
            engines: candidates.len(),
            pace,
        }
    }

    fn decide(&self, shared: &Shared, demand: &Demand, candidates: &[Candidate]) -> Verdict {
        let line = admit::Line {
            ahead_tokens: self.ahead_tokens,
            taken_tokens: self.taken_tokens,
            hosts: self.hosts,
            pace: &self.pace,
        };
        admit::decide(
            demand,
            &line,
            candidates,
            shared.view(),
            rand::random::<f64>,
        )
    }

    fn note(&self, shared: &Shared, admitted: &Admitted, outcome: &str) {
        let line = admitted.line(shared, EventCode::RequestQueued);
        line.with("outcome", outcome)
            .with("ahead_tokens", self.ahead_tokens)
            .with("taken_tokens", self.taken_tokens)
            .with("engines", self.engines)
            .with("hosts", self.hosts)
            .with("turnover_ms", self.pace.turnover().as_millis() as u64)
            .with("far_counts", shared.far_counts().name())
            .write();
    }
}

fn refusal(shared: &Shared, admitted: &Admitted, prospect: Prospect) -> Refusal {
    let left = admitted.time_left();
    let run = stream::expected_run(shared, admitted);
    let again = admit::return_after(left, run, prospect.expected, rand::random());
    let message = format!(
        "room is expected in {} ms, and it can wait {} ms",
        prospect.expected.as_millis(),
        prospect.patience.as_millis()
    );
    Refusal::not_run(Code::Overloaded, message).retry_after_ms(again.as_millis() as u64)
}

#[cfg(test)]
mod tests;
