//! Several hosts' limits over a fake network in virtual time: the decision code itself, seeded.

#![allow(dead_code, reason = "each test program uses a part")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use cedargauge::clock::Time;
use cedargauge::enforcer::Enforcer;
use cedargauge::id::CustomerId;
use cedargauge::id::HostId;
use cedargauge::lending::Lender;
use cedargauge::lending::LendingOptions;
use cedargauge::limits::AdmissionId;
use cedargauge::limits::LimitOptions;
use cedargauge::limits::Standing;
use cedargauge::ownership::Ownership;
use cedargauge::peer::Allowance;
use cedargauge::peer::Demand;
use cedargauge::row::CustomerRow;

/// Virtual time goes on in steps of this length.
const STEP: Duration = Duration::from_millis(10);

/// A host that others don't hear for this long is taken for dead.
const DETECTION: Duration = Duration::from_secs(2);

/// What is measured of a customer over a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Measured {
    /// Requests offered.
    pub offered: u64,
    /// Requests admitted.
    pub admitted: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Most generations that ran at once.
    pub running_max: usize,
}

/// How much a customer's callers ask for.
#[derive(Debug, Clone)]
pub struct Load {
    /// The customer.
    pub row: CustomerRow,
    /// Requests a second at each host; a host that isn't named gets none.
    pub requests_per_s: BTreeMap<HostId, f64>,
    /// How long a generation runs.
    pub hold: Duration,
    /// Tokens that it generates, told when it ends.
    pub tokens: u32,
}

/// The hosts.
pub struct Fleet {
    now: Time,
    delay: Duration,
    lost_percent: u32,
    rng: ChaCha8Rng,
    hosts: BTreeMap<HostId, Host>,
    cut: BTreeMap<HostId, Time>,
    loads: Vec<Load>,
    packets: BTreeMap<(Time, u64), Packet>,
    packets_sent: u64,
}

struct Host {
    enforcer: Enforcer,
    lender: Lender<HostId>,
    view: Ownership,
    next_period: Time,
    running: BTreeMap<(Time, u64), Running>,
    queued: BTreeMap<AdmissionId, Load>,
    started: u64,
}

struct Running {
    customer: CustomerId,
    id: AdmissionId,
    tokens: u32,
}

enum Packet {
    Demand {
        from: HostId,
        to: HostId,
        demand: Demand,
    },
    Allowance {
        from: HostId,
        to: HostId,
        allowance: Allowance,
    },
}

impl Packet {
    fn ends(&self) -> [&HostId; 2] {
        match self {
            Packet::Demand { from, to, .. } | Packet::Allowance { from, to, .. } => [from, to],
        }
    }
}

impl Fleet {
    /// So many hosts, named `h1` and so on.
    pub fn new(hosts: usize, seed: u64) -> Self {
        let names: Vec<HostId> = (1..=hosts).map(|n| HostId::new(format!("h{n}"))).collect();
        let mut fleet = Fleet {
            now: Time::from_ms(1_000),
            delay: Duration::from_millis(2),
            lost_percent: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            cut: BTreeMap::new(),
            loads: Vec::new(),
            packets: BTreeMap::new(),
            packets_sent: 0,
        };
        for (index, name) in names.into_iter().enumerate() {
            fleet.hosts.insert(name, Host::new(index, hosts));
        }
        fleet.agree();
        fleet
    }

    /// Messages are lost with this probability, in percent, and take up to this long.
    pub fn worsen(&mut self, lost_percent: u32, delay: Duration) {
        self.lost_percent = lost_percent;
        self.delay = delay;
    }

    /// Replaces the customer's load.
    pub fn load(&mut self, load: Load) {
        let customer = load.row.customer.clone();
        self.loads.retain(|known| known.row.customer != customer);
        self.loads.push(load);
    }

    /// Cuts a host off from the others; its callers still reach it.
    pub fn cut(&mut self, host: &HostId) {
        self.cut.insert(host.clone(), self.now);
    }

    /// Ends a host; its callers go nowhere.
    pub fn kill(&mut self, host: &HostId) {
        self.hosts.remove(host);
        self.agree();
    }

    /// Connects a host again.
    pub fn heal(&mut self, host: &HostId) {
        self.cut.remove(host);
        self.agree();
    }

    /// The host that lends the customer's limits now.
    pub fn owner(&self, customer: &CustomerId) -> HostId {
        let owner = self.reachable().limits_owner(customer).cloned();
        owner.expect("a host is left")
    }

