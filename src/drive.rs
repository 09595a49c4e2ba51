//! Replays a trace against live entry hosts and checks every promise that a caller can see.
//!
//! Prompts carry the stand-in engines' directives, so that contents can be held against the
//! request. At the end the engines' and services' own counters say what really ran.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use actix_rt::time::sleep_until;
use awc::Client;
use awc::Connector;
use derive_builder::Builder;
use hdrhistogram::Histogram;
use serde::Serialize;
use uuid::Uuid;

use crate::drivecall::LiveRequest;
use crate::drivecall::Pace;
use crate::drivecall::call;
use crate::id::CustomerId;
use crate::id::ServiceId;
use crate::observe::gap_histogram;
use crate::promise::BrokenPromise;
use crate::promise::RunCounts;
use crate::promise::TryEnd;
use crate::promise::check_runs;
use crate::standin_generation::EngineCounters;
use crate::standin_service::ServiceCounters;
use crate::trace::Trace;
use crate::trace::TraceRequest;

/// Bytes of a prompt that entry hosts count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Longest pause before another try, whatever a refusal says.
const PAUSE_MAX_MS: u64 = 5_000;

/// Pause before another try where no refusal says one, in milliseconds.
const PAUSE_MS: u64 = 200;

/// Time to read one counter.
const COUNTER_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest answer with counters, in bytes.
const COUNTER_BYTES_MAX: usize = 256 << 20;

/// Connections to one entry host at most.
const CONNECTIONS_MAX: usize = 20_000;

/// How a trace is driven.
#[derive(Debug, Clone, Builder)]
#[builder(default)]
pub struct DriveOptions {
    /// Entry hosts as `http://address:port`; a request goes to each in turn.
    pub entries: Vec<String>,
    /// Stand-in engines whose counters are read at the end.
    pub engines: Vec<String>,
    /// Stand-in services whose counters are read at the end.
    pub services: Vec<String>,
    /// Key of every customer that has none of its own.
    pub default_key: String,
    /// Keys by customer.
    pub keys: BTreeMap<CustomerId, String>,
    /// Services of the trace that are plain ones.
    pub plain: Vec<ServiceId>,
    /// Arrivals come this much faster than in the trace. Default 1.
    pub speed: f64,
    /// Tries of one request at most. Default 6.
    pub tries_max: u32,
    /// Whether a connection that ends without a terminal event breaks a promise; set it where no
    /// entry host is killed.
    pub no_cuts: bool,
}

impl Default for DriveOptions {
    fn default() -> Self {
        DriveOptions {
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            default_key: "demo-key".to_owned(),
            keys: BTreeMap::new(),
            plain: Vec::new(),
            speed: 1.0,
            tries_max: 6,
            no_cuts: false,
        }
    }
}

/// What came of a drive.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct DriveReport {
    /// Requests sent.
    pub requests: u64,
    /// Requests whose whole answer came.
    pub completed: u64,
    /// Requests whose last try was refused before any token.
    pub refused: u64,
    /// Requests whose last try failed after tokens came.
    pub failed: u64,
    /// Requests whose last try ended without a terminal event.
    pub cut: u64,
    /// Requests whose last try found no entry host.
    pub not_sent: u64,
    /// Tries beyond the first, of all requests.
    pub retries: u64,
    /// Requests that may run once at most.
    pub not_repeatable: u64,
    /// Tokens that came.
    pub tokens: u64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_token_ms_p95: f64,
    /// 99th percentile of the gaps between tokens, in milliseconds.
    pub token_gap_ms_p99: f64,
    /// Refusals by code, over all tries.
    pub refusals: BTreeMap<String, u64>,
    /// Engines and services whose counters could not be read: what they ran is not known.
    pub unread_counters: Vec<String>,
    /// Broken promises.
    pub broken: Vec<BrokenRequest>,
}

/// A request with a promise that was broken to its caller.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BrokenRequest {
    /// Position in the trace, from 0.
    pub request: usize,
    /// The name under which stand-ins count it.
    pub count_key: String,
    /// The promise.
    #[serde(flatten)]
    pub broken: BrokenPromise,
}

/// What became of one request.
struct History {
    index: usize,
    count_key: String,
    repeatable: bool,
    tries: Vec<TryEnd>,
}

/// Everything that the requests of a drive share.
struct Drive {
    client: Client,
    options: DriveOptions,
    state: RefCell<State>,
}

