//! Handles callers' requests: routes and identifies them, reads the body, then calls an upstream or streams.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::body::BoxBody;
use actix_web::http::ConnectionType;
use actix_web::web;
use bytes::Bytes;
use http::HeaderMap;
use http::header;
use tokio::time::Instant;

use crate::clock::SystemClock;
use crate::clock::Time;
use crate::clock::request_time;
use crate::event::EventCode;
use crate::fingerprint::Content;
use crate::fingerprint::Fingerprint;
use crate::gate::Pass;
use crate::gateway::bodymemory::BodyHold;
use crate::gateway::call;
use crate::gateway::callerconnections::CallerConnection;
use crate::gateway::candidates;
use crate::gateway::candidates::CandidateSet;
use crate::gateway::configuration::Configuration;
use crate::gateway::configuration::Customer;
use crate::gateway::configuration::EngineSpec;
use crate::gateway::connection::ConnectionProfile;
use crate::gateway::countedbody::CountedBody;
use crate::gateway::decisions::LogEntry;
use crate::gateway::dial::DialOptions;
use crate::gateway::forward;
use crate::gateway::forward::CallerRequest;
use crate::gateway::identity;
use crate::gateway::identity::Caller;
use crate::gateway::instance::InstanceId;
use crate::gateway::joining;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Need;
use crate::gateway::pool::ConnectionPool;
use crate::gateway::protocol::GenerationSize;
use crate::gateway::protocol::HeaderNames;
use crate::gateway::protocol::PromptPart;
use crate::gateway::refuse;
use crate::gateway::requestbody;
use crate::gateway::requestbody::ExpectedBody;
use crate::gateway::rollouts::Track;
use crate::gateway::route::Route;
use crate::gateway::route::RouteKind;
use crate::gateway::shared::Hold;
use crate::gateway::shared::Shared;
use crate::gateway::stopping;
use crate::gateway::stopping::Phase;
use crate::gateway::stopping::StopStage;
use crate::gateway::stream;
use crate::id::CustomerId;
use crate::id::RegionId;
use crate::id::RequestId;
use crate::id::ServiceId;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::telemetry;

/// The size assumed for a generation whose request doesn't state it, in tokens.
const DEFAULT_SIZE: GenerationSize = GenerationSize {
    prompt_tokens: 1_000,
    output_tokens_max: 1_000,
    output_tokens_hint: None,
};

/// Parts of a prompt that are told apart; prompts have a handful.
const PARTS_MAX: usize = 16;

/// Retry delay in milliseconds for callers whose service is evacuated in all data centres. All hosts learn
/// within this time that an evacuation has ended.
const EVACUATED_RETRY_AFTER_MS: u64 = 1_000;

/// Factor by which the retry delay of callers is spread while upstreams take no more requests. All would
/// otherwise come back for the same next request that may be sent.
const HOLD_RETRY_SPREAD: f64 = 2.0;
/// Retry delay, before it is spread, of callers whose upstreams first have to answer other requests of this host: some
/// calls take as long.
const ANSWER_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest retry delay while upstreams take no more requests, before it is spread: the load balancer sends the
/// retry to another host, which may be allowed to send sooner.
const HOLD_RETRY_AFTER_MAX: Duration = Duration::from_secs(1);

/// The state that the handlers of one worker thread use.
#[derive(Debug, Clone)]
pub struct WorkerState {
    /// The host's state.
    pub shared: Shared,
    /// Idle connections to upstreams.
    pub pool: Rc<RefCell<ConnectionPool>>,
}

impl WorkerState {
    /// Creates the state of a worker thread, with an empty connection pool.
    pub fn new(shared: Shared) -> Self {
        WorkerState {
            shared,
            pool: Rc::default(),
        }
    }
}

