//! Runs the scenarios in `tests/scenarios/orders`: several hosts' orders over one fake log and fake
//! engines.

use std::collections::BTreeMap;
use std::error::Error;
use std::fs;
use std::time::Duration;

use goldenscript::Command;
use goldenscript::Context;
use goldenscript::Runner;

use cedargauge::clock::Time;
use cedargauge::id::DataCentre;
use cedargauge::id::HostId;
use cedargauge::id::Incarnation;
use cedargauge::id::Offset;
use cedargauge::id::ServiceId;
use cedargauge::id::UpstreamId;
use cedargauge::lease::Holder;
use cedargauge::lease::Lease;
use cedargauge::lease::LeaseOptions;
use cedargauge::lease::LeaseRecord;
use cedargauge::lease::LeaseScope;
use cedargauge::orders::Action;
use cedargauge::orders::Input;
use cedargauge::orders::OrderAnswer;
use cedargauge::orders::OrderOptions;
use cedargauge::orders::Orders;
use cedargauge::platform::ReadAnswer;
use cedargauge::platform::Record;
use cedargauge::rollout::Wanted;
use cedargauge::wire::Order;
use cedargauge::wire::OrderState;
use cedargauge::wire::Role;

const START_MS: u64 = 1_796_000_000_000;
const TICK_MS: u64 = 500;
const LOAD_MS: u64 = 1_000;

/// A command of a scenario.
#[derive(Command)]
enum Step {
    /// Starts an engine that runs a model.
    Engine {
        engine: String,
        model: String,
        #[arg(key, optional)]
        ignores_fence: bool,
    },
    /// Starts a host, or starts it anew.
    Start { host: String },
    /// A host's table wants a model, by a row of this version.
    Want {
        host: String,
        model: String,
        #[arg(key)]
        config: u64,
    },
    /// Time passes; a paused host notices nothing, but what it was about to send stays with it.
    Advance {
        ms: u64,
        #[arg(key)]
        paused: Option<String>,
    },
    /// What a host sends next stays with it until it is delivered.
    Hold { host: String },
    /// What a host kept is sent now.
    Deliver { host: String },
    /// The answers to the next orders are lost.
    LoseAnswers { count: u32 },
    /// The weight store gives permits, or refuses them.
    Weights { gives: bool },
    /// The log is reached, or not.
    Log { reached: bool },
    /// Prints what the engines run.
    Engines,
}

struct Engine {
    ignores_fence: bool,
    state: OrderState,
    pending: Option<(u64, Order)>,
}

struct Host {
    orders: Orders,
    keeps: bool,
    kept: Vec<(UpstreamId, Order)>,
}

#[derive(Default)]
struct Scenario {
    now_ms: u64,
    engines: BTreeMap<UpstreamId, Engine>,
    hosts: BTreeMap<String, Host>,
    log: Vec<Record>,
    log_is_down: bool,
    weights_refuse: bool,
    answers_lost: u32,
    output: String,
}

impl Runner for Scenario {
    type Command = Step;

    fn run(&mut self, step: &Step, _: &Context) -> Result<String, Box<dyn Error>> {
        match step {
            Step::Engine {
                engine,
                model,
                ignores_fence,
            } => self.add_engine(engine, model, *ignores_fence),
            Step::Start { host } => self.add_host(host),
            Step::Want {
                host,
                model,
                config,
            } => self.want(host, model, *config),
            Step::Advance { ms, paused } => self.advance(*ms, paused.as_deref()),
            Step::Hold { host } => self.host(host).keeps = true,
            Step::Deliver { host } => self.deliver(host),
            Step::LoseAnswers { count } => self.answers_lost = *count,
            Step::Weights { gives } => self.weights_refuse = !gives,
            Step::Log { reached } => self.log_is_down = !reached,
            Step::Engines => self.print_engines(),
        }
        Ok(std::mem::take(&mut self.output))
    }
}

impl Scenario {
    fn add_engine(&mut self, name: &str, model: &str, ignores_fence: bool) {
        let state = OrderState {
            model: model.to_owned(),
            ..OrderState::default()
        };
        let engine = Engine {
            ignores_fence,
            state,
            pending: None,
        };
        self.engines.insert(UpstreamId::from(name), engine);
    }

    fn add_host(&mut self, name: &str) {
        let scope = LeaseScope {
            data_centre: DataCentre::from("dc"),
            service: ServiceId::from("inspection"),
        };
        let me = Holder {
            host: HostId::from(name),
            incarnation: Incarnation(self.now_ms),
        };
        let lease = Lease::new(scope, me, LeaseOptions::default());
        let host = Host {
            orders: Orders::new(lease, OrderOptions::default()),
            keeps: false,
            kept: Vec::new(),
        };
        self.hosts.insert(name.to_owned(), host);
    }

    fn want(&mut self, host: &str, model: &str, config: u64) {
        let wanted = Wanted {
            model: model.to_owned(),
            adapters: Vec::new(),
            role: Role::Serve,
        };
        let input = Input::Wanted {
            wanted,
            upstreams: self.engines.keys().cloned().collect(),
            config: Offset(config),
        };
        self.step(host, input);
    }

