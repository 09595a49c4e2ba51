//! Metrics in Prometheus' format.
//!
//! Labels are services and priority classes of the table and closed sets of the code, so the number
//! of series is bounded. No metric carries a customer, a request or an upstream; `GET /status`
//! names those that matter. `docs/METRICS.md` is the catalogue.

use std::sync::OnceLock;
use std::time::Duration;

use metrics::Counter;
use metrics::Gauge;
use metrics::Histogram;
use metrics::Unit;
use metrics_exporter_prometheus::BuildError;
use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use metrics_exporter_prometheus::PrometheusRecorder;

use crate::clock::Time;
use crate::id::ClassId;
use crate::id::ServiceId;
use crate::refusal::Code;

/// A gap between two tokens of a stream is a stall as far as it exceeds this, in milliseconds.
pub const STALL_GAP_MS: f64 = 250.0;

/// How often [`Telemetry::upkeep`] is to be called at least, in milliseconds.
pub const UPKEEP_INTERVAL_MS: u64 = 5_000;

/// Upper bounds of the histograms' buckets, in milliseconds.
const BUCKETS_MS: [f64; 16] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 35.0, 50.0, 69.0, 100.0, 200.0, 510.0, 1_000.0, 2_500.0, 10_000.0,
    30_000.0, 120_000.0,
];

/// What a metric is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Only rises.
    Counter,
    /// Rises and falls.
    Gauge,
    /// A distribution in buckets.
    Histogram,
}

impl Kind {
    /// The kind's name in Prometheus' format.
    pub const fn name(self) -> &'static str {
        match self {
            Kind::Counter => "counter",
            Kind::Gauge => "gauge",
            Kind::Histogram => "histogram",
        }
    }
}

/// Declares the catalogue of metrics: variant, kind, name, labels and meaning.
macro_rules! metric_catalogue {
    ($($variant:ident $kind:ident $name:literal $labels:literal $meaning:literal,)*) => {
        /// A metric of the catalogue.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Metric {
            $(#[doc = $meaning] $variant,)*
        }

        impl Metric {
            /// Every metric, in the order of the catalogue.
            pub const ALL: &'static [Metric] = &[$(Metric::$variant,)*];

            /// Its kind.
            pub const fn kind(self) -> Kind {
                match self { $(Metric::$variant => Kind::$kind,)* }
            }

            /// Its name, with the unit as a suffix.
            pub const fn name(self) -> &'static str {
                match self { $(Metric::$variant => $name,)* }
            }

            /// Its labels, separated by commas.
            pub const fn labels(self) -> &'static str {
                match self { $(Metric::$variant => $labels,)* }
            }

            /// What it means.
            pub const fn meaning(self) -> &'static str {
                match self { $(Metric::$variant => $meaning,)* }
            }
        }
    };
}

