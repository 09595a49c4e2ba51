//! Scenarios of several hosts: each file in `tests/scenarios/peers` scripts one.
//!
//! | command | what it does |
//! |---|---|
//! | `engines dc=A memory=N ms=N NAME…` | engines with N tokens of memory, a request takes N ms |
//! | `hosts dc=A NAME…` | starts hosts, which know the first one named |
//! | `run MS` | lets time pass |
//! | `submit HOST count=N prompt=N wait=N [repeatable=false]` | callers' requests |
//! | `kill HOST`, `start HOST`, `drain HOST` | a host dies, starts anew, leaves |
//! | `engine NAME kill\|leave\|start` | an engine dies, is reclaimed, starts anew |
//! | `cut FROM TO`, `heal` | messages from one host to another are lost; all links work |
//! | `duplicate`, `lose every=N` | each message arrives twice; each Nth one is lost unnoticed |
//! | `budget PERCENT` | the services' retry budget |
//! | `list HOST… [leaving=NAME,…]` | the platform's list, as these hosts get it |
//! | `owners HOST…` | whom each host takes for an owner |
//! | `ledger` | what every host's schedulers and every engine hold |
//! | `callers` | what became of the requests, then forgets those that ended |
//! | `noted [WORD…]` | counts of what the hosts noted, then forgets it |

#![allow(clippy::unwrap_used, reason = "a runner of tests")]

mod peersworld;

use std::collections::BTreeMap;
use std::error::Error;

use goldenscript::Command;
use goldenscript::Context;
use goldenscript::Runner;

use crate::peersworld::Caller;
use crate::peersworld::Engine;
use crate::peersworld::Fate;
use crate::peersworld::Host;
use crate::peersworld::World;
use cedargauge::id::DataCentre;
use cedargauge::id::HostId;
use cedargauge::id::RequestId;
use cedargauge::id::UpstreamId;
use cedargauge::platform::HostKind;
use cedargauge::platform::HostList;
use cedargauge::platform::HostState;
use cedargauge::platform::ListedHost;
use cedargauge::schedule::Ticket;

type Output = Result<String, Box<dyn Error>>;

#[derive(Default)]
struct PeersRunner {
    world: World,
    next_request: u128,
    incarnation: u64,
    first_host: Option<HostId>,
}

impl Runner for PeersRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Output {
        let mut args = command.consume_args();
        let mut text = |key: &str| args.take_key(key).map(str::to_owned);
        let keys: BTreeMap<&str, String> = KEYS
            .iter()
            .filter_map(|key| Some((*key, text(key)?)))
            .collect();
        let mut names: Vec<&str> = Vec::new();
        while let Some(name) = args.next_pos() {
            names.push(name);
        }
        args.reject_next()?;
        let hosts: Vec<HostId> = names.iter().copied().map(HostId::from).collect();
        match command.name.as_str() {
            "engines" => self.engines(&keys, &names),
            "hosts" => self.hosts(&keys, &hosts),
            "run" => self.world.run(names[0].parse()?),
            "submit" => return self.submit(&keys, &hosts[0]),
            "kill" => self.world.kill(&hosts[0]),
            "start" => self.start(&hosts[0]),
            "drain" => self.world.with_host(&hosts[0], Host::leave),
            "engine" => self.engine(names[0], names[1])?,
            "cut" => {
                self.world.cut.insert((hosts[0].clone(), hosts[1].clone()));
            }
            "heal" => self.world.cut.clear(),
            "duplicate" => self.world.duplicate = true,
            "lose" => self.world.lose_every = keys["every"].parse()?,
            "budget" => self.budget(names[0].parse()?),
            "list" => self.list(&keys, &hosts),
            "owners" => return Ok(self.owners(&hosts)),
            "ledger" => return Ok(self.ledger()),
            "callers" => return Ok(self.callers()),
            "noted" => return Ok(self.noted(&names)),
            other => return Err(format!("unknown command {other}").into()),
        }
        Ok(String::new())
    }
}

const KEYS: [&str; 9] = [
    "dc",
    "memory",
    "ms",
    "count",
    "prompt",
    "wait",
    "repeatable",
    "leaving",
    "every",
];