    fn advance(&mut self, ms: u64, paused: Option<&str>) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            self.load();
            let names = self.hosts.keys().cloned().collect::<Vec<_>>();
            for host in names.iter().filter(|name| Some(name.as_str()) != paused) {
                if !self.log_is_down {
                    let read = self.read(host);
                    self.step(host, Input::LeaseRead(read));
                }
                self.step(host, Input::Tick);
            }
        }
    }

    fn read(&mut self, host: &str) -> ReadAnswer {
        let from = self.host(host).orders.lease().next_offset();
        let from = usize::try_from(from.0).expect("offsets fit");
        ReadAnswer {
            records: self.log.get(from..).unwrap_or_default().to_vec(),
            first_retained: Offset(0),
            head: Offset(self.log.len() as u64),
        }
    }

    fn step(&mut self, name: &str, input: Input) {
        let now = Time::from_ms(self.now_ms + 1);
        let wall_ms = START_MS + self.now_ms;
        for action in self.host(name).orders.step(now, wall_ms, input) {
            self.act(name, action);
        }
    }

    fn act(&mut self, name: &str, action: Action) {
        match action {
            Action::AppendLease(record) => self.append(name, &record),
            Action::ReadState(upstream) => {
                let state = self.engines.get(&upstream).map(Engine::reported);
                self.step(name, Input::State(upstream, state));
            }
            Action::AskPermit(model) => {
                let permit = match self.weights_refuse {
                    true => Err(Duration::from_millis(5_000)),
                    false => Ok(()),
                };
                let word = if permit.is_ok() { "given" } else { "refused" };
                self.print(&format!("{name} asks for {model}: {word}"));
                self.step(name, Input::Permit(permit));
            }
            Action::Send(upstream, order) => {
                let host = self.host(name);
                if host.keeps {
                    host.kept.push((upstream.clone(), order));
                    self.print(&format!("{name} is about to order {upstream}"));
                } else {
                    self.send(name, upstream, &order);
                }
            }
            Action::LostLease(upstream) => {
                self.print(&format!(
                    "{name} lost its lease while it ordered {upstream}"
                ));
            }
        }
    }

    fn append(&mut self, name: &str, record: &LeaseRecord) {
        let offset = Offset(self.log.len() as u64);
        if self.log_is_down {
            return;
        }
        let word = match record {
            LeaseRecord::Take { .. } => "takes",
            LeaseRecord::GiveBack { .. } => "gives back",
        };
        self.print(&format!("{name} {word} the lease at {offset}"));
        self.log.push(Record {
            offset,
            appended_at_ms: START_MS + self.now_ms,
            data: serde_json::to_string(record).expect("records encode"),
        });
    }

    fn send(&mut self, name: &str, upstream: UpstreamId, order: &Order) {
        let now_ms = self.now_ms;
        let engine = self.engines.get_mut(&upstream).expect("no such engine");
        let mut answer = engine.take(now_ms, order);
        let model = &order.model;
        let fence = order.fence;
        let word = match answer {
            OrderAnswer::Accepted(_) => "accepted",
            _ => "refused",
        };
        self.print(&format!(
            "{name} orders {model} at {upstream} under {fence}: {word}"
        ));
        if self.answers_lost > 0 {
            self.answers_lost -= 1;
            self.print("the answer is lost");
            answer = OrderAnswer::Lost;
        }
        self.step(name, Input::Answered(upstream, answer));
    }

    fn deliver(&mut self, name: &str) {
        let host = self.host(name);
        host.keeps = false;
        for (upstream, order) in std::mem::take(&mut host.kept) {
            self.send(name, upstream, &order);
        }
    }

    fn load(&mut self) {
        for engine in self.engines.values_mut() {
            if let Some((_, order)) = engine.pending.take_if(|(at, _)| *at <= self.now_ms) {
                engine.state.model = order.model;
                engine.state.role = order.role;
            }
        }
    }

    fn print_engines(&mut self) {
        let lines = self.engines.iter().map(|(name, engine)| {
            let word = if engine.pending.is_some() {
                "loads from"
            } else {
                "runs"
            };
            format!("{name} {word} {}", engine.state.model)
        });
        let lines = lines.collect::<Vec<_>>();
        self.print(&lines.join(", "));
    }

    fn print(&mut self, line: &str) {
        let seconds = self.now_ms as f64 / 1_000.0;
        self.output.push_str(&format!("{seconds:6.1} s: {line}\n"));
    }

    fn host(&mut self, name: &str) -> &mut Host {
        self.hosts.get_mut(name).expect("no such host")
    }
}

impl Engine {
    fn reported(&self) -> OrderState {
        OrderState {
            loading: self.pending.is_some(),
            ..self.state.clone()
        }
    }

    fn take(&mut self, now_ms: u64, order: &Order) -> OrderAnswer {
        if !self.ignores_fence && order.fence < self.state.fence {
            return OrderAnswer::OldFence;
        }
        self.state.fence = self.state.fence.max(order.fence);
        self.pending = Some((now_ms + LOAD_MS, order.clone()));
        OrderAnswer::Accepted(self.reported())
    }
}

#[test]
fn every_scenario_plays_as_written() {
    let files = fs::read_dir("tests/scenarios/orders").unwrap();
    let mut paths = files.map(|file| file.unwrap().path()).collect::<Vec<_>>();
    paths.sort();
    assert!(!paths.is_empty());

    for path in paths {
        let mut scenario = Scenario::default();

        goldenscript::run(&mut scenario, &path)
            .unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    }
}
