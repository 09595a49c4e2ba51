//! A gateway host with stand-ins of its own around it: a log, upstreams and callers that speak raw
//! HTTP, and a protocol whose names are the product's.

#![allow(clippy::unwrap_used, reason = "fixtures of tests")]

mod caller;
mod fakelog;
mod lines;
mod link;
mod protocol;
mod upstream;
mod upstreamlinks;

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cedargauge::clock::SystemClock;
use cedargauge::gateway::decisions::DecisionLog;
use cedargauge::gateway::host::GatewayHost;
use cedargauge::gateway::process::ReadSettings;
use cedargauge::gateway::retrybudget::RetryBudgetOptions;
use cedargauge::gateway::settings::GatewaySettings;
use cedargauge::gateway::settings::GatewaySettingsBuilder;
use cedargauge::gateway::settings::LoadFeatures;
use cedargauge::gateway::shared::Environment;
use cedargauge::id::DataCentre;
use cedargauge::id::HostId;
use cedargauge::id::Incarnation;
use cedargauge::id::RegionId;

pub use caller::Answer;
pub use caller::Caller;
pub use caller::ask;
pub use caller::header;
pub use fakelog::FakeLog;
pub use fakelog::Silence;
pub use lines::Lines;
pub use link::Link;
pub use link::SLOW_BYTES_PER_S;
pub use protocol::ProductProtocol;
pub use upstream::Behaviour;
pub use upstream::ConnectionEnd;
pub use upstream::Death;
pub use upstream::FakeUpstream;
pub use upstream::Pace;
pub use upstreamlinks::Cut;
pub use upstreamlinks::UpstreamLinks;

/// Hosts have run for this time, longer than any window of a bound, where a test doesn't say that they have just started.
const HAS_RUN: Duration = Duration::from_secs(60);

/// What must happen happens within this time.
pub const BOUND: Duration = Duration::from_secs(10);

/// Waits until `condition` holds; false if it doesn't within [`BOUND`].
pub fn wait_until(mut condition: impl FnMut() -> bool) -> bool {
    let ends = Instant::now() + BOUND;
    while Instant::now() < ends {
        if condition() {
            return true;
        }
        std::thread::yield_now();
        std::thread::park_timeout(Duration::from_millis(2));
    }
    false
}

/// A loopback address of its own for each world, so that its fixed ports meet nobody else's.
pub fn own_address() -> IpAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let pid = std::process::id().to_be_bytes();
    // The tests of one process start more worlds than one byte counts.
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let second = 10 + pid[2].wrapping_add(high.wrapping_mul(97)) % 200;
    IpAddr::V4(Ipv4Addr::new(127, second, pid[3], low))
}

/// Where the host of `address` serves its peers if a link stands before it.
fn inner_address(address: IpAddr) -> IpAddr {
    match address {
        IpAddr::V4(address) => {
            let [first, second, third, fourth] = address.octets();
            IpAddr::V4(Ipv4Addr::new(first, 210 + second % 45, third, fourth))
        }
        IpAddr::V6(_) => unreachable!("worlds have addresses of version 4"),
    }
}

/// A host that runs in a thread of its own.
pub struct World {
    pub log: FakeLog,
    pub address: IpAddr,
    /// What the host logs.
    pub lines: Lines,
    /// The host's links to upstreams.
    pub links: UpstreamLinks,
    settings: GatewaySettings,
    suspended_ms: &'static AtomicU64,
    drain: Option<oneshot::Sender<()>>,
    faults: mpsc::UnboundedSender<Fault>,
    thread: Option<JoinHandle<()>>,
}

/// What happens to a host's process.
enum Fault {
    /// It ends at once.
    Kill,
    /// It neither receives nor sends datagrams for this time.
    Stall(Duration),
}

impl World {
    /// Starts a host; it knows nothing until the log is filled.
    pub fn start() -> Self {
        let address = own_address();
        let log = FakeLog::start(address);
        World::start_host(settings(address, log.address()), log, HAS_RUN)
    }

    /// Starts `count` hosts of one data centre, each with an address of its own to one log. The first
    /// by name is the seed of all.
    pub fn start_fleet(count: usize) -> Vec<Self> {
        World::start_fleet_behind(count, None, HAS_RUN)
    }

    /// The same with decisions under load switched on.
    pub fn start_fleet_with(count: usize, features: LoadFeatures) -> Vec<Self> {
        let addresses: Vec<IpAddr> = (0..count).map(|_| own_address()).collect();
        let door = FakeLog::start(addresses[0]);
        World::start_fleet_of(&addresses, &door, None, HAS_RUN, features)
    }

    /// The same with hosts that have just started.
    pub fn start_new_fleet(count: usize) -> Vec<Self> {
        World::start_fleet_behind(count, None, Duration::ZERO)
    }

    /// The same with `links`, one a host, between each host and those who fetch from it.
    pub fn start_linked_fleet(links: &[Link]) -> Vec<Self> {
        World::start_fleet_behind(links.len(), Some(links), HAS_RUN)
    }