impl PeersRunner {
    fn engines(&mut self, keys: &BTreeMap<&str, String>, names: &[&str]) {
        for name in names {
            let upstream = UpstreamId::new(*name);
            let engine = Engine::new(
                upstream.clone(),
                DataCentre::new(keys["dc"].as_str()),
                keys["memory"].parse().unwrap(),
                keys["ms"].parse().unwrap(),
            );
            self.world.engines.insert(upstream, engine);
        }
        self.world.retry_budget_percent = 10;
    }

    fn hosts(&mut self, keys: &BTreeMap<&str, String>, names: &[HostId]) {
        for name in names {
            self.launch(name, &DataCentre::new(keys["dc"].as_str()));
        }
        self.world.run(2_000);
        self.world.noted.clear();
    }

    fn launch(&mut self, name: &HostId, data_centre: &DataCentre) {
        self.incarnation += 1;
        let now = self.world.now;
        let host = Host::new(name, data_centre, self.incarnation, now);
        self.world.hosts.insert(name.clone(), host);
        let here = self.world.hosts.values();
        let known = here.filter(|host| host.data_centre == *data_centre && host.name != *name);
        let known: Vec<String> = known.map(|host| host.identity().address).take(1).collect();
        self.first_host.get_or_insert(name.clone());
        let pools = self.world.pools(data_centre);
        let percent = self.world.retry_budget_percent;
        self.world.with_host(name, |host, now| {
            host.know(now, known);
            host.configure(now, pools, percent);
        });
    }

    fn start(&mut self, name: &HostId) {
        let data_centre = self.world.hosts[name].data_centre.clone();
        self.launch(name, &data_centre);
    }

    fn submit(&mut self, keys: &BTreeMap<&str, String>, host: &HostId) -> Output {
        let count: u32 = keys["count"].parse()?;
        for _ in 0..count {
            self.next_request += 1;
            let ticket = self.ticket(keys, host);
            let caller = Caller {
                host: host.clone(),
                fate: Fate::Waiting,
                submitted_at: self.world.now,
                granted_at: None,
                runs: 0,
                alone: false,
                spilled: false,
            };
            self.world.callers.insert(ticket.request, caller);
            self.world
                .with_host(host, |host, now| host.submit(now, ticket));
        }
        Ok(String::new())
    }

    fn ticket(&self, keys: &BTreeMap<&str, String>, host: &HostId) -> Ticket {
        Ticket {
            request: RequestId::from_u128(self.next_request),
            host: host.clone(),
            service: "inspection".into(),
            customer: "gemeinde".into(),
            class: "urgent".into(),
            prompt_tokens: keys["prompt"].parse().unwrap(),
            max_output_tokens: 100,
            repeatable: !keys.contains_key("repeatable"),
            prefix_hashes: Vec::new(),
            wait_limit_ms: keys["wait"].parse().unwrap(),
            avoid: Vec::new(),
        }
    }

    fn engine(&mut self, name: &str, what: &str) -> Result<(), Box<dyn Error>> {
        let upstream = UpstreamId::new(name);
        let engine = self.world.engines.get_mut(&upstream).unwrap();
        match what {
            "kill" => engine.kill(),
            "leave" => engine.leaving = true,
            "start" => engine.restart(),
            other => return Err(format!("unknown order {other}").into()),
        }
        Ok(())
    }

    fn budget(&mut self, percent: u32) {
        self.world.retry_budget_percent = percent;
        self.world.configure();
    }

    fn list(&mut self, keys: &BTreeMap<&str, String>, hosts: &[HostId]) {
        let leaving: Vec<&str> = keys
            .get("leaving")
            .map_or(Vec::new(), |names| names.split(',').collect());
        let state = |name: &str| match leaving.contains(&name) {
            true => HostState::Leaving,
            false => HostState::Live,
        };
        let entries = self.world.hosts.values().map(|host| ListedHost {
            address: host.identity().address,
            kind: HostKind::Entry,
            data_centre: host.data_centre.clone(),
            state: state(host.name.as_str()),
        });
        let upstreams = self.world.engines.values().map(|engine| ListedHost {
            address: engine.upstream.as_str().to_owned(),
            kind: HostKind::Upstream,
            data_centre: engine.data_centre.clone(),
            state: state(engine.upstream.as_str()),
        });
        let list = HostList {
            hosts: entries.chain(upstreams).collect(),
        };
        self.world.list(hosts, &list);
    }