    /// Goes on for `duration` and tells what became of each customer's requests.
    pub fn run(&mut self, duration: Duration) -> BTreeMap<CustomerId, Measured> {
        let end = self.now + duration;
        let mut measured = BTreeMap::new();
        while self.now < end {
            self.now = self.now + STEP;
            self.detect();
            self.carry();
            self.end_generations(&mut measured);
            self.offer(&mut measured);
            self.tell_demands();
            self.count_running(&mut measured);
        }
        measured
    }

    fn reachable(&self) -> Ownership {
        let is_reachable = |host: &&HostId| !self.cut.contains_key(*host);
        Ownership::new(self.hosts.keys().filter(is_reachable).cloned())
    }

    /// Hosts that hear one another agree on who is there; one that is cut off keeps its view.
    fn agree(&mut self) {
        let view = self.reachable();
        let names: BTreeSet<HostId> = view.hosts().cloned().collect();
        for (_, host) in self
            .hosts
            .iter_mut()
            .filter(|(name, _)| names.contains(*name))
        {
            host.see(self.now, &view, &names);
        }
    }

    fn detect(&mut self) {
        let is_new = |cut: &Time| {
            self.now.since(*cut) >= DETECTION && self.now.since(*cut) < DETECTION + STEP
        };
        if self.cut.values().any(is_new) {
            self.agree();
        }
        let now = self.now;
        for host in self.hosts.values_mut() {
            host.lender
                .keep_live(now, |name| host.view.hosts().any(|live| live == name));
        }
    }

    fn carry(&mut self) {
        while let Some(entry) = self.packets.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let packet = entry.remove();
            if packet.ends().iter().any(|end| self.cut.contains_key(end)) {
                continue;
            }
            self.deliver(packet);
        }
    }

    fn deliver(&mut self, packet: Packet) {
        match packet {
            Packet::Demand { from, to, demand } => {
                let Some(row) = self.row(&demand.customer) else {
                    return;
                };
                let Some(host) = self.hosts.get_mut(&to) else {
                    return;
                };
                if let Some(allowance) = host.lend(self.now, &from, &demand, &row) {
                    let answer = Packet::Allowance {
                        from: to,
                        to: from,
                        allowance,
                    };
                    self.send(answer);
                }
            }
            Packet::Allowance {
                from,
                to,
                allowance,
            } => {
                if let Some(host) = self.hosts.get_mut(&to) {
                    host.enforcer.receive(self.now, &from, &allowance);
                    host.start_promoted(self.now);
                }
            }
        }
    }

    fn row(&self, customer: &CustomerId) -> Option<CustomerRow> {
        let load = self
            .loads
            .iter()
            .find(|load| load.row.customer == *customer)?;
        Some(load.row.clone())
    }

    fn send(&mut self, packet: Packet) {
        let [from, to] = packet.ends();
        let is_local = from == to;
        if !is_local && self.rng.random_range(0..100) < self.lost_percent {
            return;
        }
        let most = u64::try_from(self.delay.as_micros()).unwrap_or(u64::MAX);
        let delay = match is_local {
            true => Duration::ZERO,
            false => Duration::from_micros(self.rng.random_range(0..=most)),
        };
        self.packets_sent += 1;
        self.packets
            .insert((self.now + delay, self.packets_sent), packet);
        if is_local {
            self.carry();
        }
    }

    fn end_generations(&mut self, measured: &mut BTreeMap<CustomerId, Measured>) {
        for host in self.hosts.values_mut() {
            for (customer, tokens) in host.end_generations(self.now) {
                measured.entry(customer).or_default().tokens += u64::from(tokens);
            }
        }
    }

    fn offer(&mut self, measured: &mut BTreeMap<CustomerId, Measured>) {
        for load in &self.loads {
            let measured = measured.entry(load.row.customer.clone()).or_default();
            for (name, rate) in &load.requests_per_s {
                let Some(host) = self.hosts.get_mut(name) else {
                    continue;
                };
                for _ in 0..arrivals(&mut self.rng, *rate) {
                    measured.offered += 1;
                    measured.admitted += u64::from(host.offer(self.now, load));
                }
            }
        }
        self.tell_newly_active();
    }

    fn tell_newly_active(&mut self) {
        let now = self.now;
        let newly: Vec<(HostId, Vec<Demand>)> = self
            .hosts
            .iter_mut()
            .filter(|(_, host)| host.enforcer.has_newly_active())
            .map(|(name, host)| (name.clone(), host.enforcer.new_demands(now)))
            .collect();
        for (name, demands) in newly {
            self.send_demands(&name, demands);
        }
    }

    fn tell_demands(&mut self) {
        let due: Vec<HostId> = self
            .hosts
            .iter()
            .filter(|(_, host)| host.next_period <= self.now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.tell(&name);
        }
    }

    fn tell(&mut self, name: &HostId) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        host.next_period = now + Duration::from_millis(LendingOptions::default().period_ms);
        let demands = host.enforcer.demands(now);
        host.start_promoted(now);
        self.send_demands(name, demands);
    }

    fn send_demands(&mut self, name: &HostId, demands: Vec<Demand>) {
        let Some(view) = self.hosts.get(name).map(|host| host.view.clone()) else {
            return;
        };
        for demand in demands {
            if let Some(owner) = view.limits_owner(&demand.customer) {
                let to = owner.clone();
                let from = name.clone();
                self.send(Packet::Demand { from, to, demand });
            }
        }
    }

    fn count_running(&self, measured: &mut BTreeMap<CustomerId, Measured>) {
        for (customer, measured) in measured {
            let running = self
                .hosts
                .values()
                .map(|host| host.running_of(customer))
                .sum();
            measured.running_max = measured.running_max.max(running);
        }
    }
}