metric_catalogue! {
    StallMs Histogram "cedargauge_stall_ms" "service, class"
        "Time that a stream stood still: the sum of its gaps between tokens as far as each exceeds 250 ms.",
    PreemptionsTotal Counter "cedargauge_preemptions_total" "service"
        "Preemptions that engines reported, told by the owner of the engine.",
    TokenGapMs Histogram "cedargauge_token_gap_ms" "service, class"
        "Time between two tokens of a stream as relayed to its caller.",
    FirstTokenMs Histogram "cedargauge_first_token_ms" "service, class"
        "Time from a request's arrival to its first token.",
    QueueWaitMs Histogram "cedargauge_queue_wait_ms" "service, class"
        "Time from a request's arrival to the grant of an upstream.",
    TokensTotal Counter "cedargauge_tokens_total" "service, class"
        "Tokens relayed to callers.",
    StreamsOpen Gauge "cedargauge_streams_open" "service, class"
        "Requests that are being answered.",
    RequestsTotal Counter "cedargauge_requests_total" "service, class"
        "Requests whose service and customer were identified.",
    RefusalsTotal Counter "cedargauge_refusals_total" "service, code"
        "Refusals and failures told to callers, by their code.",
    ConfigOffset Gauge "cedargauge_config_offset" ""
        "Offset of the configuration that is in force.",
    ConfigAgeMs Gauge "cedargauge_config_age_ms" ""
        "Time since the platform last confirmed that the configuration is the newest.",
    ClaimsWaiting Gauge "cedargauge_claims_waiting" ""
        "Claims whose outcome isn't read from the log yet.",
    CustomersActive Gauge "cedargauge_customers_active" ""
        "Customers whose use of their limits this host keeps.",
    AllowancesLapsed Gauge "cedargauge_allowances_lapsed" ""
        "Active customers whose allowance lapsed: this host moves to an equal split.",
    CallMs Histogram "cedargauge_call_ms" "service, status"
        "Time from a call's arrival to its answer, of calls that the gateway passes to plain services.",
    StreamMovesTotal Counter "cedargauge_stream_moves_total" "service"
        "Streams that the gateway continued at another engine.",
    StreamMovesBegunTotal Counter "cedargauge_stream_moves_begun_total" "service"
        "Ordered moves of streams off leaving engines that the gateway began.",
    StreamMovesPassedOverTotal Counter "cedargauge_stream_moves_passed_over_total" "service"
        "Ordered moves that were put behind others because their copies could no longer end in time.",
    StreamsLostTotal Counter "cedargauge_streams_lost_total" "service"
        "Streams that the gateway broke off before their last event.",
    RetriesTotal Counter "cedargauge_retries_total" "service"
        "Requests that the gateway sent to a further upstream, after one that they had reached.",
    RetriesRefusedTotal Counter "cedargauge_retries_refused_total" "service"
        "Requests that were not sent to a further upstream because the retry budget had no room.",
    SuspensionsTotal Counter "cedargauge_suspensions_total" ""
        "Times that the host was found to have been suspended.",
    LastSuspensionMs Gauge "cedargauge_last_suspension_ms" ""
        "Length of the last suspension; 0 if there was none.",
    LogReturnsTotal Counter "cedargauge_log_returns_total" ""
        "Times that the platform's log was heard to have returned from an older copy.",
    BadErasTotal Counter "cedargauge_bad_eras_total" ""
        "Answers of the platform's log whose era could not be read.",
    LogEra Gauge "cedargauge_log_era_version" ""
        "Latest era of the platform's log that the host knows.",
    DataCentresEvacuated Gauge "cedargauge_evacuated_active" ""
        "Data centres whose upstreams get no new work because operators evacuated them.",
    UpstreamsLimited Gauge "cedargauge_limited_upstreams_active" ""
        "Upstreams whose answers name a limit on the request rate of all hosts together.",
    UpstreamsSlow Gauge "cedargauge_slow_upstreams_active" ""
        "Upstreams that take longer than is usual for their service.",
    UpstreamsFailing Gauge "cedargauge_failing_upstreams_active" ""
        "Upstreams that are avoided because they fail far more of all hosts' calls than their service's others.",
    SuspectsHeldBack Gauge "cedargauge_held_back_active" ""
        "Contents of requests that are not sent because upstreams crashed under them.",
    SuspectsKnown Gauge "cedargauge_suspects_active" ""
        "Contents of requests under which an upstream was lost and that were not answered since.",
    PartsImplicated Gauge "cedargauge_implicated_parts_active" ""
        "Parts of prompts whose requests are held back because they explain crashes of upstreams.",
    LogLinesDroppedTotal Counter "cedargauge_log_lines_dropped_total" ""
        "Lines of the gateway's log that were dropped because their reader was too slow.",
    LogAgeMs Gauge "cedargauge_log_age_ms" "topic"
        "Time since the platform's log last answered this host's own read of a topic.",
    ConfigVersion Gauge "cedargauge_config_version" ""
        "Version of the configuration that the gateway has in force.",
    ConfigNewestVersion Gauge "cedargauge_config_newest_version" ""
        "Newest version that another host has told of.",
    ConfigBehindMs Gauge "cedargauge_config_behind_ms" ""
        "Time since a newer version than the one in force is known of; 0 while none is.",
    PieceBytesServedTotal Counter "cedargauge_piece_bytes_served_total" ""
        "Bytes of pieces of configurations that the host has sent to others.",
    BadDocumentsTotal Counter "cedargauge_bad_documents_total" ""
        "Documents, or pieces of them, of other hosts that were passed over as wrong.",
    ForeignRecordsTotal Counter "cedargauge_foreign_records_total" ""
        "Records in the list of upstreams that name no upstream: other writers', or unreadable.",
    PanicsTotal Counter "cedargauge_panics_total" ""
        "Panics of the process's tasks and threads.",
    TaskRestartsTotal Counter "cedargauge_task_restarts_total" ""
        "Tasks that the host needs and that were started again after their end.",
    MemoryBytes Gauge "cedargauge_memory_bytes" ""
        "Resident memory of the process.",
    MemoryLimitBytes Gauge "cedargauge_memory_limit_bytes" ""
        "Memory that the process may use; 0 if the settings give none.",
    ClientMemoryBytes Gauge "cedargauge_client_memory_bytes" "place"
        "Memory that clients make the host hold, by what it is held for.",
    ClientConnections Gauge "cedargauge_client_connections_active" ""
        "Connections that callers hold open.",
    ConnectionsEndedTotal Counter "cedargauge_connections_ended_total" "reason"
        "Connections of clients that the host ended, by reason.",
    PeerMessagesDroppedTotal Counter "cedargauge_peer_messages_dropped_total" ""
        "Messages to other entry hosts that were dropped because the host's queue was full.",
    SharedQueueWaiting Gauge "cedargauge_shared_queue_waiting_active" "service"
        "Generations that wait in the shared queue that this host owns.",
    SharedQueueGrantedTotal Counter "cedargauge_shared_queue_granted_total" "service"
        "Generations of this host that were granted an engine by a shared queue's owner.",
    SharedQueueRefusedTotal Counter "cedargauge_shared_queue_refused_total" "service"
        "Generations of this host that a shared queue refused, or that waited there for as long as was useful.",
    SharedQueueAloneTotal Counter "cedargauge_shared_queue_alone_total" "service"
        "Generations on which this host decided by itself because a shared queue's owner was silent or there was none.",
    SharedQueueWaitMs Histogram "cedargauge_shared_queue_wait_ms" "service"
        "Time for which a generation asked a shared queue's owner until it was granted an engine or refused.",
}

