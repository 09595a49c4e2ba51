//! The faults that the stand-in platform is told to have.

use std::time::Duration;

use actix_web::HttpRequest;
use serde::Deserialize;
use serde::Serialize;

use crate::id::DataCentre;
use crate::logstream::DATA_CENTRE_HEADER;

/// A fault for `POST /admin/faults`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum PlatformFault {
    /// The whole platform is down, in the way that is given.
    Down {
        /// How callers see it.
        outage: Outage,
    },
    /// Every call takes this much longer.
    Slow {
        /// Added time in milliseconds; 0 ends the fault.
        ms: u64,
    },
    /// Answers to the next appends are lost after the records are in the log.
    LoseAppendAnswers {
        /// How many answers; 0 ends the fault.
        count: u32,
        /// Of every hundred appends, this many are hit until the count is used up.
        #[serde(default = "all_percent")]
        percent: u32,
    },
    /// Records are kept for a shorter time or in a smaller number.
    Retention {
        /// Longest age in milliseconds.
        age_ms: Option<u64>,
        /// Largest number of records of a stream.
        records: Option<usize>,
    },
    /// Appends are refused beyond this rate.
    AppendRate {
        /// Appends a second.
        per_s: f64,
    },
    /// Permits to load weights are refused beyond this rate.
    WeightRate {
        /// Permits a minute.
        per_min: f64,
    },
    /// The host list shows changes late.
    ListLag {
        /// By how much, in milliseconds.
        ms: u64,
    },
    /// Calls from these data centres get no answer and have no effect; none ends the fault.
    Partition {
        /// Data centres that are cut off.
        data_centres: Vec<DataCentre>,
    },
    /// Ends outage, slowness, lost answers and partition.
    Clear,
}

/// How callers see an outage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Calls are answered with status 503.
    Refuse,
    /// Connections are cut without an answer.
    Reset,
    /// Calls hang until the outage ends and take effect then, unless the caller has gone.
    Hang,
}

fn all_percent() -> u32 {
    100
}

/// The faults of calls that are armed.
#[derive(Default)]
pub(crate) struct Faults {
    pub(crate) outage: Outage,
    pub(crate) slow: Duration,
    lost_answers: u32,
    lost_percent: u32,
    appends_seen: u32,
    cut_off: Vec<DataCentre>,
}

impl Faults {
    /// Arms a fault of calls. The others are the platform's affair and change nothing here.
    pub(crate) fn arm(&mut self, fault: PlatformFault) {
        match fault {
            PlatformFault::Down { outage } => self.outage = outage,
            PlatformFault::Slow { ms } => self.slow = Duration::from_millis(ms),
            PlatformFault::LoseAppendAnswers { count, percent } => {
                self.lost_answers = count;
                self.lost_percent = percent.min(100);
                self.appends_seen = 0;
            }
            PlatformFault::Partition { data_centres } => self.cut_off = data_centres,
            PlatformFault::Clear => *self = Faults::default(),
            PlatformFault::Retention { .. }
            | PlatformFault::AppendRate { .. }
            | PlatformFault::WeightRate { .. }
            | PlatformFault::ListLag { .. } => {}
        }
    }

    /// Whether the caller's data centre is cut off.
    pub(crate) fn cuts_off(&self, request: &HttpRequest) -> bool {
        let name = request.headers().get(DATA_CENTRE_HEADER);
        let name = name.and_then(|value| value.to_str().ok());
        name.is_some_and(|name| self.cut_off.iter().any(|cut| cut.as_str() == name))
    }

    /// Whether the answer to the append at hand is lost.
    pub(crate) fn loses_answer(&mut self) -> bool {
        if self.lost_answers == 0 {
            return false;
        }
        self.appends_seen += 1;
        let percent = self.lost_percent;
        let hit = self.appends_seen * percent / 100 > (self.appends_seen - 1) * percent / 100;
        if hit {
            self.lost_answers -= 1;
        }
        hit
    }
}
