//! What one active customer uses of its limits on this host.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::bucket::Bucket;
use crate::clock::Time;
use crate::gauge::DemandGauge;
use crate::id::CustomerId;
use crate::limits::AdmissionId;
use crate::limits::LimitOptions;
use crate::limits::Standing;
use crate::limits::Wanted;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::row::CustomerRow;
use crate::share::Share;
use crate::status::LimitName;
use crate::status::LimitStatus;

/// Longest time that a refusal asks a caller to stay away, in milliseconds.
const RETRY_AFTER_MAX_MS: u64 = 60_000;

/// Within this time a host's share of a limit follows its demand.
const SHARE_FOLLOWS: Duration = Duration::from_secs(2);

/// Weight of the newest sample in the mean time that a generation holds its slot.
const HOLD_SMOOTHING: f64 = 0.1;

/// What a customer uses on this host. Only active customers have one.
#[derive(Debug)]
pub(crate) struct Usage {
    pub(crate) share: Share,
    pub(crate) requests: Bucket,
    pub(crate) tokens: Bucket,
    pub(crate) running: HashMap<AdmissionId, Time>,
    pub(crate) waiting: VecDeque<AdmissionId>,
    pub(crate) hold_ms: f64,
    pub(crate) last_request: Time,
    pub(crate) gauge: DemandGauge,
}

impl Usage {
    pub(crate) fn new(now: Time, share: &Share, options: &LimitOptions) -> Self {
        let burst = Duration::from_millis(options.burst_ms);
        Usage {
            share: *share,
            requests: Bucket::full(now, share.requests_per_s, burst),
            tokens: Bucket::full(now, share.tokens_per_s, burst),
            running: HashMap::new(),
            waiting: VecDeque::new(),
            hold_ms: options.assumed_hold_ms as f64,
            last_request: now,
            gauge: DemandGauge::new(now, options.assumed_tokens),
        }
    }

    pub(crate) fn set_share(&mut self, now: Time, share: &Share, burst: Duration) {
        if self.share == *share {
            return;
        }
        self.share = *share;
        self.requests.set_rate(now, share.requests_per_s, burst);
        self.tokens.set_rate(now, share.tokens_per_s, burst);
    }

    pub(crate) fn check(&mut self, now: Time, row: &CustomerRow) -> Result<(), Refusal> {
        let whole = Share::whole(row);
        let requests_in = self.requests.ready_in(now, 1.0);
        if requests_in != Some(Duration::ZERO) {
            let is_part = self.share.requests_per_s < whole.requests_per_s;
            let ready_in = when(requests_in, is_part);
            return Err(refusal("requests_per_s", row.requests_per_s, ready_in));
        }
        let tokens_in = self.tokens.ready_in(now, 1.0);
        if tokens_in != Some(Duration::ZERO) {
            let is_part = self.share.tokens_per_s < whole.tokens_per_s;
            let ready_in = when(tokens_in, is_part);
            return Err(refusal("tokens_per_s", row.tokens_per_s, ready_in));
        }
        if row.concurrent_generations == 0 {
            return Err(refusal("concurrent_generations", 0, None));
        }
        if !self.has_slot() && self.waiting.len() >= self.queue_length() {
            self.gauge.crowded_out();
            let slot_in = self.slot_in();
            return Err(refusal("queue_length", row.queue_length, Some(slot_in)));
        }
        Ok(())
    }

    pub(crate) fn enter(&mut self, now: Time, id: AdmissionId) -> Standing {
        if self.has_slot() && self.waiting.is_empty() {
            self.running.insert(id, now);
            return Standing::Running;
        }
        self.waiting.push_back(id);
        Standing::Waiting
    }

    pub(crate) fn leave(&mut self, now: Time, id: AdmissionId) {
        if let Some(started) = self.running.remove(&id) {
            let held_ms = now.since(started).as_secs_f64() * 1_000.0;
            self.hold_ms += (held_ms - self.hold_ms) * HOLD_SMOOTHING;
            return;
        }
        self.waiting.retain(|waiting| *waiting != id);
    }

    pub(crate) fn promote(&mut self, now: Time, promoted: &mut Vec<AdmissionId>) {
        while self.has_slot() {
            let Some(id) = self.waiting.pop_front() else {
                break;
            };
            self.running.insert(id, now);
            promoted.push(id);
        }
    }

    pub(crate) fn wanted(&mut self, now: Time, customer: &CustomerId) -> Wanted {
        Wanted {
            customer: customer.clone(),
            share: self.gauge.read(now, self.running.len(), self.waiting.len()),
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
        }
    }

    pub(crate) fn told(&mut self, now: Time, customer: &CustomerId) -> [LimitStatus; 4] {
        let told = |limit, share, used| LimitStatus {
            customer: customer.clone(),
            limit,
            share,
            used,
        };
        let share = self.share;
        let waiting = self.waiting.len() as f64;
        let running = self.running.len() as f64;
        [
            told(
                LimitName::RequestsPerS,
                share.requests_per_s,
                self.requests.used(now),
            ),
            told(
                LimitName::TokensPerS,
                share.tokens_per_s,
                self.tokens.used(now),
            ),
            told(
                LimitName::ConcurrentGenerations,
                share.concurrent_generations,
                running,
            ),
            told(LimitName::QueueLength, share.queue_length, waiting),
        ]
    }

    fn has_slot(&self) -> bool {
        self.running.len() < whole_slots(self.share.concurrent_generations)
    }

    /// A host that runs nothing of the customer may always hold one request, to ask for a slot.
    fn queue_length(&self) -> usize {
        let least = usize::from(self.running.is_empty());
        (self.share.queue_length.ceil() as usize).max(least)
    }

    /// Expected time until one of the running generations ends.
    fn slot_in(&self) -> Duration {
        let running = self.running.len().max(1) as f64;
        Duration::from_secs_f64(self.hold_ms / 1_000.0 / running)
    }

    pub(crate) fn is_at_rest(&mut self, now: Time) -> bool {
        self.running.is_empty()
            && self.waiting.is_empty()
            && self.requests.is_full(now)
            && self.tokens.is_full(now)
    }
}

/// When asking again can succeed. A share that is only a part soon follows the demand.
fn when(ready_in: Option<Duration>, is_part: bool) -> Option<Duration> {
    if !is_part {
        return ready_in;
    }
    Some(ready_in.map_or(SHARE_FOLLOWS, |ready_in| ready_in.min(SHARE_FOLLOWS)))
}

/// Whole generations in a share; a rounding error doesn't cost one.
fn whole_slots(share: f64) -> usize {
    const ROUNDING: f64 = 1e-6;
    (share + ROUNDING) as usize
}

fn refusal(limit: &str, value: u32, ready_in: Option<Duration>) -> Refusal {
    let message = format!("the customer's {limit} is reached ({value} over all hosts)");
    let refusal = Refusal::not_run(Code::LimitReached, message);
    match ready_in {
        Some(ready_in) => refusal.retry_after_ms(retry_after_ms(ready_in)),
        None => refusal,
    }
}

fn retry_after_ms(ready_in: Duration) -> u64 {
    let ms = u64::try_from(ready_in.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX);
    ms.clamp(1, RETRY_AFTER_MAX_MS)
}