struct State {
    report: DriveReport,
    histories: Vec<History>,
    first_us: Histogram<u64>,
    gaps_us: Histogram<u64>,
}

/// Drives `trace` at the entry hosts; `ended` is called as each request ends.
pub async fn drive(
    trace: &Trace,
    options: DriveOptions,
    ended: impl Fn() + 'static,
) -> DriveReport {
    let run = Uuid::now_v7().simple().to_string();
    let client = Client::builder()
        .connector(Connector::new().limit(CONNECTIONS_MAX))
        .disable_timeout()
        .finish();
    let drive = Rc::new(Drive {
        client,
        options,
        state: RefCell::new(State::new()),
    });
    let ended = Rc::new(ended);
    let started = actix_rt::time::Instant::now();
    let mut tasks = Vec::with_capacity(trace.requests.len());
    for (index, request) in trace.requests.iter().enumerate() {
        let at_ms = request.at_ms as f64 / drive.options.speed.max(f64::EPSILON);
        sleep_until(started + Duration::from_micros((at_ms * 1e3) as u64)).await;
        let live = Rc::new(live_request(index, request, &run, &drive.options));
        let (drive, ended) = (drive.clone(), ended.clone());
        tasks.push(actix_rt::spawn(async move {
            drive.request(index, live).await;
            ended();
        }));
    }
    for task in tasks {
        if let Err(error) = task.await {
            std::panic::resume_unwind(error.into_panic());
        }
    }
    drive.settle().await
}

impl Drive {
    /// Tries a request at one entry host after the other until it ends.
    async fn request(&self, index: usize, live: Rc<LiveRequest>) {
        let repeatable = live.idempotency_key.is_none();
        let mut tries: Vec<TryEnd> = Vec::new();
        loop {
            let host = (index + tries.len()) % self.options.entries.len().max(1);
            let entry = &self.options.entries[host];
            let (answer, pace) = call(&self.client, entry, live.clone()).await;
            self.state
                .borrow_mut()
                .count_try(index, &live, &answer.broken, pace, answer.tokens);
            let end = answer.end;
            let tries_left = tries.len() + 1 < self.options.tries_max as usize;
            let again = tries_left && end.may_try_again(repeatable);
            let pause = pause(&end);
            tries.push(end);
            if !again {
                break;
            }
            sleep(pause).await;
        }
        let history = History {
            index,
            count_key: live.run_key().to_owned(),
            repeatable,
            tries,
        };
        self.state.borrow_mut().close(history, self.options.no_cuts);
    }

    /// Reads what really ran and holds it against what callers were told.
    async fn settle(&self) -> DriveReport {
        let mut counts = RunCounts::default();
        let mut unread = Vec::new();
        for engine in &self.options.engines {
            match self.read_counters::<EngineCounters>(engine).await {
                Some(counters) => {
                    let keys = counters.keys.iter();
                    keys.for_each(|(key, ran)| counts.add(key, ran.started));
                }
                None => unread.push(engine.clone()),
            }
        }
        for service in &self.options.services {
            match self.read_counters::<ServiceCounters>(service).await {
                Some(counters) => {
                    let keys = counters.keys.iter();
                    keys.for_each(|runs| counts.add(&runs.key, u64::from(runs.ran)));
                }
                None => unread.push(service.clone()),
            }
        }
        self.state.borrow_mut().conclude(&counts, unread)
    }

    async fn read_counters<T: serde::de::DeserializeOwned>(&self, url: &str) -> Option<T> {
        let request = self.client.get(format!("{url}/admin/counters"));
        let mut response = request.timeout(COUNTER_TIMEOUT).send().await.ok()?;
        let body = response.body().limit(COUNTER_BYTES_MAX).await.ok()?;
        serde_json::from_slice(&body).ok()
    }
}

impl LiveRequest {
    /// The key under which what runs it counts it.
    fn run_key(&self) -> &str {
        match &self.idempotency_key {
            Some(key) if self.is_plain => key,
            _ => &self.count_key,
        }
    }
}

impl State {
    fn new() -> Self {
        State {
            report: DriveReport::default(),
            histories: Vec::new(),
            first_us: gap_histogram(),
            gaps_us: gap_histogram(),
        }
    }