    /// Hosts that have just started at a log that is there already, each by a door of its own.
    pub fn start_fleet_at(log: &FakeLog, count: usize) -> Vec<Self> {
        let addresses: Vec<IpAddr> = (0..count).map(|_| own_address()).collect();
        let features = LoadFeatures::default();
        World::start_fleet_of(
            &addresses,
            &log.another_door(),
            None,
            Duration::ZERO,
            features,
        )
    }

    fn start_fleet_behind(count: usize, links: Option<&[Link]>, age: Duration) -> Vec<Self> {
        let addresses: Vec<IpAddr> = (0..count).map(|_| own_address()).collect();
        let features = LoadFeatures::default();
        World::start_fleet_of(
            &addresses,
            &FakeLog::start(addresses[0]),
            links,
            age,
            features,
        )
    }

    fn start_fleet_of(
        addresses: &[IpAddr],
        first_door: &FakeLog,
        links: Option<&[Link]>,
        age: Duration,
        features: LoadFeatures,
    ) -> Vec<Self> {
        let hosts = fleet_settings(addresses, first_door)
            .into_iter()
            .enumerate();
        hosts
            .map(|(index, (mut settings, door))| {
                settings.features = features;
                if let Some(links) = links {
                    let outside = settings.peer_address;
                    let inside = inner_address(outside.ip());
                    settings.peer_address.set_ip(inside);
                    links[index].connect(outside, settings.peer_address);
                }
                World::start_host(settings, door, age)
            })
            .collect()
    }

    /// Starts a host more beside the first one of a fleet, which is its seed; it has just started.
    pub fn join(first: &World) -> Self {
        let address = own_address();
        let mut settings = settings(address, first.log.address());
        settings.host = HostId::new(format!("host-{address}"));
        settings.seeds = vec![SocketAddr::new(first.address, PEER_PORT)];
        World::start_host(settings, first.log.clone(), Duration::ZERO)
    }