/// A request that has been routed, identified and read.
#[derive(Debug)]
pub struct Admitted {
    /// The request as the caller sent it.
    pub request: CallerRequest,
    /// The caller's id of the request, for logs.
    pub id: String,
    /// A hash of its content, which a repeat under another id shares.
    pub fingerprint: Fingerprint,
    /// The parts of its prompt, in order. Other requests may share them; the last one is usually its own.
    pub parts: Vec<Fingerprint>,
    /// Whether it is the trial of a suspect request whose repeats are held back.
    pub is_trial: Cell<bool>,
    /// Its route.
    pub route: Arc<Route>,
    /// The service chosen by its route.
    pub service: ServiceId,
    /// The engines of the service, if it runs generations.
    pub engine: Option<EngineSpec>,
    /// The customer who sent it; none if the route allows anonymous requests.
    pub customer: Option<CustomerId>,
    /// The weight of the customer's share of scarce room; at least 1.
    pub weight: u32,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// When its head was read.
    pub arrived: Instant,
    /// When the caller's or the route's timeout ends, for timers, which don't count suspensions of the host.
    pub deadline: Instant,
    /// The same deadline by a clock that counts suspensions.
    pub deadline_at: Time,
    /// The clock of `deadline_at`.
    pub clock: SystemClock,
    /// The upstreams it may go to while a version is on trial.
    pub track: Cell<Track>,
    /// The regions in which it may run; `None` allows all.
    pub regions: Option<BTreeSet<RegionId>>,
    /// The version of the configuration under which it was admitted.
    pub config_version: u64,
    /// How far it has come.
    pub(crate) phase: Cell<Phase>,
    /// Counts the request as running while any of its clones lives.
    pub pass: Rc<Pass>,
    /// Counts the memory of its body.
    _body_hold: BodyHold,
}

impl Admitted {
    /// Time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline_at.since(self.clock.now())
    }

    /// How a connection for this request is opened.
    pub(crate) fn dial_options(&self, profile: ConnectionProfile) -> DialOptions<'_> {
        DialOptions {
            profile,
            request: Some(&self.id),
            is_new_work: true,
            regions: self.regions.as_ref(),
        }
    }

    /// Starts a log entry about this request.
    pub fn log_entry(&self, shared: &Shared, code: EventCode) -> LogEntry {
        let ms = self.arrived.elapsed().as_secs_f64() * 1_000.0;
        let entry = shared.log().entry(code);
        entry
            .with("request", self.id.as_str())
            .with("fingerprint", self.fingerprint.to_string())
            .with("route", self.route.name.as_str())
            .with("kind", self.route.kind.name())
            .with("service", self.service.as_str())
            .with("config", self.config_version)
            .with("after_ms", ms)
    }

    /// Responds with a refusal, logs it and counts it.
    pub fn refuse(&self, shared: &Shared, refusal: &Refusal) -> HttpResponse {
        let entry = self.log_entry(shared, EventCode::RequestRefused);
        entry
            .with("code", refusal.code.name())
            .with("ran", format!("{:?}", refusal.ran))
            .with("message", refusal.message.as_str())
            .write();
        telemetry::count_refusal(Some(&self.service), refusal.code);
        refuse::response(refusal, shared.closes_connections())
    }

    /// The refusal of a request that has not run and has no upstream left after `attempts`.
    pub fn no_upstream(&self, shared: &Shared, attempts: usize, reason: &str) -> Refusal {
        if shared.directory(|directory| directory.is_evacuated(&self.service)) {
            let message = format!("not run after {attempts} tries: its data centres are evacuated");
            let refusal = Refusal::not_run(Code::NoUpstream, message);
            return refusal.retry_after_ms(EVACUATED_RETRY_AFTER_MS);
        }
        if let Some(hold) = shared.service_hold(&self.service) {
            shared.record_shortage(&self.service);
            return held_refusal(attempts, hold);
        }
        let message = format!("not run after {attempts} tries: {reason}");
        Refusal::not_run(Code::NoUpstream, message)
    }

    /// The generation's size as the caller states it, or [`DEFAULT_SIZE`].
    pub fn size(&self, shared: &Shared) -> GenerationSize {
        let size = shared.protocol().generation_size(&self.request.headers);
        size.unwrap_or(DEFAULT_SIZE)
    }

    /// Chooses an upstream for `need`, leaving out those of `avoid`. If all that a trial could use are
    /// unhealthy, the request goes to a proved upstream instead: repeats of failed trials would use up the
    /// retry budget before the version is judged.
    pub fn choose_upstream(
        &self,
        shared: &Shared,
        need: Need,
        avoid: &[InstanceId],
    ) -> Option<Candidate> {
        let chosen = self.choose_on_track(shared, need, avoid);
        let is_failing_trial = self.track.get() == Track::Trial
            && chosen.as_ref().is_some_and(|candidate| candidate.unhealthy);
        match is_failing_trial {
            true => {
                self.track.set(Track::Stable);
                self.choose_on_track(shared, need, avoid).or(chosen)
            }
            false => chosen,
        }
    }

    fn choose_on_track(
        &self,
        shared: &Shared,
        need: Need,
        avoid: &[InstanceId],
    ) -> Option<Candidate> {
        let chosen =
            |set| candidates::choose(shared, need, &candidates::list(shared, self, avoid, set));
        match CandidateSet::initial(shared, &self.service) {
            CandidateSet::All => chosen(CandidateSet::All),
            CandidateSet::Subset => chosen(CandidateSet::Subset)
                .filter(|candidate| !candidate.unhealthy)
                .or_else(|| chosen(CandidateSet::All)),
        }
    }
}

