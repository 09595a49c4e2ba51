//! The messages by which hosts share the queue of a service, and their datagrams.
//!
//! Answers load for which a service's engines lack memory for seconds: hosts tell the queue's owner what waits, and
//! the owner tells them what starts ([`crate::gateway::sharedqueue`]). A lost or malformed datagram is made up for by
//! the next one, since whoever waits repeats what it asks for. Clocks of hosts differ, so times travel as
//! milliseconds that have passed or are left.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::fingerprint::Fingerprint;
use crate::gateway::datagram::DATAGRAM_BYTES_MAX;
use crate::gateway::datagram::QUEUE_FORMAT;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::loads::Load;
use crate::gateway::placement::Need;
use crate::gateway::sharedqueue::QueueForecast;
use crate::gateway::sharedqueue::Turn;
use crate::gateway::sharedqueue::Waiter;
use crate::gateway::sharedqueue::WaiterId;
use crate::id::CustomerId;
use crate::id::HostId;
use crate::id::RegionId;
use crate::id::ServiceId;

/// A message with the name of the host that sends it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Envelope {
    /// The sender.
    pub(crate) host: HostId,
    /// What it says.
    pub(crate) message: QueueMessage,
}

/// A message about the queue of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum QueueMessage {
    /// To an owner: a generation waits, or still waits.
    Join(JoinRequest),
    /// To an owner: a generation waits no longer, and didn't start by a grant of this owner.
    Leave {
        /// The generation's number at its host.
        number: u64,
    },
    /// To an owner: a granted generation starts.
    Started {
        /// The generation's number at its host.
        number: u64,
        /// Where it starts.
        engine: InstanceKey,
        /// The sender's whole load at the engine, with the generation.
        load: Load,
    },
    /// To an owner: the sender's whole load at an engine has fallen to this.
    Fell {
        /// The engine.
        engine: InstanceKey,
        /// The load.
        load: Load,
    },
    /// To a waiting host.
    Answer(QueueAnswer),
    /// To the hosts of the owner's data centre: generations wait, so others have to ask too.
    Open {
        /// The service.
        service: ServiceId,
    },
    /// To the hosts of the owner's data centre: nothing waits any more.
    Closed {
        /// The service.
        service: ServiceId,
    },
}

/// What an owner says of one waiting generation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct QueueAnswer {
    /// The generation's number at its host.
    pub(crate) number: u64,
    /// What is said.
    pub(crate) answer: Answer,
}

/// What an owner says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Answer {
    /// It waits.
    Queued(ForecastMs),
    /// It may start.
    Granted(Grant),
    /// It is refused.
    Refused(TurnMs),
    /// The sender owns no queues now: it starts, stops, or was suspended.
    NotOwner,
}

/// Leave to start. Its age is counted from a time that the receiver's own clock knows, so that one that was under way
/// for long, or waited in the buffer of a suspended host, is known to be late.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Grant {
    /// Where the generation starts.
    pub(crate) engine: InstanceId,
    /// The renewal ([`JoinRequest::renewal`]) that the owner had last received.
    pub(crate) renewal: u32,
    /// Time from its receipt to the grant.
    pub(crate) after_ms: u32,
    /// Time from the grant for which it is valid.
    pub(crate) valid_for_ms: u32,
}

/// [`QueueForecast`] as it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ForecastMs {
    expected_ms: u32,
    limit_ms: u32,
    ahead_tokens: u64,
}

/// [`Turn`] as it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TurnMs {
    forecast: ForecastMs,
    retry_after_ms: u32,
}

/// [`Waiter`] as it is sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct JoinRequest {
    /// The service of which the generation needs an engine.
    pub(crate) service: ServiceId,
    /// The generation's number at its host.
    pub(crate) number: u64,
    /// How often the host has sent the request before.
    pub(crate) renewal: u32,
    rank: u8,
    customer: Option<CustomerId>,
    weight: u32,
    content: Fingerprint,
    tokens: u32,
    /// Tokens of the generation's prompt.
    pub(crate) prompt_tokens: u32,
    memory_tokens: u32,
    waited_ms: u32,
    objective_ms: u32,
    left_ms: u32,
    run_ms: u32,
    avoid: Vec<InstanceKey>,
    regions: Option<Vec<RegionId>>,
}

