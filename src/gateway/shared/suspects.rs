//! Requests suspected of crashing upstreams, by the fingerprint of their content.

use std::time::Duration;

use super::Shared;
use super::lock;
use crate::clock::Time;
use crate::event::EventCode;
use crate::fingerprint::Fingerprint;
use crate::gateway::connection::Connection;
use crate::gateway::directory::Directory;
use crate::gateway::instance::InstanceId;
use crate::gateway::protocol::Topic;
use crate::gateway::serve::Admitted;
use crate::gateway::suspects::AnnouncedSuspect;
use crate::gateway::suspects::Assessment;
use crate::gateway::suspects::ListedUpstreams;
use crate::gateway::suspects::Suspects;
use crate::gateway::suspects::Verdict;
use crate::gateway::unconfirmed::Evidence;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// Retry-after of a request whose content is on trial at another host. Most generations end within it.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(5);

/// What is known of the cause of a broken connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BreakOrigin {
    /// Nothing: the upstream may have crashed under the request.
    Unknown,
    /// The host that carried the connection is gone.
    Carrier,
    /// The upstream was leaving.
    Leaving,
    /// The upstream was cold.
    Cold,
}

impl BreakOrigin {
    fn of(directory: &mut Directory, now: Time, upstream: &InstanceId) -> Self {
        if directory.leaving_since(upstream).is_some() {
            BreakOrigin::Leaving
        } else if directory.is_cold(now, upstream) {
            BreakOrigin::Cold
        } else {
            BreakOrigin::Unknown
        }
    }

    const fn name(self) -> &'static str {
        match self {
            BreakOrigin::Unknown => "warm",
            BreakOrigin::Carrier => "carrier lost",
            BreakOrigin::Leaving => "leaving",
            BreakOrigin::Cold => "cold",
        }
    }
}

impl Shared {
    /// Runs `use_suspects` on the locked record of requests during which upstreams crashed.
    pub(crate) fn suspects<T>(&self, use_suspects: impl FnOnce(&mut Suspects) -> T) -> T {
        use_suspects(&mut lock(&self.0.suspects))
    }

    /// The refusal of a request that is held back. `None` if it may be sent, which includes the trial of its
    /// content.
    pub(crate) fn refuse_suspect(&self, admitted: &Admitted) -> Option<Refusal> {
        let now = self.now();
        let fingerprint = admitted.fingerprint;
        let assessment = self.suspects(|suspects| suspects.assess(now, fingerprint))?;
        let held_back = match assessment.verdict {
            Verdict::Allowed => return None,
            Verdict::Trial if self.try_begin_trial(now, admitted) => return None,
            Verdict::Trial => TRIAL_RETRY_AFTER,
            Verdict::HeldBack(left) => left,
        };
        let message = format!(
            "{} upstreams crashed while they ran this request; this time it was not sent",
            assessment.crashes
        );
        let refusal = Refusal::not_run(Code::CrashesUpstreams, message);
        let ms = u64::try_from(held_back.as_millis()).unwrap_or(u64::MAX);
        Some(refusal.retry_after_ms(ms))
    }

    /// Begins the trial of a content with this request, if this host is chosen to run it and no other trial
    /// may be running here. Returns whether the request is the trial, also if it was begun earlier. The host
    /// is chosen by rendezvous hashing, the same by all hosts that have the same view of the fleet.
    fn try_begin_trial(&self, now: Time, admitted: &Admitted) -> bool {
        if admitted.is_trial.get() {
            return true;
        }
        let host = &self.settings().host;
        let fingerprint = admitted.fingerprint;
        let is_chosen = self.peers(|peers| peers.is_chosen(now, host, &fingerprint.to_hex()));
        let is_begun =
            is_chosen && self.suspects(|suspects| suspects.begin_trial(now, fingerprint));
        if is_begun {
            admitted.is_trial.set(true);
            let line = admitted.log_entry(self, EventCode::SuspectTried);
            line.write();
        }
        is_begun
    }