    fn start_host(settings: GatewaySettings, log: FakeLog, age: Duration) -> Self {
        let address = settings.caller_address.ip();
        let suspended_ms: &'static AtomicU64 = Box::leak(Box::default());
        let (started, ready) = channel();
        let (drain, drained) = oneshot::channel();
        let (faults, faulty) = mpsc::unbounded_channel();
        let lines = Lines::default();
        let (output, own_settings) = (lines.clone(), settings.clone());
        let links = UpstreamLinks::default();
        let connector = Arc::new(links.clone());
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let clock = SystemClock::of_suspended(suspended_ms).aged(age);
                let log = DecisionLog::with_output(Incarnation(1), clock, output);
                log.set_host(&settings.host);
                let environment = Environment {
                    protocol: Arc::new(ProductProtocol::default()),
                    clock,
                    log,
                    connector,
                };
                let host = GatewayHost::start(settings, environment, no_settings())
                    .await
                    .unwrap();
                started.send(()).unwrap();
                tokio::select! {
                    // Either a test asks for it or the world is dropped.
                    _ = drained => {
                        host.drain().await;
                    }
                    () = suffer(faulty) => {}
                }
            });
        });
        ready.recv().unwrap();
        World {
            log,
            address,
            lines,
            links,
            settings: own_settings,
            suspended_ms,
            drain: Some(drain),
            faults,
            thread: Some(thread),
        }
    }

    /// A host that serves `routes` by `upstreams`.
    pub fn serving(routes: Value, upstreams: &[&FakeUpstream]) -> Self {
        World::start().serve(routes, upstreams)
    }

    /// The same with settings that `configure` changes.
    pub fn serving_with(
        configure: impl FnOnce(&mut GatewaySettings),
        routes: Value,
        upstreams: &[&FakeUpstream],
    ) -> Self {
        let address = own_address();
        let log = FakeLog::start(address);
        let mut settings = settings(address, log.address());
        configure(&mut settings);
        World::start_host(settings, log, HAS_RUN).serve(routes, upstreams)
    }

    fn serve(self, routes: Value, upstreams: &[&FakeUpstream]) -> Self {
        let world = self;
        for upstream in upstreams {
            world.list(upstream, "ready");
        }
        world.log.put("operator", "table", &table(1, routes));
        assert!(wait_until(|| world.is_ready()), "the host is not ready");
        world
    }

    /// Lists an upstream in the log.
    pub fn list(&self, upstream: &FakeUpstream, state: &str) {
        self.log
            .put("upstreams", upstream.id(), &upstream.entry(state));
    }

    /// The host wakes after it was suspended for so long: clocks that count that time have jumped.
    pub fn wake_after(&self, suspended: Duration) {
        let ms = suspended.as_millis() as u64;
        self.suspended_ms.fetch_add(ms, Ordering::Relaxed);
    }

    /// Ends the host at once: from now on the others get nothing from it.
    pub fn kill(&self) {
        self.faults.send(Fault::Kill).unwrap();
    }

    /// Has the host neither receive nor send datagrams for this time, while it serves its callers.
    pub fn stall(&self, time: Duration) {
        self.faults.send(Fault::Stall(time)).unwrap();
    }

    /// Stops the host and starts it anew under its name; it has just started.
    pub fn restart(mut self) -> Self {
        self.wait_ended();
        World::start_host(self.settings.clone(), self.log.clone(), Duration::ZERO)
    }

    /// The host's name.
    pub fn name(&self) -> &str {
        self.settings.host.as_str()
    }

    /// Where the host receives datagrams.
    pub fn gossip_address(&self) -> SocketAddr {
        self.settings.gossip_address
    }

    /// The last `count` lines of the host's log, for the message of a failed check.
    pub fn last_lines(&self, count: usize) -> String {
        self.lines.last(count)
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.address, CALLER_PORT)
    }

    /// Whether the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        let ready = SocketAddr::new(self.address, READY_PORT);
        ask(ready, "GET /ready HTTP/1.1\r\nhost: x\r\n\r\n").status == 200
    }

    /// Whether the host has this version of the configuration or a newer one, as it tells its peers.
    pub fn has_version(&self, version: u64) -> bool {
        let peer = SocketAddr::new(self.address, PEER_PORT);
        let older = version - 1;
        let page =
            format!("GET /peer/configuration?newer_than={older} HTTP/1.1\r\nhost: x\r\n\r\n");
        ask(peer, &page).status == 200
    }

    /// Begins to stop the host.
    pub fn drain(&mut self) {
        if let Some(drain) = self.drain.take() {
            // The host may have ended by itself.
            let _ = drain.send(());
        }
    }

    /// Waits until the host has ended.
    pub fn wait_ended(&mut self) {
        self.drain();
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

/// The settings of a host in a test can't be read again.
fn no_settings() -> ReadSettings {
    Rc::new(|| anyhow::bail!("a test's host has no settings file"))
}

/// Returns when the process is to end.
async fn suffer(mut faults: mpsc::UnboundedReceiver<Fault>) {
    while let Some(fault) = faults.recv().await {
        match fault {
            Fault::Kill => return,
            // The thread that runs this also receives and sends the host's datagrams.
            Fault::Stall(time) => std::thread::sleep(time),
        }
    }
    // The world is dropped, and with it the sender of what drains the host.
    std::future::pending().await
}

/// The settings of hosts of one data centre, of which the first is the seed of all, each with a door of its own to
/// the log.
fn fleet_settings(addresses: &[IpAddr], first_door: &FakeLog) -> Vec<(GatewaySettings, FakeLog)> {
    let seed = SocketAddr::new(addresses[0], PEER_PORT);
    let hosts = addresses.iter().enumerate().map(|(index, address)| {
        let door = match index {
            0 => first_door.clone(),
            _ => first_door.another_door(),
        };
        let mut settings = settings(*address, door.address());
        settings.host = HostId::new(format!("host-{index:02}"));
        settings.seeds = vec![seed];
        (settings, door)
    });
    hosts.collect()
}

const CALLER_PORT: u16 = 8000;
const READY_PORT: u16 = 8001;
const PEER_PORT: u16 = 8002;

fn settings(address: IpAddr, log_address: SocketAddr) -> GatewaySettings {
    let at = |port| SocketAddr::new(address, port);
    GatewaySettingsBuilder::default()
        .host(HostId::new("host-0"))
        .data_centre(DataCentre::new("north"))
        .caller_address(at(CALLER_PORT))
        .ready_address(at(READY_PORT))
        .peer_address(at(PEER_PORT))
        .gossip_address(at(8003))
        .metrics_address(at(8004))
        .seeds(Vec::new())
        .log_address(log_address)
        .retries(RetryBudgetOptions {
            ratio: 0.2,
            allowance: 50.0,
            window: Duration::from_secs(10),
        })
        .staleness_max(Duration::from_secs(2))
        .grace(Duration::from_secs(4))
        .regions(regions())
        .build()
        .unwrap()
}

/// The data centres `north` and `east` lie in one region, `south` in another.
fn regions() -> HashMap<DataCentre, RegionId> {
    let places = [("north", "valley"), ("east", "valley"), ("south", "coast")];
    let places = places.map(|(place, region)| (DataCentre::new(place), RegionId::new(region)));
    HashMap::from(places)
}

/// A configuration with one customer.
pub fn table(version: u64, routes: Value) -> Value {
    json!({"version": version, "routes": routes, "keys": {"key-1": "canton"}})
}

/// A route of `kind` for everything under `/nets/`.
pub fn route(kind: &str) -> Value {
    route_to(kind, "nets")
}

/// The same to a service of that name.
pub fn route_to(kind: &str, service: &str) -> Value {
    json!({"name": "nets", "host": "a.example", "prefix": "/nets/", "kind": kind,
           "timeout_ms": 4000, "objective_ms": 1000, "service": service, "attempts": 2})
}