/// The refusal of a request that its upstreams take from this host only after `hold`.
fn held_refusal(attempts: usize, hold: Hold) -> Refusal {
    let refusal = |reason: String| {
        let message = format!("not run after {attempts} tries: its upstreams take {reason}");
        Refusal::not_run(Code::Overloaded, message)
    };
    match hold {
        Hold::For(time) => refusal(format!("no more for {} ms", time.as_millis()))
            .retry_after_ms(hold_retry_after_ms(time, rand::random())),
        Hold::UntilAnswer => refusal("no more before they answer".to_owned())
            .retry_after_ms(hold_retry_after_ms(ANSWER_RETRY_AFTER, rand::random())),
        Hold::NoShare => refusal("no more from this host".to_owned()),
    }
}

/// Retry delay in milliseconds of a caller while upstreams take no request of this host for `hold`.
fn hold_retry_after_ms(hold: Duration, draw: f64) -> u64 {
    let delay = hold.min(HOLD_RETRY_AFTER_MAX);
    let delay = delay.mul_f64(1.0 + draw * (HOLD_RETRY_SPREAD - 1.0));
    u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)
}

/// The regions in which both the route and the customer allow a request to run; `None` allows all.
fn allowed_regions(route: &Route, customer: Option<&Customer>) -> Option<BTreeSet<RegionId>> {
    let customer_regions = customer.and_then(|customer| customer.regions.as_ref());
    match (route.regions.as_ref(), customer_regions) {
        (Some(route), Some(customer)) => Some(route & customer),
        (one, other) => one.or(other).cloned(),
    }
}

/// Handles one request of a caller. It counts as running until its answer has been written.
pub(crate) async fn serve(
    worker: web::Data<WorkerState>,
    http: HttpRequest,
    connection: Rc<CallerConnection>,
    payload: web::Payload,
) -> HttpResponse {
    let worker = worker.get_ref();
    let shared = &worker.shared;
    if connection.is_ended() {
        return refuse::response(&refuse::host_crowded(), true);
    }
    let Some(pass) = shared.gate().enter_if_open(RequestId::generate()) else {
        return stopping::refuse_unread(shared);
    };
    let pass = Rc::new(pass);
    let mut response = answer(worker, &http, &connection, payload, pass.clone()).await;
    if connection.is_ended() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    let types = [
        http.head().connection_type(),
        response.head().connection_type(),
    ];
    // The rest of a refused body is read for longer than a host that stops waits for an answer.
    let counted = match types.contains(&ConnectionType::Close) && !connection.has_unread_body() {
        true => {
            connection.hold(pass);
            None
        }
        false => Some(pass),
    };
    response.map_body(|_, body| BoxBody::new(CountedBody::new(body, connection, counted)))
}

/// The answer to one request of a caller.
async fn answer(
    worker: &WorkerState,
    http: &HttpRequest,
    connection: &CallerConnection,
    payload: web::Payload,
    pass: Rc<Pass>,
) -> HttpResponse {
    let shared = &worker.shared;
    let admitted = tokio::select! {
        biased;
        admitted = admit(worker, http, connection, payload, pass) => admitted,
        () = shared.wait_stop_stage(StopStage::Answering) => Err(stopping::refuse_unread(shared)),
    };
    let admitted = match admitted {
        Ok(admitted) => Rc::new(admitted),
        Err(response) => return response,
    };
    let answered = async {
        match admitted.route.kind {
            RouteKind::Stream => stream::run(worker, admitted.clone()).await,
            RouteKind::Idempotent | RouteKind::Once => call::run(worker, &admitted).await,
        }
    };
    tokio::select! {
        biased;
        response = answered => response,
        () = shared.wait_stop_stage(StopStage::Answering) => stopping::answer(shared, &admitted),
    }
}

