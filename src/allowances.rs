//! Shares customers' limits with the other hosts of the data centre: an actor that tells this
//! host's demands to the customers' owners, and lends the limits of the customers it owns itself.
//!
//! Data centres share a limit in equal parts; their number is that of the table's pools.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;

use crate::clock::SystemClock;
use crate::config::ConfigHandle;
use crate::event::EventCode;
use crate::id::HostId;
use crate::journal::Journal;
use crate::journal::Subject;
use crate::lending::Lender;
use crate::lending::LendingOptions;
use crate::limits::LimitHandle;
use crate::link::Urgency;
use crate::ownership::Ownership;
use crate::peer::Allowance;
use crate::peer::Demand;
use crate::peer::PeerMessage;
use crate::peers::PeerNews;
use crate::peers::PeersHandle;
use crate::table::Table;

/// How soon an owner hears of a customer that turned active.
const NEWLY_ACTIVE_INTERVAL: Duration = Duration::from_millis(10);

/// Rounds that one incarnation may give; the next one starts above.
const ROUNDS_PER_MS: u64 = 1_000;

/// What [`Allowances`] starts from.
pub struct AllowanceParts {
    /// Enforces this host's shares.
    pub limits: LimitHandle,
    /// The other hosts.
    pub peers: PeersHandle,
    /// Limits come from the table in force.
    pub config: ConfigHandle,
    /// The process's clock.
    pub clock: SystemClock,
    /// The process's journal.
    pub journal: Journal,
}

/// The actor.
pub struct Allowances {
    parts: AllowanceParts,
    options: LendingOptions,
    lender: Lender<HostId>,
    ownership: Arc<Ownership>,
    has_lapsed: bool,
}

impl Allowances {
    /// Starts the actor; it runs as long as its actix system.
    pub fn launch(parts: AllowanceParts, options: LendingOptions) {
        let identity = parts.peers.identity();
        let first_round = identity.incarnation.0.saturating_mul(ROUNDS_PER_MS);
        let allowances = Allowances {
            lender: Lender::new(options.clone(), first_round),
            ownership: parts.peers.ownership(),
            has_lapsed: false,
            parts,
            options,
        };
        allowances.start();
    }

    fn own_host(&self) -> HostId {
        self.parts.peers.identity().host.clone()
    }

    fn set_sharing(&self) {
        let data_centres = data_centres(&self.parts.config.table());
        let hosts = self.ownership.len();
        self.parts.limits.set_sharing(data_centres, hosts);
    }

    /// A host that is cut off from all others goes on with the shares it has.
    fn owners_changed(&mut self, ownership: Arc<Ownership>) {
        if self.parts.peers.is_alone() {
            return;
        }
        let now = self.parts.clock.now();
        let is_known = !self.ownership.is_empty();
        if is_known && *self.ownership != *ownership {
            self.lender.owners_changed(now);
        }
        self.ownership = ownership;
        self.set_sharing();
        self.keep_owned();
    }

    fn keep_owned(&mut self) {
        let now = self.parts.clock.now();
        let own = self.own_host();
        let ownership = &self.ownership;
        let live: BTreeSet<&HostId> = ownership.hosts().collect();
        self.lender.keep_live(now, |host| live.contains(host));
        self.lender
            .keep_owned(|customer| ownership.limits_owner(customer) == Some(&own));
    }

    fn tick(&mut self) {
        self.set_sharing();
        self.keep_owned();
        let demands = self.parts.limits.demands();
        self.tell(demands, Urgency::Soon);
        self.note_lapsed();
    }

    fn tell(&mut self, demands: Vec<Demand>, urgency: Urgency) {
        let own = self.own_host();
        for demand in demands {
            let Some(owner) = self.ownership.limits_owner(&demand.customer).cloned() else {
                continue;
            };
            if owner == own {
                self.lend_to_self(&own, &demand);
            } else {
                let message = PeerMessage::Demand(demand);
                self.parts.peers.send(&owner, urgency, message);
            }
        }
    }

    fn lend_to_self(&mut self, own: &HostId, demand: &Demand) {
        if let Some(allowance) = self.lend(own, demand) {
            self.parts.limits.receive(own, &allowance);
        }
    }

    fn lend(&mut self, from: &HostId, demand: &Demand) -> Option<Allowance> {
        let now = self.parts.clock.now();
        let table = self.parts.config.table();
        let row = &table.customers.get(&demand.customer)?.row;
        let (whole, equal) = self.parts.limits.limits_of(row);
        self.lender.lend(now, from, demand, &whole, &equal)
    }

    fn hear(&mut self, from: &HostId, message: PeerMessage) {
        match message {
            PeerMessage::Demand(demand) => {
                if let Some(allowance) = self.lend(from, &demand) {
                    let answer = PeerMessage::Allowance(allowance);
                    self.parts.peers.send(from, Urgency::Now, answer);
                }
            }
            PeerMessage::Allowance(allowance)
                if self.ownership.limits_owner(&allowance.customer) == Some(from) =>
            {
                self.parts.limits.receive(from, &allowance);
            }
            _ => {}
        }
    }

    fn note_lapsed(&mut self) {
        let lapsed = self.parts.limits.lapsed();
        if (lapsed > 0) == self.has_lapsed {
            return;
        }
        self.has_lapsed = lapsed > 0;
        let code = match self.has_lapsed {
            true => EventCode::AllowancesLapsed,
            false => EventCode::AllowancesRenewed,
        };
        let subject = Subject::none().detail(format!("customers={lapsed}"));
        self.parts.journal.record(code, subject);
    }
}

/// Data centres that share a limit: those where the table has upstreams.
fn data_centres(table: &Table) -> usize {
    let upstreams = table.pools.values().flat_map(|pool| &pool.row.upstreams);
    let data_centres: BTreeSet<_> = upstreams.map(|row| &row.data_centre).collect();
    data_centres.len()
}

impl Actor for Allowances {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.set_sharing();
        self.parts.peers.subscribe(context.address().recipient());
        let period = Duration::from_millis(self.options.period_ms);
        context.run_interval(period, |allowances, _| allowances.tick());
        context.run_interval(NEWLY_ACTIVE_INTERVAL, |allowances, _| {
            let demands = allowances.parts.limits.new_demands();
            allowances.tell(demands, Urgency::Now);
        });
    }
}

impl Handler<PeerNews> for Allowances {
    type Result = ();

    fn handle(&mut self, news: PeerNews, _: &mut Self::Context) {
        match news {
            PeerNews::Owners(ownership) => self.owners_changed(ownership),
            PeerNews::Message { from, message } => self.hear(&from, *message),
            _ => {}
        }
    }
}