    fn count_try(
        &mut self,
        index: usize,
        live: &LiveRequest,
        broken: &[BrokenPromise],
        pace: Pace,
        tokens: u32,
    ) {
        self.report.tokens += u64::from(tokens);
        if let Some(first_us) = pace.first_us {
            self.first_us.saturating_record(first_us);
        }
        for gap_us in pace.gaps_us {
            self.gaps_us.saturating_record(gap_us);
        }
        for broken in broken {
            self.report.broken.push(BrokenRequest {
                request: index,
                count_key: live.run_key().to_owned(),
                broken: broken.clone(),
            });
        }
    }

    fn close(&mut self, history: History, no_cuts: bool) {
        let report = &mut self.report;
        report.requests += 1;
        report.retries += history.tries.len() as u64 - 1;
        report.not_repeatable += u64::from(!history.repeatable);
        for end in &history.tries {
            if let TryEnd::Refused(refusal) | TryEnd::Failed(refusal) = end {
                let code = format!("{:?}", refusal.code);
                *report.refusals.entry(code).or_default() += 1;
            }
            if no_cuts && *end == TryEnd::Cut {
                report.broken.push(BrokenRequest {
                    request: history.index,
                    count_key: history.count_key.clone(),
                    broken: BrokenPromise::Cut { tokens: 0 },
                });
            }
        }
        match history.tries.last() {
            Some(TryEnd::Complete) => report.completed += 1,
            Some(TryEnd::Refused(_)) => report.refused += 1,
            Some(TryEnd::Failed(_) | TryEnd::Unclear) => report.failed += 1,
            Some(TryEnd::Cut) => report.cut += 1,
            Some(TryEnd::NotSent) | None => report.not_sent += 1,
        }
        self.histories.push(history);
    }

    fn conclude(&mut self, counts: &RunCounts, unread_counters: Vec<String>) -> DriveReport {
        for history in &self.histories {
            let checked = check_runs(
                counts,
                &history.count_key,
                history.repeatable,
                &history.tries,
            );
            if let Some(broken) = checked {
                self.report.broken.push(BrokenRequest {
                    request: history.index,
                    count_key: history.count_key.clone(),
                    broken,
                });
            }
        }
        self.report.unread_counters = unread_counters;
        self.report.first_token_ms_p95 = self.first_us.value_at_quantile(0.95) as f64 / 1e3;
        self.report.token_gap_ms_p99 = self.gaps_us.value_at_quantile(0.99) as f64 / 1e3;
        self.report.clone()
    }
}

fn pause(end: &TryEnd) -> Duration {
    let told_ms = match end {
        TryEnd::Refused(refusal) | TryEnd::Failed(refusal) => refusal.retry_after_ms,
        _ => None,
    };
    Duration::from_millis(told_ms.unwrap_or(PAUSE_MS).min(PAUSE_MAX_MS))
}

fn live_request(
    index: usize,
    request: &TraceRequest,
    run: &str,
    options: &DriveOptions,
) -> LiveRequest {
    let key = options.keys.get(&request.customer);
    let count_key = format!("{run}-{index}");
    LiveRequest {
        api_key: key.unwrap_or(&options.default_key).clone(),
        idempotency_key: (!request.repeatable).then(|| Uuid::now_v7().to_string()),
        service: request.service.to_string(),
        class: request.class.to_string(),
        text: prompt(request, &count_key),
        count_key,
        max_output_tokens: request.max_output_tokens,
        expected_tokens: request.output_tokens.min(request.max_output_tokens),
        is_plain: options.plain.contains(&request.service),
    }
}

/// A prompt as long as the trace says, whose head is shared as the trace says, with the
/// directives of the stand-in engines after the shared head.
fn prompt(request: &TraceRequest, count_key: &str) -> String {
    let mut text = String::new();
    for hash in request.prefix_hashes() {
        // 16 tokens of 4 bytes: one block of the engines' prefix cache.
        let _ = write!(
            text,
            "{hash:016x} shared part of the prompt, one block of it xx\n\n"
        );
        text.truncate(text.len() / 64 * 64);
    }
    let _ = write!(text, "#tokens={} #key={count_key} ", request.output_tokens);
    let bytes = request.prompt_tokens as usize * BYTES_PER_TOKEN;
    while text.len() < bytes {
        text.push_str("diary ");
    }
    text.truncate(text.len().min(bytes.max(96)));
    text
}

#[cfg(test)]
mod tests;