/// Routes, identifies and reads a request, or responds with the reason why it is refused.
async fn admit(
    worker: &WorkerState,
    http: &HttpRequest,
    connection: &CallerConnection,
    payload: web::Payload,
    pass: Rc<Pass>,
) -> Result<Admitted, HttpResponse> {
    let shared = &worker.shared;
    shared.check_suspension();
    let arrived = Instant::now();
    let headers = forward::convert_headers(http);
    let head_bytes = http.path().len() + header_bytes(&headers);
    let has_body = requestbody::has_body(&headers);
    connection.begin_request(arrived, head_bytes, has_body);
    let request = CallerRequest {
        method: http::Method::from_bytes(http.method().as_str().as_bytes()).unwrap_or_default(),
        target: request_target(http),
        headers,
        body: Bytes::new(),
    };
    let names = shared.protocol().headers();
    let id = request
        .header_text(&names.request_id)
        .unwrap_or("")
        .to_owned();
    let reject = |refusal: Refusal| reject(shared, &id, &request, &refusal);
    let caller_timeout = caller_timeout(&request, names);
    joining::wait_until_initialized(shared, caller_timeout).await;
    if !joining::wait_until_resumed(shared, caller_timeout).await {
        let refusal = Refusal::not_run(Code::NotReady, "the host has just woken from a suspension");
        return Err(reject(refusal));
    }
    let Some(configuration) = shared.configuration() else {
        let refusal = Refusal::not_run(Code::NotReady, "the host has no configuration yet");
        return Err(reject(refusal));
    };
    if header_bytes(&request.headers) > configuration.limits.header_bytes_max {
        let refusal = Refusal::not_run(Code::TooLarge, "the headers are longer than allowed");
        return Err(reject(refusal));
    }
    let (route, service) = find_route(&configuration, http).ok_or_else(|| {
        reject(stale_aware_refusal(
            shared,
            Code::UnknownService,
            "no route matches",
        ))
    })?;
    let customer =
        match identity::identify(&configuration, &route, &request.headers, names.key_scheme) {
            Caller::Known(customer) => Some(customer),
            Caller::Anonymous => None,
            Caller::Unauthorized if is_misdirected(&request, names) => {
                return Err(answer_misdirected(shared, &id, &request));
            }
            Caller::Unauthorized => {
                let refusal =
                    stale_aware_refusal(shared, Code::Unauthorized, "the key names no customer");
                return Err(reject(refusal));
            }
        };
    let timeout = caller_timeout.min(route.timeout);
    let expected = ExpectedBody {
        connection,
        headers: &request.headers,
        bytes_max: configuration.limits.body_bytes_max,
        deadline: arrived + timeout,
    };
    let body = requestbody::read(shared, payload, &expected).await;
    let (body, body_hold) = body.map_err(reject)?;
    connection.end_body(Instant::now(), head_bytes);
    let request = CallerRequest { body, ..request };
    let regions = allowed_regions(&route, customer.as_deref());
    let track = shared.choose_track(&service);
    let own_priority = customer.as_ref().and_then(|customer| customer.priority);
    let weight = customer
        .as_ref()
        .map_or(1, |customer| customer.weight.max(1));
    let customer = customer.map(|customer| customer.name.clone());
    Ok(Admitted {
        fingerprint: request_fingerprint(&request, customer.as_ref()),
        parts: part_fingerprints(&service, &shared.protocol().prompt_parts(&request.headers)),
        request,
        id,
        is_trial: Cell::new(false),
        engine: configuration.engine(&service).cloned(),
        customer,
        weight,
        priority: own_priority.unwrap_or(route.priority),
        service,
        route,
        arrived,
        deadline: arrived + timeout,
        deadline_at: shared.now() + timeout.saturating_sub(arrived.elapsed()),
        clock: shared.clock(),
        track: Cell::new(track),
        regions,
        config_version: configuration.version,
        phase: Cell::default(),
        pass,
        _body_hold: body_hold,
    })
}

