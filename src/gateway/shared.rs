//! State shared by all parts of a gateway host: the active configuration, the directory of upstreams,
//! the peers, the loads and the decision log.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::clock::SystemClock;
use crate::clock::Time;
use crate::ejection::Ejector;
use crate::gate::Gate;
use crate::gateway::answerguard::AnswerMemory;
use crate::gateway::bodymemory::BodyMemory;
use crate::gateway::brittle::BrittleUpstreams;
use crate::gateway::callerconnections::CALLER_DESCRIPTOR_SHARE;
use crate::gateway::callerconnections::CallerConnections;
use crate::gateway::callerconnections::INTERNAL_DESCRIPTOR_SHARE;
use crate::gateway::cold::ColdBudget;
use crate::gateway::connection::Connector;
use crate::gateway::contact::UpstreamContact;
use crate::gateway::decisions::DecisionLog;
use crate::gateway::directory::Directory;
use crate::gateway::document::assembly::Assembly;
use crate::gateway::document::catchup::CatchUp;
use crate::gateway::document::transfers::Transfers;
use crate::gateway::failurerates::FailureRates;
use crate::gateway::httpserver::InternalPort;
use crate::gateway::instance::InstanceId;
use crate::gateway::joining::SeedState;
use crate::gateway::limitclaims::LimitClaims;
use crate::gateway::loads::SharedLoads;
use crate::gateway::logreads::LogReads;
use crate::gateway::memorybudget::MemoryBudget;
use crate::gateway::movequeue::MoveQueueHandle;
use crate::gateway::partition::PartitionDetector;
use crate::gateway::peerfetch::ListCache;
use crate::gateway::peers::Fetch;
use crate::gateway::peers::Peers;
use crate::gateway::placement::PlacementContext;
use crate::gateway::placement::RemoteCounts;
use crate::gateway::position::Era;
use crate::gateway::protocol::Protocol;
use crate::gateway::queue::QueueHandle;
use crate::gateway::reachability::Reachability;
use crate::gateway::relayedchanges::RelayedChanges;
use crate::gateway::reportedloads::ReportedLoads;
use crate::gateway::rests::Rests;
use crate::gateway::retrybudget::SharedRetryBudget;
use crate::gateway::rollouts::evidence::EvidenceStore;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::speeds::Speeds;
use crate::gateway::stopping;
use crate::gateway::stopping::StopStage;
use crate::gateway::suspects::Suspects;
use crate::gateway::suspension::SuspensionDetector;
use crate::gateway::tunnel::carrier::CarrierLimits;
use crate::gateway::tunnel::carriers::FailedCarriers;
use crate::gateway::unconfirmed::UnconfirmedEvidence;
use crate::gateway::upstreamlimits::Bound;
use crate::gateway::upstreamlimits::UpstreamLimits;
use crate::id::ServiceId;

mod activeconfig;
mod catchup;
mod changes;
mod evacuations;
mod health;
mod limits;
mod logera;
mod logreads;
pub(crate) mod queueing;
mod remoteloads;
mod rollouts;
mod speeds;
mod suspects;
mod suspension;

pub use self::activeconfig::ActiveConfig;
pub(crate) use self::changes::ChangeSource;
pub(crate) use self::limits::Hold;
pub(crate) use self::logera::StaleAnswer;
use self::queueing::Queueing;
pub(crate) use self::rollouts::Freshness;
pub(crate) use self::rollouts::OpenRollout;
pub(crate) use self::suspects::PROOF_TIME;

/// What a host has of its platform and its process.
#[derive(Debug, Clone)]
pub struct Environment {
    /// The platform's wire names and formats.
    pub protocol: Arc<dyn Protocol>,
    /// Monotonic time since the process started.
    pub clock: SystemClock,
    /// The decision log.
    pub log: DecisionLog,
    /// Opens connections to upstreams.
    pub connector: Arc<dyn Connector>,
}

