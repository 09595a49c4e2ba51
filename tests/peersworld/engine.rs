//! A fake engine: memory for a number of requests, each of which takes a fixed time.

use std::collections::BTreeMap;
use std::time::Duration;

use cedargauge::clock::Time;
use cedargauge::id::AttemptId;
use cedargauge::id::DataCentre;
use cedargauge::id::RequestId;
use cedargauge::id::UpstreamId;
use cedargauge::wire::LoadReport;
use cedargauge::wire::RunningReport;

pub const OUTPUT_TOKENS: u32 = 100;

struct Running {
    attempt: AttemptId,
    prompt_tokens: u32,
    ends_at: Time,
}

/// A request that ended at an engine.
pub struct Ended {
    pub request: RequestId,
    pub upstream: UpstreamId,
    pub output_tokens: u32,
    pub complete: bool,
}

pub struct Engine {
    pub upstream: UpstreamId,
    pub data_centre: DataCentre,
    pub memory_tokens: u64,
    pub service_ms: u64,
    pub up: bool,
    pub leaving: bool,
    pub incarnation: u64,
    pub busiest: usize,
    running: BTreeMap<RequestId, Running>,
    ended: Vec<Ended>,
}

impl Engine {
    pub fn new(
        upstream: UpstreamId,
        data_centre: DataCentre,
        memory_tokens: u64,
        service_ms: u64,
    ) -> Self {
        Engine {
            upstream,
            data_centre,
            memory_tokens,
            service_ms,
            up: true,
            leaving: false,
            incarnation: 1,
            busiest: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
        }
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    pub fn start(&mut self, now: Time, request: RequestId, attempt: AttemptId, prompt_tokens: u32) {
        let running = Running {
            attempt,
            prompt_tokens,
            ends_at: now + Duration::from_millis(self.service_ms),
        };
        self.running.insert(request, running);
        self.busiest = self.busiest.max(self.running.len());
    }

    pub fn cancel(&mut self, request: RequestId) {
        self.running.remove(&request);
    }

    pub fn kill(&mut self) {
        self.up = false;
        for request in std::mem::take(&mut self.running).into_keys() {
            self.end(request, 0, false);
        }
    }

    pub fn restart(&mut self) {
        self.kill();
        self.up = true;
        self.leaving = false;
        self.incarnation += 1;
    }

    pub fn step(&mut self, now: Time) {
        let over = self.running.iter().filter(|(_, run)| run.ends_at <= now);
        for request in over.map(|(request, _)| *request).collect::<Vec<_>>() {
            self.running.remove(&request);
            self.end(request, OUTPUT_TOKENS, true);
        }
    }

    fn end(&mut self, request: RequestId, output_tokens: u32, complete: bool) {
        self.ended.push(Ended {
            request,
            upstream: self.upstream.clone(),
            output_tokens,
            complete,
        });
    }

    pub fn take_ended(&mut self) -> Vec<Ended> {
        std::mem::take(&mut self.ended)
    }

    pub fn report(&self) -> LoadReport {
        let running = self.running.values().map(|run| RunningReport {
            attempt: run.attempt,
            prompt_tokens: run.prompt_tokens,
            output_tokens: 0,
        });
        let running: Vec<RunningReport> = running.collect();
        let used = running.iter().map(|run| u64::from(run.prompt_tokens));
        LoadReport {
            memory_tokens: self.memory_tokens,
            used_tokens: used.sum(),
            running,
            leaving: self.leaving,
            incarnation: self.incarnation,
            ..LoadReport::default()
        }
    }
}