    /// Records that the connection to an upstream broke while it ran a request. Leaving and cold upstreams
    /// don't count: the former end anyway, and the latter may crash under many harmless requests. A connection
    /// that another host carried broke at the upstream, if the carrier is still there to tell; a direct one may
    /// have broken with this host's own link. `written_for` is the time since the request's first event.
    pub(crate) fn record_crash(
        &self,
        admitted: &Admitted,
        upstream: &InstanceId,
        connection: &Connection,
        written_for: Option<Duration>,
    ) {
        let now = self.now();
        let origin = self.directory(|directory| BreakOrigin::of(directory, now, upstream));
        let origin = match connection.has_lost_carrier() {
            true => BreakOrigin::Carrier,
            false => origin,
        };
        self.log_break(admitted, upstream, origin, written_for);
        if origin != BreakOrigin::Unknown {
            return;
        }
        let fingerprint = admitted.fingerprint;
        match connection.carrier() {
            Some(_) => self.count_crash(now, fingerprint, upstream),
            None => self.hold_back(Evidence::Crash(fingerprint, upstream.clone())),
        }
    }

    fn log_break(
        &self,
        admitted: &Admitted,
        upstream: &InstanceId,
        origin: BreakOrigin,
        written_for: Option<Duration>,
    ) {
        let parts: Vec<String> = admitted.parts.iter().map(Fingerprint::to_string).collect();
        let line = admitted.log_entry(self, EventCode::ConnectionBroken);
        line.with("upstream", upstream.as_str())
            .with("parts", parts.join(","))
            .with("upstream_state", origin.name())
            .with_some(
                "written_ms",
                written_for.map(|time| time.as_millis() as u64),
            )
            .write();
    }

    /// Counts an upstream as crashed at `crashed_at` while it ran a request.
    pub(super) fn count_crash(
        &self,
        crashed_at: Time,
        fingerprint: Fingerprint,
        upstream: &InstanceId,
    ) {
        let assessment =
            self.suspects(|suspects| suspects.record_crash(crashed_at, fingerprint, upstream));
        if let Some(assessment) = assessment {
            self.log_suspect(fingerprint, assessment, upstream.as_str());
            self.announce_now();
        }
    }

    /// Clears a request of suspicion, because an upstream has answered it completely.
    pub(crate) fn clear_suspect(&self, fingerprint: Fingerprint, upstream: &InstanceId) {
        let now = self.now();
        let before = self.suspects(|suspects| suspects.record_answer(now, fingerprint));
        if before.is_some_and(|before| before.crashes > 1) {
            let line = self.log().entry(EventCode::SuspectCleared);
            line.with("fingerprint", fingerprint.to_string())
                .with("upstream", upstream.as_str())
                .write();
        }
    }

    /// Records that an upstream was alive after `sent_at`: it answered a request sent then, completely or in
    /// part.
    pub(crate) fn record_alive(&self, sent_at: Time, upstream: &InstanceId) {
        self.suspects(|suspects| suspects.record_alive(sent_at, upstream));
    }

    /// Drops suspicions that are too old, and crashes of upstreams that are still listed and so didn't crash.
    pub(crate) fn review_suspects(&self) {
        if self.suspects(|suspects| suspects.is_empty()) {
            return;
        }
        let now = self.now();
        let listed = self.listed_upstreams(now);
        self.suspects(|suspects| {
            suspects.check_listed(now, &listed);
            suspects.expire(now);
        });
    }

    fn listed_upstreams(&self, now: Time) -> ListedUpstreams {
        if !self.follows_topic(Topic::Upstreams) {
            return ListedUpstreams::Unknown;
        }
        let sound = self.directory(|directory| directory.all_live());
        let instances = sound.iter().map(|upstream| &upstream.id);
        let reachable = instances.filter(|id| !self.is_unreachable(now, id));
        ListedUpstreams::Fresh(reachable.map(InstanceId::key).collect())
    }

    /// Merges the suspected requests that a peer announces.
    pub(crate) fn receive_suspects(&self, source: &str, announced: &[AnnouncedSuspect]) {
        let now = self.now();
        let changed = self.suspects(|suspects| suspects.merge(now, announced));
        for (fingerprint, assessment) in changed {
            self.log_suspect(fingerprint, assessment, source);
        }
    }

    /// Logs a suspected request. A single crash may have any cause and is only logged with the request that it
    /// ended.
    fn log_suspect(&self, fingerprint: Fingerprint, assessment: Assessment, source: &str) {
        if assessment.crashes < 2 {
            return;
        }
        let held_back_ms = match assessment.verdict {
            Verdict::HeldBack(left) => Some(left.as_millis() as u64),
            Verdict::Allowed | Verdict::Trial => None,
        };
        let line = self.log().entry(EventCode::RequestSuspected);
        line.with("fingerprint", fingerprint.to_string())
            .with("crashes", assessment.crashes)
            .with_some("held_back_ms", held_back_ms)
            .with("source", source)
            .write();
    }
}
