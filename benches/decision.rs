//! What a decision of the scheduler and of the gateway's admission costs, by the number of upstreams.
//!
//! Every upstream is full and 1,000 requests wait. One decision takes the end of a generation,
//! grants the freed memory to a waiting request and takes a new one into the queue. The figures to
//! compare are ratios between the numbers of upstreams; a linear scan would double each time.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;

use cedargauge::clock::Time;
use cedargauge::gateway::admit;
use cedargauge::gateway::admit::Demand;
use cedargauge::gateway::admit::QueueState;
use cedargauge::gateway::directory::Upstream;
use cedargauge::gateway::directory::UpstreamState;
use cedargauge::gateway::enginestats::EngineStats;
use cedargauge::gateway::loads::Load;
use cedargauge::gateway::placement::Candidate;
use cedargauge::gateway::placement::Need;
use cedargauge::gateway::placement::PlacementContext;
use cedargauge::gateway::placement::RemoteCounts;
use cedargauge::gateway::speeds::Slowness;
use cedargauge::id::AttemptId;
use cedargauge::id::DataCentre;
use cedargauge::id::RequestId;
use cedargauge::id::UpstreamId;
use cedargauge::id::VersionId;
use cedargauge::schedule::Action;
use cedargauge::schedule::Ending;
use cedargauge::schedule::Input;
use cedargauge::schedule::Policy;
use cedargauge::schedule::Ticket;
use cedargauge::schedule::UpstreamSpec;
use cedargauge::scheduler::Scheduler;
use cedargauge::scheduler::SchedulerOptions;

const UPSTREAMS: [usize; 5] = [100, 200, 400, 700, 1_400];
const WAITING: usize = 1_000;
const CUSTOMERS: u128 = 200;
const PROMPT_TOKENS: u32 = 700;
const OUTPUT_TOKENS: u32 = 900;
const STEP: Duration = Duration::from_micros(500);

/// A scheduler at work, with what its caller knows.
struct Work {
    scheduler: Scheduler,
    running: VecDeque<RequestId>,
    next: u128,
    now: Time,
}

impl Work {
    fn new(upstreams: usize) -> Self {
        let mut load = Work {
            scheduler: Scheduler::new(SchedulerOptions::default()),
            running: VecDeque::new(),
            next: 0,
            now: Time::ZERO,
        };
        for index in 0..upstreams {
            let spec = UpstreamSpec {
                upstream: UpstreamId::new(format!("10.0.{}.{}:8000", index / 250, index % 250)),
                memory_tokens: 65_536,
                high_water_percent: 95,
            };
            load.step(Input::Upstream(spec));
        }
        while load.scheduler.waiting() < WAITING {
            load.submit();
        }
        load
    }

    fn step(&mut self, input: Input) {
        let actions = self.scheduler.step(self.now, input);
        for action in actions {
            if let Action::Grant { request, .. } = action {
                self.running.push_back(request);
                let attempt = AttemptId(request.0);
                self.scheduler
                    .step(self.now, Input::Started { request, attempt });
            }
        }
    }

    fn submit(&mut self) {
        self.next += 1;
        let ticket = ticket(self.next);
        self.step(Input::Submit(ticket));
    }

    /// One generation ends and one request arrives.
    fn decide(&mut self) {
        self.now = self.now + STEP;
        if let Some(request) = self.running.pop_front() {
            self.step(Input::Finished {
                request,
                output_tokens: OUTPUT_TOKENS,
                ending: Ending::Complete,
                cached_prompt_tokens: 0,
            });
        }
        if self.scheduler.waiting() < WAITING {
            self.submit();
        }
    }

    /// One generation tells that it has grown.
    fn progress(&mut self, output_tokens: u32) {
        self.now = self.now + STEP;
        if let Some(request) = self.running.pop_front() {
            self.step(Input::Progress {
                request,
                output_tokens,
            });
            self.running.push_back(request);
        }
    }
}

fn ticket(number: u128) -> Ticket {
    Ticket {
        request: RequestId::from_u128(number),
        host: "host-1".into(),
        service: "inspection".into(),
        customer: format!("customer-{}", number % CUSTOMERS).as_str().into(),
        class: ["urgent", "standard", "background"][(number % 3) as usize].into(),
        prompt_tokens: PROMPT_TOKENS,
        max_output_tokens: 8_192,
        repeatable: true,
        prefix_hashes: vec![(number % 50) as u64; 1],
        wait_limit_ms: 3_600_000,
        avoid: Vec::new(),
    }
}

fn decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for upstreams in UPSTREAMS {
        let mut load = Work::new(upstreams);
        group.bench_function(BenchmarkId::from_parameter(upstreams), |bencher| {
            bencher.iter(|| load.decide());
        });
    }
    group.finish();
}

fn progress(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("progress");
    for upstreams in UPSTREAMS {
        let mut load = Work::new(upstreams);
        let mut output_tokens = 0;
        group.bench_function(BenchmarkId::from_parameter(upstreams), |bencher| {
            bencher.iter(|| {
                output_tokens = (output_tokens + 1) % OUTPUT_TOKENS;
                load.progress(output_tokens);
            });
        });
    }
    group.finish();
}

/// A generation for which no engine has room: every one is looked at.
fn admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission");
    let stats = EngineStats::default();
    let demand = Demand {
        need: Need::Memory {
            tokens: 4_000,
            prompt_tokens: 3_000,
            memory_tokens: 34_000,
        },
        objective: Duration::from_millis(1_800),
        waited: Some(Duration::ZERO),
    };
    let here = DataCentre::new("north");
    let view = PlacementContext {
        data_centre: &here,
        remote_counts: RemoteCounts::Fresh,
    };
    for upstreams in UPSTREAMS {
        let candidates: Vec<Candidate> = (0..upstreams).map(full_engine).collect();
        let queue = QueueState {
            ahead_tokens: 0,
            taken_tokens: 30_000 * upstreams as u64,
            hosts: 73,
            stats: &stats,
        };
        group.bench_function(BenchmarkId::from_parameter(upstreams), |bencher| {
            bencher.iter(|| admit::decide(&demand, &queue, &candidates, view, || 0.5));
        });
    }
    group.finish();
}

fn full_engine(index: usize) -> Candidate {
    Candidate {
        upstream: Arc::new(Upstream {
            id: UpstreamId::new(format!("engine-{index}")).into(),
            service: "inspection".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 8_000)),
            data_centre: DataCentre::new("north"),
            state: UpstreamState::Ready,
            slots: 24,
            cold_left_ms: 0,
            version: VersionId::new("v1"),
            sequence: 0,
        }),
        load: Load {
            requests: 8,
            tokens: 32_000,
            unread_tokens: 0,
        },
        reported: None,
        slowness: Slowness::default(),
        unhealthy: false,
    }
}

criterion_group!(benches, decision, progress, admission);
criterion_main!(benches);
