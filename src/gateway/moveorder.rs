//! Decides in which order the runs of one leaving engine are copied to others, and which aren't.
//!
//! The load that it answers: an engine that leaves with more runs than its link can copy before it is gone. What is
//! copied first then decides which callers lose their streams. Callers' rank comes first, then the time that they
//! are expected to lose per time that the link is in use. All hosts compute the same kind of key, so the host with the least
//! key goes first ([`super::movequeue`]). The decision does no I/O.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The shortest time from an engine's notice to its end: what has to be certain goes by it.
const LIFETIME_MIN: Duration = Duration::from_millis(1_500);
/// The longest time from an engine's notice to its end: until then it may still be worth trying.
pub(crate) const LIFETIME_MAX: Duration = Duration::from_millis(2_100);
/// Rate of copies where the configuration doesn't name one: a run of 3,000 tokens took 0.25 s.
const COPY_TOKENS_PER_S_DEFAULT: f64 = 12_000.0;
/// Share of that rate that is left between data centres.
const FAR_RATE_SHARE: f64 = 0.5;
/// Time of a move beside its copies: three calls and the first event at the destination.
const MOVE_OVERHEAD: Duration = Duration::from_millis(30);
/// Time until the first token of a request that is asked again, in addition to the tokens that it had.
const RESTART_TIME: Duration = Duration::from_millis(800);
/// Outputs are up to this many times longer or shorter than expected, apart from the few that are further off.
const END_MARGIN: f64 = 1.5;
/// Least chance that a run which is moved would have been lost otherwise.
const RISK_MIN: f64 = 0.05;
/// Longest copy of the rest for which a run is stopped: the pause bound of callers, 180 ms, less the calls, one token
/// and the delays of a busy host.
const REST_COPY_MAX: Duration = Duration::from_millis(120);
/// First copies of one move: each further one is worth it only while much was produced meanwhile.
const FIRST_COPIES_MAX: u32 = 3;
/// Time for which a copied run waits until the destination's link is free: that of an ordinary copy. The source's
/// link is idle meanwhile.
const LINK_WAIT_MAX: Duration = Duration::from_millis(250);

/// Largest cost in a key, in its lower 24 bits.
const COST_MAX: u32 = (1 << 24) - 1;
/// Position of the rank in a key.
const RANK_SHIFT: u32 = 24;
/// Largest rank in a key.
const RANK_MAX: u8 = 127;
/// Set in the keys of runs whose copy may not end in time.
const LATE: u32 = 1 << 31;

/// Place of a run in the order of moves: the least moves first. Runs whose copy may not end in time come after all
/// others, then the rank counts, then the cost of the move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MoveKey(u32);

impl MoveKey {
    fn new(is_late: bool, rank: u8, cost: f64) -> Self {
        let late = if is_late { LATE } else { 0 };
        let rank = u32::from(rank.min(RANK_MAX)) << RANK_SHIFT;
        MoveKey(late | rank | (cost as u32).min(COST_MAX))
    }

    /// Whether the run's copy may not end before the engine is gone.
    pub fn is_late(self) -> bool {
        self.0 & LATE != 0
    }

    /// The number in log entries.
    pub fn number(self) -> u32 {
        self.0
    }
}

/// Where a copy goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distance {
    /// To an engine of the same data centre.
    Near,
    /// To an engine of another data centre.
    Far,
}

/// A run on an engine that is leaving.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeavingRun {
    /// Tokens in memory: those of the prompt and those produced.
    pub memory_tokens: u32,
    /// Tokens that its caller has.
    pub produced_tokens: u32,
    /// Tokens that it is expected to produce still.
    pub tokens_left: u32,
    /// Time per token at this engine.
    pub token_time: Duration,
    /// Rank of its caller; 0 is the most urgent.
    pub rank: u8,
    /// Rate at which the engine's link copies within a data centre, in tokens per second, if it is known.
    pub copy_tokens_per_s: Option<f64>,
}

/// What becomes of a run as its engine leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It ends by itself before the engine is gone.
    Stays,
    /// It is moved in the order of the key.
    Moves(MoveKey),
}

impl LeavingRun {
    /// Decides what becomes of the run if the engine gave notice `since_notice` ago.
    pub fn decide(&self, since_notice: Duration) -> Decision {
        match self.tokens_left > 0 && self.end_share(since_notice) <= 1.0 / END_MARGIN {
            true => Decision::Stays,
            false => Decision::Moves(self.key(since_notice)),
        }
    }

