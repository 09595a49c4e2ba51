//! The era of the platform's log. A new era begins when the log is restored from an older copy.

use http::HeaderMap;

use super::Shared;
use super::lock;
use crate::event::EventCode;
use crate::gateway::position::Era;
use crate::gateway::position::StatedEra;
use crate::telemetry;
use crate::telemetry::Metric;

/// An answer of the log from an earlier era than the latest one that this host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StaleAnswer;

impl Shared {
    /// The latest era of the log that this host knows.
    pub(crate) fn log_era(&self) -> Era {
        *lock(&self.0.log_era)
    }

    /// The era of an answer of the log; the known one if the answer states none.
    ///
    /// # Errors
    ///
    /// [`StaleAnswer`] if the log has been restored from an older copy since.
    pub(crate) fn check_answer_era(&self, headers: &HeaderMap) -> Result<Era, StaleAnswer> {
        let known = self.log_era();
        match StatedEra::from_headers(headers, &self.protocol().headers().log_era) {
            StatedEra::Era(era) if era < known => Err(StaleAnswer),
            StatedEra::Era(era) => {
                self.receive_era(era, "log");
                Ok(era)
            }
            StatedEra::Nothing => Ok(known),
            StatedEra::Unreadable => {
                self.log_bad_era();
                Ok(known)
            }
        }
    }

    /// Handles an era stated by the log or a peer. A later era than the known one invalidates all earlier
    /// positions: listed upstreams are read again, and those whose entries were lost get time to list
    /// themselves again.
    pub(crate) fn receive_era(&self, era: Era, source: &str) {
        let known = {
            let mut log_era = lock(&self.0.log_era);
            let known = *log_era;
            *log_era = known.max(era);
            known
        };
        if era <= known {
            return;
        }
        let is_restore = known != Era::default();
        let line = self.log().entry(EventCode::LogReturned);
        line.with("era", era.number())
            .with("known", known.number())
            .with("source", source)
            .write();
        if is_restore {
            let now = self.now();
            self.directory(|directory| directory.mark_log_returned(now));
            self.suspects(|suspects| suspects.mark_unwritten());
            telemetry::count(Metric::LogReturnsTotal);
        }
        self.announce_now();
    }

    /// Counts an unreadable era, and logs it at most once per known era.
    fn log_bad_era(&self) {
        telemetry::count(Metric::BadErasTotal);
        let known = self.log_era();
        if lock(&self.0.bad_era_logged_in).replace(known) == Some(known) {
            return;
        }
        let line = self.log().entry(EventCode::RecordSkipped);
        line.with("source", "log")
            .with("reason", "the era is not a number above 0")
            .with("known", known.number())
            .write();
    }
}