impl Metric {
    fn unit(self) -> Unit {
        match self.name().ends_with("_ms") {
            true => Unit::Milliseconds,
            false => Unit::Count,
        }
    }

    fn describe(self) {
        match self.kind() {
            Kind::Counter => metrics::describe_counter!(self.name(), self.unit(), self.meaning()),
            Kind::Gauge => metrics::describe_gauge!(self.name(), self.unit(), self.meaning()),
            Kind::Histogram => {
                metrics::describe_histogram!(self.name(), self.unit(), self.meaning());
            }
        }
    }
}

/// A handle on the process's metrics; clones share it.
#[derive(Debug, Clone)]
pub struct Telemetry {
    handle: PrometheusHandle,
}

impl Telemetry {
    /// Installs the process's recorder at the first call; later calls give the same handle.
    ///
    /// # Panics
    ///
    /// If another recorder was installed before: a broken invariant of the program.
    pub fn install() -> Self {
        static INSTALLED: OnceLock<PrometheusHandle> = OnceLock::new();
        let handle = INSTALLED.get_or_init(|| {
            let recorder = recorder().expect("the buckets are a constant list");
            let handle = recorder.handle();
            metrics::set_global_recorder(recorder).expect("only Telemetry installs a recorder");
            describe_all();
            handle
        });
        Telemetry {
            handle: handle.clone(),
        }
    }

    /// The metrics in Prometheus' text format, as `GET /metrics` serves them.
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Moves recorded samples into their buckets, which bounds memory. To be called every
    /// [`UPKEEP_INTERVAL_MS`].
    pub fn upkeep(&self) {
        self.handle.run_upkeep();
    }
}

fn recorder() -> Result<PrometheusRecorder, BuildError> {
    let histograms = Matcher::Suffix("_ms".to_owned());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(histograms, &BUCKETS_MS)?;
    Ok(builder.build_recorder())
}

fn describe_all() {
    for metric in Metric::ALL {
        metric.describe();
    }
}

/// Measures one request from its arrival to its end. Dropping it closes the stream's measures.
#[derive(Debug)]
pub struct StreamMeter {
    arrived: Time,
    last_token: Option<Time>,
    stall_ms: f64,
    stalls: Histogram,
    gaps: Histogram,
    first_token: Histogram,
    queue_wait: Histogram,
    tokens: Counter,
    open: Gauge,
}