    /// Time until the run is expected to end as a share of the time until the engine is gone.
    fn end_share(&self, since_notice: Duration) -> f64 {
        let ends_in = self.token_time * self.tokens_left;
        let left = time_left(since_notice, false);
        ends_in.as_secs_f64() / left.as_secs_f64().max(1e-3)
    }

    /// Chance that the engine is gone before the run ends, between the shortest and the longest output that is
    /// likely. One that has outlasted what was expected may go on for long.
    fn risk(&self, since_notice: Duration) -> f64 {
        if self.tokens_left == 0 {
            return 1.0;
        }
        let shortest = 1.0 / END_MARGIN;
        let risk = (self.end_share(since_notice) - shortest) / (END_MARGIN - shortest);
        risk.clamp(RISK_MIN, 1.0)
    }

    /// The run's place in the order of moves. Ahead are the runs that may lose the most time per time of their copy. Of
    /// those whose copy may not end in time the shortest go first: they end while others would still be copied.
    pub fn key(&self, since_notice: Duration) -> MoveKey {
        let copy = self.copy_time(Distance::Near);
        let is_late = !self.fits(Distance::Near, since_notice, false);
        let cost = match is_late {
            true => copy.as_secs_f64() * 1e5,
            false => {
                let loss = self.loss().mul_f64(self.risk(since_notice));
                copy.as_secs_f64() * 1e5 / loss.as_secs_f64().max(1e-3)
            }
        };
        MoveKey::new(is_late, self.rank, cost)
    }

    /// Time that the caller loses if the run is lost and asked again.
    pub fn loss(&self) -> Duration {
        RESTART_TIME + self.token_time * self.produced_tokens
    }

    /// Time that the move takes the engine's link.
    pub fn copy_time(&self, distance: Distance) -> Duration {
        MOVE_OVERHEAD + self.transfer_time(self.memory_tokens, distance)
    }

    /// Whether a copy that begins now ends before the engine is gone: for certain, or for a run that is late, if the
    /// engine lives as long as any.
    pub fn fits(&self, distance: Distance, since_notice: Duration, is_late: bool) -> bool {
        self.copy_time(distance) <= time_left(since_notice, is_late)
    }

    fn transfer_time(&self, tokens: u32, distance: Distance) -> Duration {
        let rate = self.copy_tokens_per_s.unwrap_or(COPY_TOKENS_PER_S_DEFAULT);
        let rate = match distance {
            Distance::Near => rate,
            Distance::Far => rate * FAR_RATE_SHARE,
        };
        Duration::try_from_secs_f64(f64::from(tokens) / rate).unwrap_or(Duration::MAX / 4)
    }
}

/// Time until an engine is gone that gave notice `since_notice` ago: by a cautious lifetime, or for a late run by the
/// longest.
fn time_left(since_notice: Duration, is_late: bool) -> Duration {
    let lifetime = if is_late { LIFETIME_MAX } else { LIFETIME_MIN };
    lifetime.saturating_sub(since_notice)
}

/// The state of a move whose first copy has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstCopy {
    /// Where the copy went.
    pub distance: Distance,
    /// Tokens produced since it began.
    pub rest_tokens: u32,
    /// First copies made.
    pub copies: u32,
    /// Whether another engine's copy is in progress at the destination.
    pub is_link_taken: bool,
    /// Time for which the run has waited for the destination's link.
    pub waited: Duration,
    /// Time since the engine's notice.
    pub since_notice: Duration,
}

/// What follows a first copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterCopy {
    /// The run is stopped and the rest copied.
    Stop,
    /// What was produced meanwhile is copied first, while the run goes on.
    CopyAgain,
    /// The run goes on until the destination's link is free.
    WaitForLink,
}

/// Decides what follows a first copy: the run isn't stopped for longer than callers bear, as far as the engine lives
/// long enough for anything else.
pub fn after_copy(run: &LeavingRun, copy: FirstCopy) -> AfterCopy {
    let rest = run.transfer_time(copy.rest_tokens, copy.distance);
    let left = time_left(copy.since_notice, true);
    let stop_time = MOVE_OVERHEAD + rest;
    if copy.is_link_taken && copy.waited < LINK_WAIT_MAX && left > stop_time + LINK_WAIT_MAX {
        return AfterCopy::WaitForLink;
    }
    let grows_slower = rest < run.token_time * copy.rest_tokens;
    let has_time = left > stop_time + rest;
    match rest > REST_COPY_MAX && copy.copies < FIRST_COPIES_MAX && grows_slower && has_time {
        true => AfterCopy::CopyAgain,
        false => AfterCopy::Stop,
    }
}

#[cfg(test)]
mod tests;