    fn owners(&self, hosts: &[HostId]) -> String {
        let lines = hosts.iter().map(|name| {
            let host = &self.world.hosts[name];
            let owners = host.membership.owners().iter().map(HostId::as_str);
            let owners: Vec<&str> = owners.collect();
            let alone = if host.membership.is_alone() {
                " alone"
            } else {
                ""
            };
            format!("{name}: {}{alone}", owners.join(" "))
        });
        lines.collect::<Vec<String>>().join("\n")
    }

    fn ledger(&self) -> String {
        let hosts = self.world.hosts.values().filter(|host| host.up);
        let hosts = hosts.map(|host| {
            let owned: Vec<&str> = host.owner.upstreams().map(UpstreamId::as_str).collect();
            format!(
                "{}: owns [{}] waiting={} running={}",
                host.name,
                owned.join(" "),
                host.owner.waiting(),
                host.owner.running(),
            )
        });
        let engines = self.world.engines.values().map(|engine| {
            format!(
                "{}: running={} busiest={}",
                engine.upstream,
                engine.running(),
                engine.busiest,
            )
        });
        hosts.chain(engines).collect::<Vec<String>>().join("\n")
    }

    fn callers(&mut self) -> String {
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        let mut worst_wait_ms = 0;
        let (mut alone, mut spilled, mut runs) = (0, 0, 0);
        for caller in self.world.callers.values() {
            let fate = match &caller.fate {
                Fate::Waiting => "waiting".to_owned(),
                Fate::Running(_) => "running".to_owned(),
                Fate::Complete => "complete".to_owned(),
                Fate::Refused(code) => format!("refused {code}"),
                Fate::Lost => "lost with its host".to_owned(),
            };
            *counts.entry(fate).or_default() += 1;
            alone += u32::from(caller.alone);
            spilled += u32::from(caller.spilled);
            runs = runs.max(caller.runs);
            let wait = caller.granted_at.map(|at| at.since(caller.submitted_at));
            worst_wait_ms = worst_wait_ms.max(wait.map_or(0, |wait| wait.as_millis()));
        }
        let failed = std::mem::take(&mut self.world.attempts_failed);
        self.world
            .callers
            .retain(|_, caller| matches!(caller.fate, Fate::Waiting | Fate::Running(_)));
        let counts = counts.into_iter();
        let counts: Vec<String> = counts.map(|(fate, n)| format!("{n} {fate}")).collect();
        format!(
            "{}\nworst_wait_ms={worst_wait_ms} alone={alone} spilled={spilled} \
             most_runs={runs} failed_attempts={failed}",
            counts.join(", "),
        )
    }

    fn noted(&mut self, words: &[&str]) -> String {
        let noted = std::mem::take(&mut self.world.noted);
        let lines = words.iter().map(|word| {
            let count = noted.iter().filter(|line| line.contains(word)).count();
            format!("{word}: {count}")
        });
        lines.collect::<Vec<String>>().join("\n")
    }
}

macro_rules! scenarios {
    ($($name:ident,)*) => {
        $(
            #[test]
            fn $name() {
                let path = concat!("tests/scenarios/peers/", stringify!($name));
                goldenscript::run(&mut PeersRunner::default(), path).unwrap();
            }
        )*
    };
}

scenarios! {
    host_list_stale_and_wrong,
    upstream_leaving_seen_by_one_host,
    owner_killed_with_a_full_queue,
    two_owners_at_once,
    link_stalled_one_way,
    upstream_flapping,
    retry_storm_held_by_the_budget,
    data_centre_lost_its_work_spilled,
    host_alone,
    messages_lost_and_doubled,
    owner_leaves_with_running_work,
}
