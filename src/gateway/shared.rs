//! What all parts of a gateway host share: the configuration in force, the upstreams, the peers,
//! the loads, and the log of decisions.

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
use crate::gateway::cold::ColdBudget;
use crate::gateway::cutoff::CutOff;
use crate::gateway::decisions::DecisionLog;
use crate::gateway::directory::Directory;
use crate::gateway::document::assembly::Assembly;
use crate::gateway::document::catchup::CatchUp;
use crate::gateway::document::transfers::Transfers;
use crate::gateway::hearsay::Hearsay;
use crate::gateway::instance::InstanceId;
use crate::gateway::joining::Seeds;
use crate::gateway::line::LineBoard;
use crate::gateway::loads::LoadBoard;
use crate::gateway::peerfetch::ListCache;
use crate::gateway::peers::Fetch;
use crate::gateway::peers::Peers;
use crate::gateway::place::FarCounts;
use crate::gateway::place::View;
use crate::gateway::position::Era;
use crate::gateway::protocol::Protocol;
use crate::gateway::reach::Reach;
use crate::gateway::reading::ReadingBoard;
use crate::gateway::reportedloads::ReportedLoads;
use crate::gateway::retrybudget::SharedRetryBudget;
use crate::gateway::rollouts::evidence::EvidenceStore;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::suspects::Suspects;
use crate::gateway::turns::TurnBoard;
use crate::gateway::wakefulness::Wakefulness;
use crate::id::ServiceId;

mod changes;
mod coldness;
mod evacuating;
mod farloads;
mod health;
mod inforce;
mod logera;
mod logreading;
mod newer;
mod rolling;
mod suspicion;
mod waking;

pub(crate) use self::changes::ToldBy;
pub use self::inforce::InForce;
pub(crate) use self::logera::Outdated;
pub(crate) use self::rolling::Freshness;
pub(crate) use self::rolling::OpenRollout;

