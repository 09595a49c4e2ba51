//! The upstream owner: its scheduler by number of running and of waiting requests.

use std::time::Duration;

use crate::fit::Series;
use crate::fit::bytes_held;
use crate::fit::nanos_each;
use cedargauge::clock::Time;
use cedargauge::id::AttemptId;
use cedargauge::id::ClassId;
use cedargauge::id::CustomerId;
use cedargauge::id::HostId;
use cedargauge::id::RequestId;
use cedargauge::id::ServiceId;
use cedargauge::id::UpstreamId;
use cedargauge::schedule::Action;
use cedargauge::schedule::ClassWeight;
use cedargauge::schedule::Ending;
use cedargauge::schedule::Input;
use cedargauge::schedule::Policy;
use cedargauge::schedule::Ticket;
use cedargauge::schedule::UpstreamSpec;
use cedargauge::schedule::Weights;
use cedargauge::scheduler::Scheduler;
use cedargauge::scheduler::SchedulerOptions;

const RUNNING: [usize; 4] = [100, 300, 900, 2_700];
const WAITING: [usize; 4] = [50, 200, 800, 3_200];
const LIVES: usize = 500;
const UPSTREAMS: usize = 9;
const MEMORY_TOKENS: u64 = 4_000_000;
const PROMPT_TOKENS: u32 = 500;
const OUTPUT_TOKENS: u32 = 480;
const PROGRESS_TOKENS: u32 = 16;
const WAIT_LIMIT_MS: u64 = 600_000;

/// Prints the slopes of the upstream owner.
pub fn measure() {
    Series::measure("scheduler, held by running requests", &RUNNING, |running| {
        bytes_held(|| busy(running))
    })
    .print("bytes");
    Series::measure("scheduler, held by waiting requests", &WAITING, |waiting| {
        bytes_held(|| crowded(waiting))
    })
    .print("bytes");
    Series::measure("whole life of one request", &RUNNING, |running| {
        let mut scheduler = busy(running);
        nanos_each(LIVES, |index| {
            let now = Time::from_ms(1_000 + 10 * index as u64);
            live(&mut scheduler, now, 1_000_000 + index as u128)
        })
    })
    .print("ns, submit to finish with 30 reports of progress");
}

/// A scheduler with memory to spare that runs `running` requests.
fn busy(running: usize) -> Scheduler {
    let mut scheduler = scheduler(MEMORY_TOKENS);
    for index in 0..running {
        let request = RequestId::from_u128(index as u128 + 1);
        scheduler.step(Time::from_ms(1), Input::Submit(ticket(request, index)));
        start(&mut scheduler, Time::from_ms(1), request);
    }
    assert_eq!(scheduler.running(), running);
    scheduler
}

/// A scheduler whose upstreams are leaving, so that all that comes waits.
fn crowded(waiting: usize) -> Scheduler {
    let mut scheduler = scheduler(MEMORY_TOKENS);
    for index in 0..UPSTREAMS {
        scheduler.step(Time::ZERO, Input::UpstreamLeaving(upstream(index)));
    }
    for index in 0..waiting {
        let request = RequestId::from_u128(index as u128 + 1);
        scheduler.step(Time::from_ms(1), Input::Submit(ticket(request, index)));
    }
    scheduler
}

fn scheduler(memory_tokens: u64) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerOptions::default());
    scheduler.step(Time::ZERO, Input::Weights(weights()));
    for index in 0..UPSTREAMS {
        let spec = UpstreamSpec {
            upstream: upstream(index),
            memory_tokens,
            high_water_percent: 90,
        };
        scheduler.step(Time::ZERO, Input::Upstream(spec));
    }
    scheduler
}

fn weights() -> Weights {
    Weights {
        classes: vec![ClassWeight {
            class: ClassId::from("standard"),
            weight: 1,
            engine_priority: 1,
            max_wait_ms: WAIT_LIMIT_MS,
        }],
        customers: Vec::new(),
    }
}

fn upstream(index: usize) -> UpstreamId {
    UpstreamId::new(format!("127.0.0.1:{}", 20_000 + index))
}

fn ticket(request: RequestId, index: usize) -> Ticket {
    Ticket {
        request,
        host: HostId::from("host-0001"),
        service: ServiceId::from("report"),
        customer: CustomerId::new(format!("customer-{:05}", index % 100)),
        class: ClassId::from("standard"),
        prompt_tokens: PROMPT_TOKENS,
        max_output_tokens: 2 * OUTPUT_TOKENS,
        repeatable: true,
        prefix_hashes: vec![index as u64, index as u64 + 1],
        wait_limit_ms: WAIT_LIMIT_MS,
        avoid: Vec::new(),
    }
}

fn start(scheduler: &mut Scheduler, now: Time, request: RequestId) -> Vec<Action> {
    let attempt = AttemptId(request.0);
    scheduler.step(now, Input::Started { request, attempt })
}

fn live(scheduler: &mut Scheduler, now: Time, id: u128) {
    let request = RequestId::from_u128(id);
    let index = usize::try_from(id).expect("small ids");
    scheduler.step(now, Input::Submit(ticket(request, index)));
    start(scheduler, now, request);
    for output_tokens in (0..OUTPUT_TOKENS).step_by(PROGRESS_TOKENS as usize) {
        let at = now + Duration::from_millis(u64::from(output_tokens));
        let progress = Input::Progress {
            request,
            output_tokens,
        };
        scheduler.step(at, progress);
    }
    let at = now + Duration::from_millis(u64::from(OUTPUT_TOKENS));
    let finished = Input::Finished {
        request,
        output_tokens: OUTPUT_TOKENS,
        ending: Ending::Complete,
        cached_prompt_tokens: 0,
    };
    scheduler.step(at, finished);
}