/// Shared state of a host. Cloning it copies a reference to the same state.
#[derive(Debug, Clone)]
pub struct Shared(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    settings: GatewaySettings,
    protocol: Arc<dyn Protocol>,
    clock: SystemClock,
    log: DecisionLog,
    connector: Arc<dyn Connector>,
    gate: Arc<Gate>,
    loads: SharedLoads,
    load_reports: watch::Sender<u64>,
    load_queries: watch::Sender<u64>,
    move_queues: MoveQueueHandle,
    queues: QueueHandle,
    active_config: RwLock<Option<ActiveConfig>>,
    directory: Mutex<Directory>,
    directory_changed: watch::Sender<u64>,
    relayed_changes: Mutex<RelayedChanges>,
    peers: Mutex<Peers>,
    ejector: Mutex<Ejector<InstanceId>>,
    reachability: Mutex<Reachability>,
    contact: Mutex<UpstreamContact>,
    unconfirmed: Mutex<UnconfirmedEvidence>,
    failed_carriers: Mutex<FailedCarriers>,
    carrier_limits: Mutex<CarrierLimits>,
    caller_connections: CallerConnections,
    internal_connections: [CallerConnections; InternalPort::ALL.len()],
    answer_memory: AnswerMemory,
    body_memory: BodyMemory,
    memory_budget: MemoryBudget,
    failure_rates: Mutex<FailureRates>,
    reported_loads: Mutex<ReportedLoads>,
    speeds: Mutex<Speeds>,
    cold_budget: Mutex<ColdBudget>,
    upstream_limits: Mutex<UpstreamLimits>,
    limit_claims: Mutex<LimitClaims>,
    rejection_limits: Mutex<UpstreamLimits>,
    brittle: Mutex<BrittleUpstreams>,
    rests: Mutex<Rests>,
    suspects: Mutex<Suspects>,
    evidence: Mutex<EvidenceStore>,
    suspension: Mutex<SuspensionDetector>,
    wakeups: watch::Sender<u64>,
    log_era: Mutex<Era>,
    /// The log era in which an unreadable era was last logged, so that it is logged once per era.
    bad_era_logged_in: Mutex<Option<Era>>,
    retry_budgets: Mutex<HashMap<ServiceId, SharedRetryBudget>>,
    log_reads: Mutex<LogReads>,
    announcements: watch::Sender<u64>,
    read_changes: watch::Sender<u64>,
    shutdown: OnceLock<ShutdownTimes>,
    stop_stage: watch::Sender<StopStage>,
    seed_state: Mutex<SeedState>,
    partition: Mutex<PartitionDetector>,
    config_version: AtomicU64,
    catch_up: Mutex<CatchUp>,
    assembly: Mutex<Option<Assembly>>,
    transfers: Mutex<BTreeMap<Fetch, Transfers>>,
    list_catch_up: Mutex<CatchUp>,
    list_cache: Mutex<ListCache>,
    queueing: Queueing,
}

/// When a shutdown began, and when the requests that remain end.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShutdownTimes {
    /// When the shutdown began.
    pub(crate) began: Instant,
    /// When requests without the head of an answer are answered by the host.
    pub(crate) answer_at: Instant,
    /// When streams are aborted.
    pub(crate) abort_at: Instant,
}

impl ShutdownTimes {
    /// Time since the shutdown began.
    pub(crate) fn stopping_for(&self) -> Duration {
        self.began.elapsed()
    }

    /// Time until requests without the head of an answer are answered by the host.
    pub(crate) fn answering_in(&self) -> Duration {
        self.answer_at.saturating_duration_since(Instant::now())
    }