/// Shared state of a host; clones are handles.
#[derive(Debug, Clone)]
pub struct Shared(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    settings: GatewaySettings,
    protocol: Arc<dyn Protocol>,
    clock: SystemClock,
    log: DecisionLog,
    gate: Arc<Gate>,
    loads: LoadBoard,
    words: watch::Sender<u64>,
    asks: watch::Sender<u64>,
    turns: TurnBoard,
    lines: LineBoard,
    in_force: RwLock<Option<InForce>>,
    directory: Mutex<Directory>,
    directory_changed: watch::Sender<u64>,
    hearsay: Mutex<Hearsay>,
    peers: Mutex<Peers>,
    ejector: Mutex<Ejector<InstanceId>>,
    reach: Mutex<Reach>,
    reported_loads: Mutex<ReportedLoads>,
    cold_budget: Mutex<ColdBudget>,
    suspects: Mutex<Suspects>,
    evidences: Mutex<EvidenceStore>,
    wakefulness: Mutex<Wakefulness>,
    wakes: watch::Sender<u64>,
    log_era: Mutex<Era>,
    /// The history of the log in which it last told an era that can't be read.
    bad_era_in: Mutex<Option<Era>>,
    budgets: Mutex<HashMap<ServiceId, SharedRetryBudget>>,
    reading: Mutex<ReadingBoard>,
    news: watch::Sender<u64>,
    changes_read: watch::Sender<u64>,
    stops_at: OnceLock<Instant>,
    seeds: Mutex<Seeds>,
    cut_off: Mutex<CutOff>,
    config_version: AtomicU64,
    catch_up: Mutex<CatchUp>,
    assembly: Mutex<Option<Assembly>>,
    transfers: Mutex<BTreeMap<Fetch, Transfers>>,
    list_catch_up: Mutex<CatchUp>,
    list_cache: Mutex<ListCache>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// The state of a host that knows nothing yet.
    pub fn new(
        settings: GatewaySettings,
        protocol: Arc<dyn Protocol>,
        clock: SystemClock,
        log: DecisionLog,
    ) -> Self {
        let data_centre = settings.data_centre.clone();
        let peers = Peers::new(settings.gossip_address, data_centre, &settings.seeds);
        Shared(Arc::new(Inner {
            settings,
            protocol,
            clock,
            log,
            gate: Gate::new(),
            loads: LoadBoard::default(),
            words: watch::channel(0).0,
            asks: watch::channel(0).0,
            turns: TurnBoard::default(),
            lines: LineBoard::default(),
            in_force: RwLock::new(None),
            directory: Mutex::default(),
            directory_changed: watch::channel(0).0,
            hearsay: Mutex::default(),
            peers: Mutex::new(peers),
            ejector: Mutex::new(Ejector::new(Default::default())),
            reach: Mutex::default(),
            reported_loads: Mutex::default(),
            cold_budget: Mutex::default(),
            suspects: Mutex::default(),
            evidences: Mutex::default(),
            wakefulness: Mutex::default(),
            wakes: watch::channel(0).0,
            log_era: Mutex::default(),
            bad_era_in: Mutex::default(),
            budgets: Mutex::default(),
            reading: Mutex::default(),
            news: watch::channel(0).0,
            changes_read: watch::channel(0).0,
            stops_at: OnceLock::new(),
            seeds: Mutex::new(Seeds::Unknown),
            cut_off: Mutex::default(),
            config_version: AtomicU64::new(0),
            catch_up: Mutex::new(CatchUp::new(rand::random())),
            assembly: Mutex::default(),
            transfers: Mutex::default(),
            list_catch_up: Mutex::new(CatchUp::new(rand::random())),
            list_cache: Mutex::default(),
        }))
    }

    /// The host's settings.
    pub fn settings(&self) -> &GatewaySettings {
        &self.0.settings
    }

    /// The platform's names and formats.
    pub fn protocol(&self) -> &dyn Protocol {
        self.0.protocol.as_ref()
    }

    /// Monotonic time.
    pub fn now(&self) -> Time {
        self.0.clock.now()
    }

    /// The log of decisions.
    pub fn log(&self) -> &DecisionLog {
        &self.0.log
    }

    /// Readiness and requests in flight.
    pub fn gate(&self) -> &Arc<Gate> {
        &self.0.gate
    }

    /// What runs where.
    pub fn loads(&self) -> &LoadBoard {
        &self.0.loads
    }

    /// Generations that wait for room, and the pace of engines.
    pub(crate) fn lines(&self) -> &LineBoard {
        &self.0.lines
    }

    /// Whose turn it is to move runs off leaving engines.
    pub fn turns(&self) -> &TurnBoard {
        &self.0.turns
    }

    /// Runs `use_directory` on the upstreams.
    pub fn directory<T>(&self, use_directory: impl FnOnce(&mut Directory) -> T) -> T {
        use_directory(&mut locked(&self.0.directory))
    }

    /// Runs `use_peers` on the other hosts.
    pub fn peers<T>(&self, use_peers: impl FnOnce(&mut Peers) -> T) -> T {
        use_peers(&mut locked(&self.0.peers))
    }

    /// Wakes when peers should be told something at once.
    pub fn news_watch(&self) -> watch::Receiver<u64> {
        self.0.news.subscribe()
    }

    /// Has the next datagram go out at once.
    pub fn tell_news(&self) {
        self.0.news.send_modify(|count| *count += 1);
    }

    /// The host is stopping; what runs then is cut at `stops_at`.
    pub fn stop_at(&self, stops_at: Instant) {
        self.0.stops_at.get_or_init(|| stops_at);
        self.gate().shut();
        self.tell_news();
    }

    /// Time until what runs is cut, if the host is stopping.
    pub fn stops_in(&self) -> Option<Duration> {
        let stops_at = self.0.stops_at.get()?;
        Some(stops_at.saturating_duration_since(Instant::now()))
    }

    /// Whether the host can serve requests better than others.
    pub fn is_ready(&self) -> bool {
        let is_up_to_date = self.is_informed() && !self.is_waking();
        !self.gate().is_shutting_down() && is_up_to_date && !self.is_cut_off()
    }

    /// Whether callers do better with another host, so that their connections are closed after an
    /// answer.
    pub(crate) fn sends_callers_away(&self) -> bool {
        self.gate().is_shutting_down() || self.is_cut_off()
    }

    /// Whether the host has a configuration and upstreams, and knows which of them are evacuated.
    pub(crate) fn is_informed(&self) -> bool {
        let knows_upstreams =
            |directory: &mut Directory| !directory.is_empty() && directory.evacuations().is_known();
        self.configuration().is_some() && self.directory(knows_upstreams)
    }

    /// Whether the seeds could be connected to when the host started.
    pub(crate) fn seeds(&self) -> Seeds {
        *locked(&self.0.seeds)
    }

    /// The seeds were tried.
    pub(crate) fn set_seeds(&self, seeds: Seeds) {
        *locked(&self.0.seeds) = seeds;
    }

    /// Live hosts, this one among them.
    pub fn hosts(&self) -> usize {
        let now = self.now();
        self.peers(|peers| peers.live(now)) + 1
    }

    /// The most hosts that others tell of, or that this one counts; bounded to what a fleet may have.
    pub(crate) fn told_hosts(&self) -> u32 {
        const HOSTS_MAX: u32 = 4_000;
        let now = self.now();
        self.peers(|peers| peers.told(now)).min(HOSTS_MAX)
    }

    /// Hosts among which bounds of the fleet are divided, this one among them.
    pub fn sharing_hosts(&self) -> usize {
        let now = self.now();
        self.peers(|peers| peers.sharing(now))
    }

    /// Whether hosts are so few that each tells all others all, and reads the log for itself.
    pub(crate) fn is_small_fleet(&self) -> bool {
        let now = self.now();
        self.peers(|peers| peers.is_small(now))
    }

    /// How old the counts of what runs in other data centres are: few hosts tell all of it to all.
    pub fn far_counts(&self) -> FarCounts {
        match self.is_small_fleet() {
            true => FarCounts::Fresh,
            false => FarCounts::Old,
        }
    }

    /// From where upstreams are chosen.
    pub fn view(&self) -> View<'_> {
        View {
            here: &self.settings().data_centre,
            far_counts: self.far_counts(),
        }
    }

    /// Runs `use_budget` on the retry budget of a service.
    pub fn budget<T>(
        &self,
        service: &ServiceId,
        use_budget: impl FnOnce(&mut SharedRetryBudget) -> T,
    ) -> T {
        let mut budgets = locked(&self.0.budgets);
        if !budgets.contains_key(service) {
            let budget = SharedRetryBudget::new(self.settings().retries, rand::random());
            budgets.insert(service.clone(), budget);
        }
        let budget = budgets
            .get_mut(service)
            .expect("the budget was just inserted");
        use_budget(budget)
    }

    /// Where this host listens for datagrams.
    pub fn gossip_address(&self) -> SocketAddr {
        self.settings().gossip_address
    }
}