impl Host {
    fn new(index: usize, hosts: usize) -> Self {
        let lending = LendingOptions::default();
        let period = Duration::from_millis(lending.period_ms);
        let mut enforcer = Enforcer::new(LimitOptions::default());
        enforcer.set_sharing(1, hosts);
        Host {
            enforcer,
            lender: Lender::new(lending, 1_000_000 * (index as u64 + 1)),
            view: Ownership::default(),
            next_period: Time::ZERO + period.mul_f64(1.0 + index as f64 / hosts as f64),
            running: BTreeMap::new(),
            queued: BTreeMap::new(),
            started: 0,
        }
    }

    fn see(&mut self, now: Time, view: &Ownership, names: &BTreeSet<HostId>) {
        if self.view == *view {
            return;
        }
        let is_first = self.view.is_empty();
        self.view = view.clone();
        self.enforcer.set_sharing(1, view.len());
        if !is_first {
            self.lender.owners_changed(now);
        }
        self.lender.keep_live(now, |name| names.contains(name));
    }

    fn lend(
        &mut self,
        now: Time,
        from: &HostId,
        demand: &Demand,
        row: &CustomerRow,
    ) -> Option<Allowance> {
        let part = self.enforcer.part(row);
        let equal = self.enforcer.equal(&part);
        self.lender.lend(now, from, demand, &part, &equal)
    }

    fn offer(&mut self, now: Time, load: &Load) -> bool {
        let Ok((id, standing)) = self.enforcer.admit(now, &load.row) else {
            return false;
        };
        match standing {
            Standing::Running => self.start(now, id, load),
            Standing::Waiting => {
                self.queued.insert(id, load.clone());
            }
        }
        self.start_promoted(now);
        true
    }

    fn start(&mut self, now: Time, id: AdmissionId, load: &Load) {
        self.started += 1;
        let running = Running {
            customer: load.row.customer.clone(),
            id,
            tokens: load.tokens,
        };
        self.running
            .insert((now + load.hold, self.started), running);
    }

    fn start_promoted(&mut self, now: Time) {
        for id in self.enforcer.take_promoted() {
            if let Some(load) = self.queued.remove(&id) {
                self.start(now, id, &load);
            }
        }
    }

    fn end_generations(&mut self, now: Time) -> Vec<(CustomerId, u32)> {
        let mut ended = Vec::new();
        while let Some(entry) = self.running.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let running = entry.remove();
            self.enforcer
                .charge_tokens(now, &running.customer, running.tokens);
            self.enforcer.release(now, &running.customer, running.id);
            ended.push((running.customer, running.tokens));
        }
        self.start_promoted(now);
        ended
    }

    fn running_of(&self, customer: &CustomerId) -> usize {
        self.running
            .values()
            .filter(|running| running.customer == *customer)
            .count()
    }
}

/// Arrivals within one step at `rate` a second, as a Poisson process.
fn arrivals(rng: &mut ChaCha8Rng, rate: f64) -> u32 {
    let bound = (-rate * STEP.as_secs_f64()).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > bound {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}