    /// Time until streams are aborted.
    pub(crate) fn aborting_in(&self) -> Duration {
        self.abort_at.saturating_duration_since(Instant::now())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// Creates the state of a host that has no configuration, upstreams or peers yet.
    pub fn new(settings: GatewaySettings, environment: Environment) -> Self {
        let Environment {
            protocol,
            clock,
            log,
            connector,
        } = environment;
        let data_centre = settings.data_centre.clone();
        let peers = Peers::new(settings.gossip_address, data_centre, &settings.seeds);
        let budget = MemoryBudget::of_process(settings.memory_bytes_max);
        let connections = |max, share| {
            let max = CallerConnections::bound(max, settings.descriptors_max, share);
            CallerConnections::new(max, budget.clone())
        };
        let callers_max = settings.caller_connections_max;
        let caller_connections = connections(callers_max, CALLER_DESCRIPTOR_SHARE);
        let internal_max = settings.internal_connections_max;
        let internal_connections =
            InternalPort::ALL.map(|_| connections(internal_max, INTERNAL_DESCRIPTOR_SHARE));
        let body_memory = BodyMemory::new(settings.memory_bytes_max, budget.clone());
        let answer_memory = AnswerMemory::new(settings.memory_bytes_max, budget.clone());
        Shared(Arc::new(Inner {
            settings,
            protocol,
            clock,
            log,
            connector,
            gate: Gate::new(),
            loads: SharedLoads::default(),
            load_reports: watch::channel(0).0,
            load_queries: watch::channel(0).0,
            move_queues: MoveQueueHandle::default(),
            queues: QueueHandle::default(),
            active_config: RwLock::new(None),
            directory: Mutex::default(),
            directory_changed: watch::channel(0).0,
            relayed_changes: Mutex::default(),
            peers: Mutex::new(peers),
            ejector: Mutex::new(Ejector::new(Default::default())),
            reachability: Mutex::default(),
            contact: Mutex::default(),
            unconfirmed: Mutex::default(),
            failed_carriers: Mutex::default(),
            caller_connections,
            internal_connections,
            answer_memory,
            body_memory,
            memory_budget: budget,
            carrier_limits: Mutex::new(CarrierLimits::new(clock.now())),
            failure_rates: Mutex::default(),
            reported_loads: Mutex::default(),
            speeds: Mutex::default(),
            cold_budget: Mutex::default(),
            upstream_limits: Mutex::new(UpstreamLimits::new(Bound::Requests, rand::random())),
            limit_claims: Mutex::default(),
            rejection_limits: Mutex::new(UpstreamLimits::new(Bound::Rejections, rand::random())),
            brittle: Mutex::new(BrittleUpstreams::new(rand::random())),
            rests: Mutex::default(),
            suspects: Mutex::default(),
            evidence: Mutex::default(),
            suspension: Mutex::default(),
            wakeups: watch::channel(0).0,
            log_era: Mutex::default(),
            bad_era_logged_in: Mutex::default(),
            retry_budgets: Mutex::default(),
            log_reads: Mutex::default(),
            announcements: watch::channel(0).0,
            read_changes: watch::channel(0).0,
            shutdown: OnceLock::new(),
            stop_stage: watch::channel(StopStage::Serving).0,
            seed_state: Mutex::new(SeedState::Unknown),
            partition: Mutex::default(),
            config_version: AtomicU64::new(0),
            catch_up: Mutex::new(CatchUp::new(rand::random())),
            assembly: Mutex::default(),
            transfers: Mutex::default(),
            list_catch_up: Mutex::new(CatchUp::new(rand::random())),
            list_cache: Mutex::default(),
            queueing: Queueing::new(rand::random()),
        }))
    }

    /// The host's settings.
    pub fn settings(&self) -> &GatewaySettings {
        &self.0.settings
    }

    /// The platform's wire names and formats.
    pub fn protocol(&self) -> &dyn Protocol {
        self.0.protocol.as_ref()
    }

    /// Opens connections to upstreams.
    pub(crate) fn connector(&self) -> &dyn Connector {
        self.0.connector.as_ref()
    }

    /// Monotonic time since the process started.
    pub fn now(&self) -> Time {
        self.0.clock.now()
    }

    /// The decision log, which this host writes (not the platform's log, which it reads).
    pub fn log(&self) -> &DecisionLog {
        &self.0.log
    }

    /// The host's shutdown state and its requests in flight.
    pub fn gate(&self) -> &Arc<Gate> {
        &self.0.gate
    }

    /// The requests that run at each upstream, as known to this host.
    pub fn loads(&self) -> &SharedLoads {
        &self.0.loads
    }

    /// The queued generations, and the observed speed of engines.
    pub(crate) fn queues(&self) -> &QueueHandle {
        &self.0.queues
    }

    /// The order in which generations are moved off leaving engines.
    pub fn move_queues(&self) -> &MoveQueueHandle {
        &self.0.move_queues
    }

    /// Runs `use_directory` on the locked directory of upstreams.
    pub fn directory<T>(&self, use_directory: impl FnOnce(&mut Directory) -> T) -> T {
        use_directory(&mut lock(&self.0.directory))
    }

    /// Runs `use_peers` on the locked table of other hosts.
    pub fn peers<T>(&self, use_peers: impl FnOnce(&mut Peers) -> T) -> T {
        use_peers(&mut lock(&self.0.peers))
    }

    /// Notifies when the next datagram to peers should go out at once.
    pub fn watch_announcements(&self) -> watch::Receiver<u64> {
        self.0.announcements.subscribe()
    }

    /// Sends the next datagram to peers at once instead of at the end of the interval.
    pub fn announce_now(&self) {
        self.0.announcements.send_modify(|count| *count += 1);
    }

    /// Begins the shutdown.
    pub(crate) fn begin_shutdown(&self, times: ShutdownTimes) {
        self.0.shutdown.get_or_init(|| times);
        self.gate().shut();
        self.enter_stop_stage(StopStage::Draining);
        self.announce_now();
    }

    /// Tells the requests how far the shutdown has come.
    pub(crate) fn enter_stop_stage(&self, stage: StopStage) {
        self.0.stop_stage.send_replace(stage);
    }

    /// Returns once the shutdown has come to `stage`.
    pub(crate) async fn wait_stop_stage(&self, stage: StopStage) {
        stopping::wait_stage(&mut self.watch_stop_stage(), stage).await;
    }

    /// Tells how far the shutdown has come.
    pub(crate) fn watch_stop_stage(&self) -> watch::Receiver<StopStage> {
        self.0.stop_stage.subscribe()
    }

    /// The times of the shutdown, if it has begun.
    pub(crate) fn shutdown_times(&self) -> Option<&ShutdownTimes> {
        self.0.shutdown.get()
    }

    /// Whether the host reports ready to the load balancer: it is initialized, not shutting down, not
    /// resuming from a suspension and not partitioned from its upstreams.
    pub fn is_ready(&self) -> bool {
        let is_up_to_date = self.is_initialized() && !self.is_resuming();
        !self.gate().is_shutting_down() && is_up_to_date && !self.is_partitioned()
    }

    /// Whether client connections are closed after a response, so that clients reconnect to another host.
    pub(crate) fn closes_connections(&self) -> bool {
        self.gate().is_shutting_down()
            || self.is_partitioned()
            || self.0.caller_connections.is_crowded()
    }

    /// The memory that whole answers take.
    pub(crate) fn answer_memory(&self) -> &AnswerMemory {
        &self.0.answer_memory
    }

    /// The memory that the bodies of requests take.
    pub(crate) fn body_memory(&self) -> &BodyMemory {
        &self.0.body_memory
    }

    /// The open connections of callers.
    pub(crate) fn caller_connections(&self) -> &CallerConnections {
        &self.0.caller_connections
    }

    /// The open connections at an address that isn't the callers'.
    pub(crate) fn internal_connections(&self, port: InternalPort) -> &CallerConnections {
        &self.0.internal_connections[port as usize]
    }

    /// The memory that callers can make the host hold.
    pub(crate) fn memory_budget(&self) -> &MemoryBudget {
        &self.0.memory_budget
    }

    /// Whether the host has a configuration and a list of upstreams, and knows which data centres are
    /// evacuated.
    pub(crate) fn is_initialized(&self) -> bool {
        let knows_upstreams =
            |directory: &mut Directory| !directory.is_empty() && directory.evacuations().is_known();
        self.configuration().is_some() && self.directory(knows_upstreams)
    }

    /// Whether the host could connect to a seed when it started.
    pub(crate) fn seed_state(&self) -> SeedState {
        *lock(&self.0.seed_state)
    }

    /// Records whether the host could connect to a seed.
    pub(crate) fn set_seed_state(&self, seeds: SeedState) {
        *lock(&self.0.seed_state) = seeds;
    }

    /// Number of live hosts, including this one.
    pub fn live_hosts(&self) -> usize {
        let now = self.now();
        self.peers(|peers| peers.count_live(now)) + 1
    }

    /// Upper estimate of the fleet's size: the largest number of hosts that a peer announces or that this
    /// host counts, capped at the largest supported fleet.
    pub(crate) fn fleet_size_estimate(&self) -> u32 {
        const HOSTS_MAX: u32 = 4_000;
        let now = self.now();
        self.peers(|peers| peers.live_max(now)).min(HOSTS_MAX)
    }

    /// Number of hosts among which fleet-wide limits are divided, including this one.
    pub fn sharing_hosts(&self) -> usize {
        let now = self.now();
        self.peers(|peers| peers.sharing_hosts(now))
    }

    /// Whether the fleet is small enough that each host sends its full state to all others and reads the
    /// log itself.
    pub(crate) fn is_small_fleet(&self) -> bool {
        let now = self.now();
        self.peers(|peers| peers.is_small_fleet(now))
    }

    /// How old the load counts of other data centres are. They are fresh in a small fleet, where each host
    /// sends its counts to all others.
    pub fn remote_counts(&self) -> RemoteCounts {
        match self.is_small_fleet() {
            true => RemoteCounts::Fresh,
            false => RemoteCounts::Stale,
        }
    }

    /// This host's point of view for choosing upstreams.
    pub fn view(&self) -> PlacementContext<'_> {
        PlacementContext {
            data_centre: &self.settings().data_centre,
            remote_counts: self.remote_counts(),
        }
    }

    /// Runs `use_budget` on the locked retry budget of a service.
    pub fn retry_budget<T>(
        &self,
        service: &ServiceId,
        use_budget: impl FnOnce(&mut SharedRetryBudget) -> T,
    ) -> T {
        let mut budgets = lock(&self.0.retry_budgets);
        if !budgets.contains_key(service) {
            let budget = SharedRetryBudget::new(self.settings().retries, rand::random());
            budgets.insert(service.clone(), budget);
        }
        let budget = budgets
            .get_mut(service)
            .expect("the budget was just inserted");
        use_budget(budget)
    }

    /// The address at which this host receives datagrams.
    pub fn gossip_address(&self) -> SocketAddr {
        self.settings().gossip_address
    }
}