impl Envelope {
    /// The datagram; `None` if it doesn't fit into one.
    pub(crate) fn encode(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_extend(self, vec![QUEUE_FORMAT]).ok()?;
        (bytes.len() <= DATAGRAM_BYTES_MAX).then_some(bytes)
    }

    /// Decodes a datagram; `None` if it is of another kind, malformed or too large.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let (&QUEUE_FORMAT, fields) = bytes.split_first()? else {
            return None;
        };
        if bytes.len() > DATAGRAM_BYTES_MAX {
            return None;
        }
        postcard::from_bytes(fields).ok()
    }
}

impl JoinRequest {
    /// The request for a generation that waits at `now` for an engine of `service`; `None` for one that doesn't need
    /// engine memory.
    pub(crate) fn new(
        now: Time,
        service: &ServiceId,
        waiter: &Waiter,
        renewal: u32,
    ) -> Option<Self> {
        let Need::Memory {
            tokens,
            prompt_tokens,
            memory_tokens,
        } = waiter.need
        else {
            return None;
        };
        let regions = waiter.regions.as_ref();
        Some(JoinRequest {
            service: service.clone(),
            number: waiter.id.number,
            renewal,
            rank: waiter.rank,
            customer: waiter.customer.clone(),
            weight: waiter.weight,
            content: waiter.content,
            tokens,
            prompt_tokens,
            memory_tokens,
            waited_ms: to_ms(now.since(waiter.arrived_at)),
            objective_ms: to_ms(waiter.objective),
            left_ms: to_ms(waiter.deadline.since(now)),
            run_ms: to_ms(waiter.run_time),
            avoid: waiter.avoid.clone(),
            regions: regions.map(|regions| regions.iter().cloned().collect()),
        })
    }

    /// Engines that the generation may not use.
    pub(crate) fn avoids(&self, engine: InstanceKey) -> bool {
        self.avoid.contains(&engine)
    }

    /// The generation of `host`, whose request was received at `now`.
    pub(crate) fn into_waiter(self, now: Time, host: HostId) -> Waiter {
        let waited = from_ms(self.waited_ms);
        Waiter {
            id: WaiterId {
                host,
                number: self.number,
            },
            rank: self.rank,
            customer: self.customer,
            weight: self.weight.max(1),
            content: self.content,
            need: Need::Memory {
                tokens: self.tokens,
                prompt_tokens: self.prompt_tokens,
                memory_tokens: self.memory_tokens,
            },
            arrived_at: before(now, waited),
            objective: from_ms(self.objective_ms),
            deadline: now + from_ms(self.left_ms),
            run_time: from_ms(self.run_ms),
            avoid: self.avoid,
            regions: self.regions.map(|regions| regions.into_iter().collect()),
        }
    }
}

impl From<QueueForecast> for ForecastMs {
    fn from(forecast: QueueForecast) -> Self {
        ForecastMs {
            expected_ms: to_ms(forecast.expected),
            limit_ms: to_ms(forecast.limit),
            ahead_tokens: forecast.ahead_tokens,
        }
    }
}

impl From<ForecastMs> for QueueForecast {
    fn from(forecast: ForecastMs) -> Self {
        QueueForecast {
            expected: from_ms(forecast.expected_ms),
            limit: from_ms(forecast.limit_ms),
            ahead_tokens: forecast.ahead_tokens,
        }
    }
}

impl From<Turn> for TurnMs {
    fn from(turn: Turn) -> Self {
        TurnMs {
            forecast: turn.forecast.into(),
            retry_after_ms: to_ms(turn.retry_after),
        }
    }
}

impl From<TurnMs> for Turn {
    fn from(turn: TurnMs) -> Self {
        Turn {
            forecast: turn.forecast.into(),
            retry_after: from_ms(turn.retry_after_ms),
        }
    }
}

/// The reading `time` before `now`, or the origin of the clock if that is later.
pub(crate) fn before(now: Time, time: Duration) -> Time {
    let us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    Time::from_us(now.as_us().saturating_sub(us))
}

/// Whole milliseconds, at most `u32::MAX`: 49 days.
pub(crate) fn to_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// The time of so many milliseconds.
pub(crate) fn from_ms(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

#[cfg(test)]
mod tests;
