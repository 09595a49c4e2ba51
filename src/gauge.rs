//! Measures what a customer could use of its limits on this host.

use crate::clock::Time;
use crate::share::Share;

/// Weight of the newest period in the measured rates.
const SMOOTHING: f64 = 0.5;

/// A shorter time since the last reading counts as this, so that one request is no flood.
const READING_S_LEAST: f64 = 0.2;

/// What is kept of the sums behind the mean length of an answer, from period to period.
const MEMORY: f64 = 0.95;

/// An active customer is taken to want at least this, so that a host keeps a foot in the door.
const REQUESTS_PER_S_LEAST: f64 = 0.1;

/// Counts since the last reading, and the rates smoothed over the readings.
#[derive(Debug)]
pub(crate) struct DemandGauge {
    read_at: Time,
    arrived: f64,
    admitted: f64,
    crowded_out: f64,
    generated: f64,
    requests_per_s: Option<f64>,
    tokens_per_s: f64,
    admitted_sum: f64,
    generated_sum: f64,
}

impl DemandGauge {
    /// A gauge that takes answers to be `assumed_tokens` long until it has seen others.
    pub(crate) fn new(now: Time, assumed_tokens: u32) -> Self {
        DemandGauge {
            read_at: now,
            arrived: 0.0,
            admitted: 0.0,
            crowded_out: 0.0,
            generated: 0.0,
            requests_per_s: None,
            tokens_per_s: 0.0,
            admitted_sum: 1.0,
            generated_sum: f64::from(assumed_tokens),
        }
    }

    /// A request arrived.
    pub(crate) fn arrived(&mut self) {
        self.arrived += 1.0;
    }

    /// It was admitted.
    pub(crate) fn admitted(&mut self) {
        self.admitted += 1.0;
    }

    /// It was refused as too many run and wait.
    pub(crate) fn crowded_out(&mut self) {
        self.crowded_out += 1.0;
    }

    /// Tokens were generated.
    pub(crate) fn generated(&mut self, tokens: u32) {
        self.generated += f64::from(tokens);
    }

    /// What the customer could use, where `running` of its requests run and `waiting` wait.
    pub(crate) fn read(&mut self, now: Time, running: usize, waiting: usize) -> Share {
        let elapsed_s = now.since(self.read_at).as_secs_f64().max(READING_S_LEAST);
        self.measure(elapsed_s);
        self.read_at = now;
        let requests_per_s = self.requests_per_s.unwrap_or_default();
        let requests_per_s = requests_per_s.max(REQUESTS_PER_S_LEAST);
        let tokens_asked = requests_per_s * self.generated_sum / self.admitted_sum;
        let waiting = waiting as f64 + std::mem::take(&mut self.crowded_out);
        Share {
            requests_per_s,
            tokens_per_s: tokens_asked.max(self.tokens_per_s),
            concurrent_generations: running as f64 + waiting,
            queue_length: waiting,
        }
    }

    fn measure(&mut self, elapsed_s: f64) {
        let arrived_per_s = std::mem::take(&mut self.arrived) / elapsed_s;
        let before = self.requests_per_s.unwrap_or(arrived_per_s);
        self.requests_per_s = Some(before + (arrived_per_s - before) * SMOOTHING);
        let generated = std::mem::take(&mut self.generated);
        self.tokens_per_s += (generated / elapsed_s - self.tokens_per_s) * SMOOTHING;
        self.admitted_sum = self.admitted_sum * MEMORY + std::mem::take(&mut self.admitted);
        self.generated_sum = self.generated_sum * MEMORY + generated;
        self.admitted_sum = self.admitted_sum.max(f64::MIN_POSITIVE);
    }
}
