//! Requests suspected of crashing upstreams, by the fingerprint of their content and of the parts of their prompts.

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
use crate::gateway::suspects::Blame;
use crate::gateway::suspects::ListedUpstreams;
use crate::gateway::suspects::PartVerdict;
use crate::gateway::suspects::SuspectKind;
use crate::gateway::suspects::Suspects;
use crate::gateway::suspects::Verdict;
use crate::gateway::unconfirmed::Evidence;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// Retry-after of a request whose content or part is on trial at another host. Most generations end within it.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Retry-after of a request while another one tells the parts apart that explain the same crashes.
const PROBE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// An upstream that has written for this long on a request's prompt doesn't crash of it. One that does crash so may
/// still send an event or two.
pub(crate) const PROOF_TIME: Duration = Duration::from_millis(500);

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

fn crash_refusal(message: String, held_back: Duration) -> Refusal {
    let refusal = Refusal::not_run(Code::CrashesUpstreams, message);
    let ms = u64::try_from(held_back.as_millis()).unwrap_or(u64::MAX);
    refusal.retry_after_ms(ms)
}

impl Shared {
    /// Runs `use_suspects` on the locked record of requests during which upstreams crashed.
    pub(crate) fn suspects<T>(&self, use_suspects: impl FnOnce(&mut Suspects) -> T) -> T {
        use_suspects(&mut lock(&self.0.suspects))
    }

    /// The refusal of a request that is held back. `None` if it may be sent, which includes the trial of its
    /// content or of a part of its prompt.
    pub(crate) fn refuse_suspect(&self, admitted: &Admitted) -> Option<Refusal> {
        let now = self.now();
        self.refuse_content(now, admitted)
            .or_else(|| self.refuse_parts(now, admitted))
    }

    fn refuse_content(&self, now: Time, admitted: &Admitted) -> Option<Refusal> {
        let fingerprint = admitted.fingerprint;
        let assessment = self.suspects(|suspects| suspects.assess(now, fingerprint))?;
        let held_back = match assessment.verdict {
            Verdict::Allowed => return None,
            Verdict::Trial if self.try_begin_trial(now, admitted, fingerprint) => return None,
            Verdict::Trial => TRIAL_RETRY_AFTER,
            Verdict::HeldBack(left) => left,
        };
        let message = format!(
            "{} upstreams crashed while they ran this request; this time it was not sent",
            assessment.crashes
        );
        Some(crash_refusal(message, held_back))
    }

    fn refuse_parts(&self, now: Time, admitted: &Admitted) -> Option<Refusal> {
        let assessment = self.suspects(|suspects| suspects.assess_parts(now, &admitted.parts))?;
        let part = assessment.part;
        let held_back = match assessment.verdict {
            PartVerdict::Probe if self.try_begin_probe(now, admitted, part) => return None,
            PartVerdict::Probe => PROBE_RETRY_AFTER,
            PartVerdict::Trial if self.try_begin_trial(now, admitted, part) => return None,
            PartVerdict::Trial => TRIAL_RETRY_AFTER,
            PartVerdict::HeldBack(left) => left,
        };
        let message = format!(
            "{} upstreams crashed under requests with part {part} of its prompt; this time it was not sent",
            assessment.crashes
        );
        Some(crash_refusal(message, held_back))
    }

    /// Lets this request go to tell parts apart that explain the same crashes, unless another one may be running
    /// here. Returns whether it is let go, also if it was earlier.
    fn try_begin_probe(&self, now: Time, admitted: &Admitted, part: Fingerprint) -> bool {
        if admitted.is_trial.get() {
            return true;
        }
        let is_begun = self.suspects(|suspects| suspects.begin_probe(now, part));
        if is_begun {
            admitted.is_trial.set(true);
            let line = admitted.log_entry(self, EventCode::SuspectTried);
            line.with("part", part.to_string())
                .with("tells_apart", true)
                .write();
        }
        is_begun
    }

    /// Begins the trial of a content or part with this request, if this host is chosen to run it and no other trial
    /// may be running here. Returns whether the request is the trial, also if it was begun earlier. The host
    /// is chosen by rendezvous hashing, the same by all hosts that have the same view of the fleet.
    fn try_begin_trial(&self, now: Time, admitted: &Admitted, fingerprint: Fingerprint) -> bool {
        if admitted.is_trial.get() {
            return true;
        }
        let host = &self.settings().host;
        let is_chosen = self.peers(|peers| peers.is_chosen(now, host, &fingerprint.to_hex()));
        let is_begun =
            is_chosen && self.suspects(|suspects| suspects.begin_trial(now, fingerprint));
        if is_begun {
            admitted.is_trial.set(true);
            let part = (fingerprint != admitted.fingerprint).then(|| fingerprint.to_string());
            let line = admitted.log_entry(self, EventCode::SuspectTried);
            line.with_some("part", part).write();
        }
        is_begun
    }

