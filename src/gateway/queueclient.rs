//! The state of one generation that asks the owner of its service's queue for an engine.
//!
//! Guards against owners that are silent or change, and against answers that are lost, late or doubled: a generation
//! asks again until it is answered, decides alone if nobody answers, uses no grant that may have lapsed, and waits no
//! longer than was forecast as useful.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::queuemessages::Answer;
use crate::gateway::queuemessages::Grant;
use crate::gateway::queuemessages::from_ms;
use crate::gateway::sharedqueue::QueueForecast;
use crate::gateway::sharedqueue::Turn;

/// Interval between the requests of a generation that waits, as a sign of life.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(100);
/// The same while no request has been answered: a datagram may be lost.
const FIRST_RENEWAL_INTERVAL: Duration = Duration::from_millis(25);
/// How long the first answer is waited for: some round trips and a scheduling delay of the owner, and little of any
/// objective.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// The same while the owner has been silent lately.
const SILENT_OWNER_TIMEOUT: Duration = Duration::from_millis(15);
/// Silence after which an owner that answered counts as gone: two renewals, and the pause of a host that has used up
/// its share of a core.
const SILENCE_MAX: Duration = Duration::from_millis(250);
/// Time after the end of the useful wait in which the owner's refusal may still come.
const REFUSAL_MARGIN: Duration = Duration::from_millis(50);
/// Requests whose sending time is known, to tell the age of a grant: more than are sent while one is valid.
const SENT_MAX: usize = 16;

/// Whether the owner that is asked has been silent lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OwnerHealth {
    /// It has answered, or wasn't asked.
    Answering,
    /// It didn't answer lately.
    Silent,
}

/// How long the first answer of an owner is waited for.
pub(crate) fn answer_timeout(health: OwnerHealth) -> Duration {
    match health {
        OwnerHealth::Answering => FIRST_ANSWER_TIMEOUT,
        OwnerHealth::Silent => SILENT_OWNER_TIMEOUT,
    }
}

/// What a generation does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Step {
    /// It sends its request with this number of renewals.
    Send {
        /// The number.
        renewal: u32,
    },
    /// It waits for an answer until this time.
    Wait {
        /// The time.
        until: Time,
    },
    /// The owner is silent: its own host decides.
    DecideAlone,
    /// It has waited as long as is useful, by the last forecast.
    GiveUp(QueueForecast),
}

/// What follows from an answer.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Reaction {
    /// It waits, and this is the first forecast of an owner.
    Forecast(QueueForecast),
    /// It goes on as before.
    Nothing,
    /// It may start at this engine.
    Start(InstanceId),
    /// It is refused.
    Refuse(Turn),
    /// Another host is to be asked.
    AskAnother,
}

/// The state of a generation that asks.
#[derive(Debug)]
pub(crate) struct Asking {
    asked_at: Time,
    answer_timeout: Duration,
    next_send: Time,
    renewal: u32,
    sent: VecDeque<(u32, Time)>,
    answered_at: Option<Time>,
    forecast: Option<(Time, QueueForecast)>,
    deadline: Time,
}

impl Asking {
    /// A generation that begins to ask at `now`, waits for the first answer for `answer_timeout`, and whose caller
    /// gives up at `deadline`.
    pub(crate) fn new(now: Time, answer_timeout: Duration, deadline: Time) -> Self {
        Asking {
            asked_at: now,
            answer_timeout,
            next_send: now,
            renewal: 0,
            sent: VecDeque::new(),
            answered_at: None,
            forecast: None,
            deadline,
        }
    }

    /// Whether an owner has said that it waits.
    pub(crate) fn has_waited(&self) -> bool {
        self.forecast.is_some()
    }

    /// The last forecast.
    pub(crate) fn forecast(&self) -> Option<QueueForecast> {
        self.forecast.map(|(_, forecast)| forecast)
    }

    /// What to do at `now`. A step to send counts as done.
    pub(crate) fn step(&mut self, now: Time) -> Step {
        if let Some(forecast) = self.forecast()
            && now >= self.ends_at()
        {
            return Step::GiveUp(forecast);
        }
        if now >= self.silent_at() || now >= self.deadline {
            return Step::DecideAlone;
        }
        if now < self.next_send {
            let until = self.next_send.min(self.silent_at()).min(self.ends_at());
            return Step::Wait { until };
        }
        let renewal = self.renewal;
        self.renewal += 1;
        self.sent.push_back((renewal, now));
        if self.sent.len() > SENT_MAX {
            self.sent.pop_front();
        }
        self.next_send = now
            + match self.answered_at {
                Some(_) => RENEWAL_INTERVAL,
                None => FIRST_RENEWAL_INTERVAL,
            };
        Step::Send { renewal }
    }

    /// When the owner counts as silent if it doesn't answer until then.
    fn silent_at(&self) -> Time {
        match self.answered_at {
            Some(at) => at + SILENCE_MAX,
            None => self.asked_at + self.answer_timeout,
        }
    }

    /// When the wait ends by the last forecast.
    fn ends_at(&self) -> Time {
        let useful = self
            .forecast
            .map(|(at, forecast)| at + forecast.limit + REFUSAL_MARGIN);
        useful.map_or(self.deadline, |at| at.min(self.deadline))
    }

    /// Applies an answer of the owner that is asked.
    pub(crate) fn receive(&mut self, now: Time, answer: Answer) -> Reaction {
        if self.answered_at.replace(now).is_none() {
            let last = self.sent.back().map_or(now, |(_, at)| *at);
            self.next_send = last + RENEWAL_INTERVAL;
        }
        match answer {
            Answer::Queued(forecast) => {
                let forecast = QueueForecast::from(forecast);
                match self.forecast.replace((now, forecast)) {
                    None => Reaction::Forecast(forecast),
                    Some(_) => Reaction::Nothing,
                }
            }
            Answer::Granted(grant) if self.is_valid(now, &grant) => Reaction::Start(grant.engine),
            Answer::Granted(_) => {
                self.next_send = now;
                Reaction::Nothing
            }
            Answer::Refused(turn) => Reaction::Refuse(turn.into()),
            Answer::NotOwner => Reaction::AskAnother,
        }
    }

    /// Whether a grant is valid for certain: it was made after the request that it answers was sent.
    fn is_valid(&self, now: Time, grant: &Grant) -> bool {
        let mut sent = self.sent.iter();
        let sent_at = sent.find(|(renewal, _)| *renewal == grant.renewal);
        sent_at.is_some_and(|(_, at)| {
            now < *at + from_ms(grant.after_ms) + from_ms(grant.valid_for_ms)
        })
    }

    /// Asks again at once, since a grant couldn't be used. Earlier grants are void.
    pub(crate) fn ask_again(&mut self, now: Time) {
        self.sent.clear();
        self.next_send = now;
    }

    /// Asks another owner at once. Grants of the previous one are void.
    pub(crate) fn change_owner(&mut self, now: Time, answer_timeout: Duration) {
        self.ask_again(now);
        self.asked_at = now;
        self.answered_at = None;
        self.answer_timeout = answer_timeout;
    }
}

#[cfg(test)]
mod tests;