fn request_fingerprint(request: &CallerRequest, customer: Option<&CustomerId>) -> Fingerprint {
    Fingerprint::of(&Content {
        customer,
        method: request.method.as_str(),
        authority: request.header_text(&header::HOST).unwrap_or(""),
        target: &request.target,
        body: &request.body,
    })
}

/// The fingerprints of the first [`PARTS_MAX`] parts of a prompt, each once.
fn part_fingerprints(service: &ServiceId, parts: &[PromptPart]) -> Vec<Fingerprint> {
    let mut fingerprints = Vec::new();
    for part in parts.iter().take(PARTS_MAX) {
        let fingerprint = Fingerprint::of_part(service, &part.id);
        if !fingerprints.contains(&fingerprint) {
            fingerprints.push(fingerprint);
        }
    }
    fingerprints
}

/// Bytes of all headers on the wire: name, colon, space, value and line end.
fn header_bytes(headers: &HeaderMap) -> usize {
    let headers = headers.iter();
    headers
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum()
}

fn request_target(http: &HttpRequest) -> String {
    let uri = http.uri();
    match uri.path_and_query() {
        Some(target) => target.as_str().to_owned(),
        None => uri.path().to_owned(),
    }
}

fn find_route(
    configuration: &Configuration,
    http: &HttpRequest,
) -> Option<(Arc<Route>, ServiceId)> {
    let host = http
        .headers()
        .get("host")
        .and_then(|value| value.to_str().ok())
        .or_else(|| http.uri().host())?;
    let route = configuration.routes.find(host, http.uri().path())?;
    let service = route.choose_service(rand::random())?;
    Some((route.clone(), service.clone()))
}

/// The refusal for `code`, or `NotReady` if the configuration may be stale: a newer one may allow the request.
fn stale_aware_refusal(shared: &Shared, code: Code, message: &str) -> Refusal {
    if shared.may_be_stale() {
        let message = format!("{message}, and the configuration may be stale");
        return Refusal::not_run(Code::NotReady, message);
    }
    Refusal::not_run(code, message)
}

fn caller_timeout(request: &CallerRequest, names: &HeaderNames) -> Duration {
    let header = request.header_text(&names.deadline_ms);
    let timeout_ms = header.and_then(|text| text.trim().parse::<f64>().ok());
    let timeout_ms = timeout_ms.filter(|ms| ms.is_finite() && *ms >= 0.0);
    timeout_ms.map_or(Duration::MAX, request_time)
}

/// Whether another host sent the request to an upstream that it takes this host for. Hosts name the instance and keep
/// the caller's key to themselves.
fn is_misdirected(request: &CallerRequest, names: &HeaderNames) -> bool {
    let headers = &request.headers;
    headers.contains_key(&names.expected_instance) && !headers.contains_key(header::AUTHORIZATION)
}

/// Answers as an upstream does that isn't the expected instance, so that the other host sends no more.
fn answer_misdirected(shared: &Shared, id: &str, request: &CallerRequest) -> HttpResponse {
    let names = shared.protocol().headers();
    let instance = request.header_text(&names.expected_instance);
    let entry = shared.log().entry(EventCode::RequestRefused);
    entry
        .with("request", id)
        .with("code", "misdirected")
        .with_some("expected_instance", instance)
        .with("message", "a host is listed as an upstream")
        .write();
    HttpResponse::MisdirectedRequest()
        .insert_header((names.not_run.as_str(), "1"))
        .finish()
}

/// Refuses a request before it is admitted, when its route or customer may be unknown.
fn reject(shared: &Shared, id: &str, request: &CallerRequest, refusal: &Refusal) -> HttpResponse {
    let entry = shared.log().entry(EventCode::RequestRefused);
    entry
        .with("request", id)
        .with("target", request.target.as_str())
        .with("code", refusal.code.name())
        .with("config", shared.config_version())
        .with("stale", shared.may_be_stale())
        .with("message", refusal.message.as_str())
        .write();
    telemetry::count_refusal(None, refusal.code);
    refuse::response(refusal, shared.closes_connections())
}