    /// Records that the connection to an upstream broke while it ran a request. Leaving upstreams don't count: they
    /// end anyway. Cold ones don't count for contents, because they may crash under many harmless requests. They
    /// count for parts: crashed upstreams come back cold, so most crashes that a part causes are at cold ones, and
    /// parts of harmless requests are proved sound elsewhere. A connection
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
        let content = match origin {
            BreakOrigin::Unknown => Some(admitted.fingerprint),
            BreakOrigin::Cold => None,
            BreakOrigin::Carrier | BreakOrigin::Leaving => return,
        };
        let has_proved = written_for.is_some_and(|time| time >= PROOF_TIME);
        let parts = match has_proved {
            true => Vec::new(),
            false => admitted.parts.clone(),
        };
        let blame = Blame { content, parts };
        if blame == Blame::default() {
            return;
        }
        match connection.carrier() {
            Some(_) => self.count_crash(now, &blame, upstream),
            None => self.hold_back(Evidence::Crash(blame, upstream.clone())),
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
    pub(super) fn count_crash(&self, crashed_at: Time, blame: &Blame, upstream: &InstanceId) {
        let assessment = blame.content.and_then(|content| {
            let record =
                |suspects: &mut Suspects| suspects.record_crash(crashed_at, content, upstream);
            let assessment = self.suspects(record)?;
            self.log_suspect(content, assessment, upstream.as_str());
            Some(assessment)
        });
        let accuses_parts = self
            .suspects(|suspects| suspects.record_part_crashes(crashed_at, &blame.parts, upstream));
        if accuses_parts {
            self.log_implicated(upstream.as_str());
        }
        if accuses_parts || assessment.is_some() {
            self.announce_now();
        }
    }

    /// Records that an upstream has written on the prompt of a request since its first event, without a crash.
    pub(crate) fn record_sound_parts(&self, admitted: &Admitted, written_for: Duration) {
        if admitted.parts.is_empty() {
            return;
        }
        let now_us = self.now().as_us();
        let written_us = u64::try_from(written_for.as_micros()).unwrap_or(u64::MAX);
        let began_at = Time::from_us(now_us.saturating_sub(written_us));
        self.suspects(|suspects| suspects.record_sound(began_at, &admitted.parts));
        self.log_implicated("a request that was served");
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
        self.log_implicated("review");
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
        self.log_implicated(source);
    }

    /// Logs changes of the parts that explain crashes.
    fn log_implicated(&self, source: &str) {
        let changes = self.suspects(Suspects::take_implicated_changes);
        let now = self.now();
        for group in &changes.implicated {
            let verdict = self.suspects(|suspects| suspects.group_verdict(now, group));
            let held_back_ms = match verdict {
                PartVerdict::HeldBack(left) => Some(left.as_millis() as u64),
                PartVerdict::Probe | PartVerdict::Trial => None,
            };
            let first = group.parts.first().copied();
            let age =
                first.and_then(|part| self.suspects(|suspects| suspects.evidence_age(now, part)));
            let parts: Vec<String> = group.parts.iter().map(Fingerprint::to_string).collect();
            let line = self.log().entry(EventCode::RequestSuspected);
            line.with("kind", SuspectKind::Part.name())
                .with("fingerprint", parts.join(","))
                .with("crashes", group.crashes)
                .with("alternatives", group.alternatives)
                .with_some("evidence_ms", age.map(|age| age.as_millis() as u64))
                .with_some("held_back_ms", held_back_ms)
                .with("source", source)
                .write();
        }
        for part in changes.cleared {
            let line = self.log().entry(EventCode::SuspectCleared);
            line.with("kind", SuspectKind::Part.name())
                .with("fingerprint", part.to_string())
                .with("source", source)
                .write();
        }
    }

    /// Logs a suspected request. A single crash may have any cause and is only logged with the request that it
    /// ended.
    fn log_suspect(&self, fingerprint: Fingerprint, assessment: Assessment, source: &str) {
        if assessment.crashes < 2 || assessment.kind == SuspectKind::Part {
            return;
        }
        let held_back_ms = match assessment.verdict {
            Verdict::HeldBack(left) => Some(left.as_millis() as u64),
            Verdict::Allowed | Verdict::Trial => None,
        };
        let line = self.log().entry(EventCode::RequestSuspected);
        line.with("kind", assessment.kind.name())
            .with("fingerprint", fingerprint.to_string())
            .with("crashes", assessment.crashes)
            .with_some("held_back_ms", held_back_ms)
            .with("source", source)
            .write();
    }
}