impl StreamMeter {
    /// Starts to measure a request that arrived at `now`.
    pub fn start(now: Time, service: &ServiceId, class: &ClassId) -> Self {
        let labels = [
            ("service", service.as_str().to_owned()),
            ("class", class.as_str().to_owned()),
        ];
        metrics::counter!(Metric::RequestsTotal.name(), &labels).increment(1);
        let open = metrics::gauge!(Metric::StreamsOpen.name(), &labels);
        open.increment(1.0);
        StreamMeter {
            arrived: now,
            last_token: None,
            stall_ms: 0.0,
            stalls: metrics::histogram!(Metric::StallMs.name(), &labels),
            gaps: metrics::histogram!(Metric::TokenGapMs.name(), &labels),
            first_token: metrics::histogram!(Metric::FirstTokenMs.name(), &labels),
            queue_wait: metrics::histogram!(Metric::QueueWaitMs.name(), &labels),
            tokens: metrics::counter!(Metric::TokensTotal.name(), &labels),
            open,
        }
    }

    /// The request was granted an upstream.
    pub fn granted(&self, now: Time) {
        self.queue_wait.record(elapsed_ms(self.arrived, now));
    }

    /// A token was passed to the caller.
    pub fn token(&mut self, now: Time) {
        self.tokens.increment(1);
        match self.last_token.replace(now) {
            None => self.first_token.record(elapsed_ms(self.arrived, now)),
            Some(last) => self.gap(elapsed_ms(last, now)),
        }
    }

    /// Time that the stream has stood still so far, in milliseconds.
    pub fn stall_ms(&self) -> f64 {
        self.stall_ms
    }

    fn gap(&mut self, gap_ms: f64) {
        self.gaps.record(gap_ms);
        self.stall_ms += (gap_ms - STALL_GAP_MS).max(0.0);
    }
}

impl Drop for StreamMeter {
    fn drop(&mut self) {
        self.open.decrement(1.0);
        if self.last_token.is_some() {
            self.stalls.record(self.stall_ms);
        }
    }
}

/// Counts a refusal or failure that a caller was told. `service` is a row's name, or none where no
/// service was identified.
pub fn count_refusal(service: Option<&ServiceId>, code: Code) {
    let labels = [
        ("service", service.map_or("", ServiceId::as_str).to_owned()),
        ("code", code.name().to_owned()),
    ];
    metrics::counter!(Metric::RefusalsTotal.name(), &labels).increment(1);
}

/// Counts preemptions that an engine of the service reported.
pub fn count_preemptions(service: &ServiceId, preemptions: u64) {
    let labels = [("service", service.as_str().to_owned())];
    metrics::counter!(Metric::PreemptionsTotal.name(), &labels).increment(preemptions);
}

/// How a generation that asked the owner of a shared queue ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueEnd {
    /// It was granted an engine.
    Granted,
    /// It was refused, or waited as long as was useful.
    Refused,
    /// Its host decides by itself.
    Alone,
}

/// Counts a generation that asked the owner of a shared queue for `time`.
pub fn record_queue_end(service: &ServiceId, end: QueueEnd, time: Duration) {
    let labels = [("service", service.as_str().to_owned())];
    let counter = match end {
        QueueEnd::Granted => Metric::SharedQueueGrantedTotal,
        QueueEnd::Refused => Metric::SharedQueueRefusedTotal,
        QueueEnd::Alone => Metric::SharedQueueAloneTotal,
    };
    metrics::counter!(counter.name(), &labels).increment(1);
    if end != QueueEnd::Alone {
        let name = Metric::SharedQueueWaitMs.name();
        metrics::histogram!(name, &labels).record(time.as_secs_f64() * 1_000.0);
    }
}

/// Sets how many generations wait in the shared queue that this host owns.
pub fn set_queue_waiting(service: &ServiceId, waiting: usize) {
    let labels = [("service", service.as_str().to_owned())];
    metrics::gauge!(Metric::SharedQueueWaiting.name(), &labels).set(waiting as f64);
}

/// Records a call that was answered with `status`.
pub fn record_call(service: &ServiceId, status: u16, took: Duration) {
    let labels = [
        ("service", service.as_str().to_owned()),
        ("status", status.to_string()),
    ];
    let ms = took.as_secs_f64() * 1_000.0;
    metrics::histogram!(Metric::CallMs.name(), &labels).record(ms);
}

/// Counts an event of a counter that is labelled by service.
pub fn count_of_service(metric: Metric, service: &ServiceId) {
    debug_assert!(metric.kind() == Kind::Counter && metric.labels() == "service");
    let labels = [("service", service.as_str().to_owned())];
    metrics::counter!(metric.name(), &labels).increment(1);
}

