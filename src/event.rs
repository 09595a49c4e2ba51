//! Numbered events: what every process logs and keeps in a bounded ring for the time line.
//!
//! `docs/EVENTS.md` is the catalogue; a test holds it and [`EventCode`] together.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::id::AttemptId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::id::RequestId;
use crate::id::UpstreamId;

/// Declares the catalogue: number, name and meaning of every event.
macro_rules! event_codes {
    ($($number:literal $name:ident $meaning:literal,)*) => {
        /// An event's code. Numbers are never reused.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum EventCode {
            $(#[doc = $meaning] $name,)*
        }

        impl EventCode {
            /// Every code, in the order of its number.
            pub const ALL: &'static [EventCode] = &[$(EventCode::$name,)*];

            /// The event's number.
            pub const fn number(self) -> u16 {
                match self { $(EventCode::$name => $number,)* }
            }

            /// The event's area: the hundred of its number.
            pub const fn area(self) -> u16 {
                self.number() / 100
            }

            /// The event's name.
            pub const fn name(self) -> &'static str {
                match self { $(EventCode::$name => stringify!($name),)* }
            }

            /// What the event means.
            pub const fn meaning(self) -> &'static str {
                match self { $(EventCode::$name => $meaning,)* }
            }
        }
    };
}

// 1xx process, 2xx request path, 3xx upstreams, 4xx configuration, 5xx claims, 6xx peers and
// ownership, 7xx limits, 8xx orders, 9xx stand-ins. Each area keeps its hundred.
event_codes! {
    100 ProcessStarted "The process listens and serves.",
    101 ShutdownBegan "SIGTERM arrived: no new work, what is in flight goes on.",
    102 ShutdownComplete "Everything in flight ended; the process exits.",
    103 ShutdownForced "A second signal, or the end of the grace period: the streams named were cut.",
    104 SettingsReloaded "SIGHUP arrived: the settings file was read again.",
    105 SeedsTried "A host that starts tried to connect to its seeds.",
    106 HostSuspended "The host was suspended: what it believed is confirmed before it decides on a request.",
    107 StartDelayed "The host can't start yet and tries again: what it lacks, and for how long it has tried.",
    108 ProcessEnded "The process ends: the reason and the exit code.",
    109 Panicked "Code panicked: the message, the place and the thread. Its task or connection is gone.",
    110 TaskRestarted "A task that the host needs ended and was started again: which, why and how often.",
    111 MemoryHigh "The process uses much of its machine's memory, or no longer does: the bytes in use and the limit.",
    112 MetricsUnavailable "The host serves no metrics, as their address can't be opened.",
    113 ConnectionsEnded "Connections of clients were ended: at which address, why and how many since the last such line.",
    200 RequestReceived "A caller's request was parsed and its customer identified.",
    201 RequestRefused "A request was refused; it did not run.",
    202 RequestQueued "A request waits at its schedulers.",
    203 RequestGranted "A scheduler granted an upstream.",
    204 RequestDispatched "An attempt was written to an upstream.",
    205 FirstToken "The first token reached the caller.",
    206 StreamResumed "A gap or a stalled link: the same generation was resumed.",
    207 RequestRestarted "A repeatable request was started again before its first token.",
    208 RequestComplete "The whole answer reached the caller.",
    209 RequestFailed "The request ended with an explicit failure.",
    210 CallerLeft "The caller left; the generation was cancelled.",
    211 TokenDropped "A duplicated, late or crossed token was dropped.",
    212 StreamMoved "A step of moving a stream's run to another engine.",
    213 RequestSuspected "Upstreams crashed under requests of one content, or with one part in their prompts: how many, and for how long such requests are held back.",
    214 SuspectCleared "An upstream answered a request of a content, or wrote on a part, under which others had crashed.",
    215 SuspectTried "One request of a content or with a part that is held back is sent, to see whether it still crashes what runs it, or to tell parts apart.",
    216 ConnectionBroken "The connection to an upstream broke under a request: the parts of its prompt, how long it had written, and whether that counts as a crash.",
    217 RequestStopped "A host that stops gives a request up: how far it had come, and since when the host stops.",
    218 StoppingChecked "A host that stops accepts or refuses a request: since when it stops, the time that it and the request have left, and how long the request is expected to run.",
    300 UpstreamReported "An upstream's load report changed its state.",
    301 UpstreamEjected "Consecutive failures: no new work for a while.",
    302 UpstreamProbed "A half-open probe was sent to an ejected upstream.",
    303 UpstreamLeaving "An upstream is leaving: no new work.",
    304 UpstreamLost "An upstream was lost with what it ran.",
    305 UpstreamBack "An upstream that was leaving or lost takes work again.",
    306 UpstreamListed "An upstream is listed, or its entry changed.",
    307 ServiceOutOfReach "A cut keeps the host from all upstreams of a service; it says that it is not ready.",
    308 ServiceInReach "Other data centres are heard again; the host is ready as before.",
    309 UpstreamsChanged "Upstreams changed by the word of other hosts, which tell of each: how many in what way, and the first of them.",
    310 OwnerDecided "An owner decided on a request: granted, refused or to be moved, with the figures.",
    311 UpstreamLimited "An upstream names, changes or no longer names the request rate that it takes from all hosts together.",
    312 UpstreamRests "An upstream turned a request away and asked this host for a time without requests.",
    313 UpstreamSlow "An upstream takes longer than is usual for its service; it gets less work.",
    314 UpstreamUsual "An upstream that was slow works as fast as usual again, or was not observed for long.",
    315 UpstreamFailsOften "An upstream fails far more of all hosts' calls than its service's others and is avoided, or no longer is.",
    316 UpstreamsOutOfReach "Connections to several upstreams failed in a row: the host counts as cut off from all.",
    317 UpstreamsInReach "The host reaches an upstream by its own links again.",
    318 UpstreamTunnelled "A connection to an upstream was opened through another host, or not: by which, the outcome and the hosts tried.",
    319 ConnectionCarried "This host was asked to carry another's connection to an upstream: the outcome, and how many it carries.",
    320 EvidenceDropped "Failures of requests were not counted against their upstreams: the host's own link may have failed.",
    321 UpstreamRejects "A brittle upstream turned a request of this host away: how many it bears, and the window and pause that follow.",
    322 UpstreamsDiffer "The list of upstreams differs from that of a peer that has read equally far and was fetched anew: from which, and the outcome.",
    400 ConfigReady "The host has a configuration and serves by it.",
    401 EditApplied "An edit of the table is in force on this host.",
    402 EditRejected "An edit of the table was rejected: conflicts or bad values.",
    403 RecordSkipped "A record, an entry of an upstream or a report has no known form and was passed over.",
    404 SnapshotAppended "A snapshot of the table was appended to the log.",
    405 SnapshotDisagrees "A snapshot differs from the table as of its offset and was ignored.",
    406 ConfigGap "Retention passed over configuration records that this host had not read.",
    407 ConfigForeign "A log or a peer has another configuration history: nothing of it was taken.",
    408 ConfigFromPeer "Configuration was taken from a peer.",
    409 ConfigLogUnreachable "A topic of the platform's log cannot be read; the host goes on with what it has.",
    410 ConfigLogReachable "A topic of the platform's log can be read again.",
    411 LogReturned "The platform's log tells a later era: it returned from an older copy, and positions of before are void.",
    412 DataCentreEvacuated "Operators evacuated a data centre: its upstreams get no new work.",
    413 DataCentreTakenBack "An evacuation is over: the data centre's upstreams get work again.",
    414 RolloutOrdered "Operators ordered that a service's traffic go to another version, or took an order back.",
    415 RolloutStep "A roll-out took a step: all new work goes to the version, or none any more, or it has ended.",
    416 RolloutTold "Operators were to be told how far a roll-out is; whether that was written.",
    500 ClaimWon "The request holds its idempotency key: it may be sent once.",
    501 ClaimLost "Another request holds the idempotency key.",
    502 ClaimRefused "The claim was not made: key expired or from the future, or no log.",
    503 ClaimEnded "The end of a request that held its key was recorded: done, failed or released.",
    505 ClaimGap "Records were lost to retention before they were read; the fold starts anew.",
    600 PeerJoined "Another entry host joined or came back, or the first one heard of another data centre did.",
    601 PeerSuspected "Another entry host could not be reached; it still counts.",
    602 PeerRefuted "A suspicion was refuted.",
    603 PeerDied "Nobody refuted the suspicion: the host owns nothing any more.",
    604 PeerLeaving "Another entry host is leaving and owns nothing any more.",
    605 HostAlone "This host hears from nobody; it keeps the owners it knew and decides alone.",
    606 HostRejoined "This host hears from others again.",
    607 OwnersChanged "The hosts that may own upstreams and limits changed.",
    608 DecidedAlone "No owner could be reached: this host placed the request by two choices.",
    609 RequestSpilled "The data centre could not serve the request: it was offered to another.",
    610 QueueOpened "Generations wait in the shared queue that this host owns, or were refused there a moment ago: others ask before they start.",
    611 QueueClosed "The shared queue that this host owns is no longer open: generations start where their hosts see room.",
    612 QueueOwnerSilent "The owner of a shared queue didn't answer this host, which decides by itself meanwhile, or answers again.",
    700 AllowancesLapsed "The owners of customers' limits are silent: this host's shares move to an equal split.",
    701 AllowancesRenewed "The owners of customers' limits answer again.",
    900 GenerationStarted "A stand-in engine started an attempt.",
    901 GenerationEnded "A stand-in engine completed or cancelled an attempt.",
    902 FaultArmed "A stand-in was told to misbehave.",
}

/// One event of one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// What happened.
    pub code: EventCode,
    /// The process's host.
    pub host: HostId,
    /// The process's incarnation.
    pub incarnation: Incarnation,
    /// Position in the process's own sequence.
    pub sequence: u64,
    /// Monotonic time since the process started, in microseconds.
    pub monotonic_us: u64,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// The request it belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The attempt it belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<AttemptId>,
    /// The upstream it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamId>,
    /// The log offset it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offset: Option<Offset>,
    /// Figures and words for a person.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

/// One line: `E204 RequestDispatched request=… upstream=… detail`.
impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{:03} {}", self.code.number(), self.code.name())?;
        if let Some(request) = &self.request {
            write!(f, " request={request}")?;
        }
        if let Some(attempt) = &self.attempt {
            write!(f, " attempt={attempt}")?;
        }
        if let Some(upstream) = &self.upstream {
            write!(f, " upstream={upstream}")?;
        }
        if let Some(offset) = &self.offset {
            write!(f, " offset={offset}")?;
        }
        if !self.detail.is_empty() {
            write!(f, " {}", self.detail)?;
        }
        Ok(())
    }
}