/// Counts a retry that the budget of its service allowed, or not.
pub fn count_retry(service: &ServiceId, is_allowed: bool) {
    let metric = match is_allowed {
        true => Metric::RetriesTotal,
        false => Metric::RetriesRefusedTotal,
    };
    count_of_service(metric, service);
}

/// Counts an event of a counter without labels.
pub fn count(metric: Metric) {
    count_by(metric, 1);
}

/// Counts several at once.
pub fn count_by(metric: Metric, number: u64) {
    debug_assert!(metric.kind() == Kind::Counter && metric.labels().is_empty());
    metrics::counter!(metric.name()).increment(number);
}

/// Raises a counter without labels to a total that is kept elsewhere.
pub fn set_total(metric: Metric, total: u64) {
    debug_assert!(metric.kind() == Kind::Counter && metric.labels().is_empty());
    metrics::counter!(metric.name()).absolute(total);
}

/// Sets a gauge of the catalogue that has no labels.
pub fn set_gauge(metric: Metric, value: f64) {
    debug_assert!(metric.kind() == Kind::Gauge && metric.labels().is_empty());
    metrics::gauge!(metric.name()).set(value);
}

/// Sets how long ago the platform's log last answered a read of a topic.
pub fn set_log_age(topic: &'static str, age: Duration) {
    let ms = age.as_secs_f64() * 1_000.0;
    metrics::gauge!(Metric::LogAgeMs.name(), "topic" => topic).set(ms);
}

/// Sets the memory that clients make the host hold at a place.
pub fn set_client_memory(place: &'static str, bytes: usize) {
    metrics::gauge!(Metric::ClientMemoryBytes.name(), "place" => place).set(bytes as f64);
}

/// Counts connections of clients that the host ended.
pub fn count_ended_connections(reason: &'static str, count: u64) {
    metrics::counter!(Metric::ConnectionsEndedTotal.name(), "reason" => reason).increment(count);
}

/// Sets the version in force, and the newest that is known of.
pub fn set_config_version(in_force: u64, newest: u64) {
    metrics::gauge!(Metric::ConfigVersion.name()).set(in_force as f64);
    metrics::gauge!(Metric::ConfigNewestVersion.name()).set(newest.max(in_force) as f64);
}

/// Sets for how long a newer version than the one in force has been known of.
pub fn set_config_behind(behind: Duration) {
    metrics::gauge!(Metric::ConfigBehindMs.name()).set(behind.as_secs_f64() * 1_000.0);
}

/// Sets how long the last suspension was.
pub fn set_last_suspension(suspension: Duration) {
    metrics::gauge!(Metric::LastSuspensionMs.name()).set(suspension.as_secs_f64() * 1_000.0);
}

/// Sets the latest era of the log that is known.
pub fn set_log_era(era: u64) {
    metrics::gauge!(Metric::LogEra.name()).set(era as f64);
}

/// Sets how many data centres are evacuated.
pub fn set_evacuated(data_centres: usize) {
    metrics::gauge!(Metric::DataCentresEvacuated.name()).set(data_centres as f64);
}

/// Sets how many upstreams are taken for slow.
pub fn set_upstreams_slow(upstreams: usize) {
    metrics::gauge!(Metric::UpstreamsSlow.name()).set(upstreams as f64);
}

/// Sets how many upstreams name a limit on the request rate.
pub fn set_upstreams_limited(upstreams: usize) {
    metrics::gauge!(Metric::UpstreamsLimited.name()).set(upstreams as f64);
}

/// Sets how many upstreams are avoided for the failed calls of all hosts.
pub fn set_upstreams_failing(upstreams: usize) {
    metrics::gauge!(Metric::UpstreamsFailing.name()).set(upstreams as f64);
}

/// Sets how many contents of requests are held back, and how many are remembered as suspects.
pub fn set_suspects(held_back: usize, known: usize) {
    metrics::gauge!(Metric::SuspectsHeldBack.name()).set(held_back as f64);
    metrics::gauge!(Metric::SuspectsKnown.name()).set(known as f64);
}

/// Sets how many parts of prompts explain crashes of upstreams.
pub fn set_implicated_parts(parts: usize) {
    metrics::gauge!(Metric::PartsImplicated.name()).set(parts as f64);
}

fn elapsed_ms(from: Time, to: Time) -> f64 {
    to.since(from).as_secs_f64() * 1_000.0
}

#[cfg(test)]
mod tests;
