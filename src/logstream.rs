//! The client of the platform's log: appends and reads streams over HTTP.
//!
//! One actor a process owns the [`Appender`] of each stream and the [`Quota`] that they share;
//! each stream that is followed has a task with a [`Follower`].

use std::collections::HashMap;
use std::collections::hash_map::Entry as MapEntry;
use std::rc::Rc;
use std::time::Duration;

use actix::Actor;
use actix::ActorFutureExt;
use actix::Addr;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::ResponseFuture;
use actix::WrapFuture;
use awc::Client;
use awc::http::StatusCode;
use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use uuid::Uuid;

use crate::appender;
use crate::appender::Appender;
use crate::appender::AppenderOptions;
use crate::appender::Entry;
use crate::clock::SystemClock;
use crate::clock::Time;
use crate::follower;
use crate::follower::Follower;
use crate::follower::StreamEvent;
use crate::id::DataCentre;
use crate::id::Offset;
use crate::platform::AppendAnswer;
use crate::platform::AppendRequest;
use crate::platform::ReadAnswer;
use crate::quota::Quota;

/// Header that tells the platform the caller's data centre.
pub const DATA_CENTRE_HEADER: &str = "x-data-centre";

/// Largest answer that is read, in bytes: a snapshot of a full-size table fits.
const ANSWER_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Events of a followed stream that may wait for who follows it.
const EVENTS_WAITING: usize = 16;

/// How the platform's log is used.
#[derive(Debug, Clone, PartialEq, Builder, Serialize, Deserialize)]
#[builder(default)]
#[serde(default, deny_unknown_fields)]
pub struct LogOptions {
    /// Appends a second over all streams of the process; 10 by default.
    pub appends_per_s: f64,
    /// Bytes appended a second over all streams of the process; 1,048,576 by default.
    pub bytes_per_s: f64,
    /// Unused appends and bytes are saved up for this long, in milliseconds; 500 by default.
    pub burst_ms: u64,
    /// An append not answered by then may have taken effect, in milliseconds; 2,000 by default.
    pub append_timeout_ms: u64,
    /// How long a read waits at the platform for a record, in milliseconds; 5,000 by default.
    pub poll_wait_ms: u64,
    /// A read not answered this long after its wait has failed, in milliseconds; 2,000 by default.
    pub read_timeout_ms: u64,
    /// Most records in the answer to one read; 1,000 by default.
    pub read_records: u64,
    /// Bounds of each append.
    pub appender: AppenderOptions,
}

impl Default for LogOptions {
    fn default() -> Self {
        LogOptions {
            appends_per_s: 10.0,
            bytes_per_s: 1_048_576.0,
            burst_ms: 500,
            append_timeout_ms: 2_000,
            poll_wait_ms: 5_000,
            read_timeout_ms: 2_000,
            read_records: 1_000,
            appender: AppenderOptions::default(),
        }
    }
}

/// What became of a record that was to be appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// It stands in the stream, first at this offset.
    Settled(Offset),
    /// It was never written to the platform, and never will be.
    NotAppended,
    /// Retention passed over the place where it may have stood, or the client stopped.
    Unsettled,
}

/// A handle on the process's client of the log; clones share it.
#[derive(Debug, Clone)]
pub struct LogHandle {
    actor: Addr<LogClient>,
}

impl LogHandle {
    /// Starts the client in the current arbiter.
    ///
    /// `platform_address` is the platform's `address:port`; `seed` drives the jitter.
    pub fn start(
        platform_address: &str,
        data_centre: &DataCentre,
        options: LogOptions,
        seed: u64,
    ) -> Self {
        let client = LogClient::new(platform_address, data_centre, options, seed);
        LogHandle {
            actor: client.start(),
        }
    }

    /// Appends a record and waits until its place in the stream is known.
    ///
    /// `data` must be unique in the stream, by `id` or otherwise. If it could not be written to
    /// the platform within `wait_limit`, it is given up as [`AppendOutcome::NotAppended`]. Once
    /// it was written, the answer waits until its fate is known, however long that takes.
    pub async fn append(
        &self,
        stream: &str,
        id: Uuid,
        data: String,
        wait_limit: Option<Duration>,
    ) -> AppendOutcome {
        let append = Append {
            stream: stream.to_owned(),
            id,
            data,
            wait_limit,
        };
        let answer = self.actor.send(append).await;
        answer.unwrap_or(AppendOutcome::Unsettled)
    }

    /// Follows a stream from `from` on until the receiver is dropped.
    pub fn follow(&self, stream: &str, from: Offset) -> mpsc::Receiver<StreamEvent> {
        let (sender, receiver) = mpsc::channel(EVENTS_WAITING);
        self.actor.do_send(Follow {
            stream: stream.to_owned(),
            from,
            sender,
        });
        receiver
    }
}

#[derive(Debug, Message)]
#[rtype(result = "AppendOutcome")]
struct Append {
    stream: String,
    id: Uuid,
    data: String,
    wait_limit: Option<Duration>,
}

#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Follow {
    stream: String,
    from: Offset,
    sender: mpsc::Sender<StreamEvent>,
}

/// The actor that owns the appenders.
struct LogClient {
    http: Rc<LogHttp>,
    clock: SystemClock,
    quota: Quota,
    streams: HashMap<String, Stream>,
    seed: u64,
}

/// A stream that is appended to.
struct Stream {
    appender: Appender,
    answers: HashMap<Uuid, oneshot::Sender<AppendOutcome>>,
    wakes_at: Option<Time>,
}

impl LogClient {
    fn new(address: &str, data_centre: &DataCentre, options: LogOptions, seed: u64) -> Self {
        let clock = SystemClock::new();
        let burst = Duration::from_millis(options.burst_ms);
        let quota = Quota::new(
            clock.now(),
            options.appends_per_s,
            options.bytes_per_s,
            burst,
        );
        LogClient {
            http: Rc::new(LogHttp::new(address, data_centre, options)),
            clock,
            quota,
            streams: HashMap::new(),
            seed,
        }
    }

    /// A seed of its own for each stream.
    fn next_seed(&mut self) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.seed
    }

    fn stream(&mut self, name: &str) -> &mut Stream {
        let seed = self.next_seed();
        let options = &self.http.options.appender;
        match self.streams.entry(name.to_owned()) {
            MapEntry::Occupied(entry) => entry.into_mut(),
            MapEntry::Vacant(entry) => entry.insert(Stream {
                appender: Appender::new(options.clone(), seed),
                answers: HashMap::new(),
                wakes_at: None,
            }),
        }
    }

    fn step(&mut self, name: &str, input: appender::Input, context: &mut Context<Self>) {
        let now = self.clock.now();
        let Some(stream) = self.streams.get_mut(name) else {
            return;
        };
        let actions = stream.appender.step(now, &mut self.quota, input);
        for action in actions {
            self.act(name, action, context);
        }
    }

    fn act(&mut self, name: &str, action: appender::Action, context: &mut Context<Self>) {
        match action {
            appender::Action::Append(records) => self.send(name, records, context),
            appender::Action::Read(from) => self.read(name, from, context),
            appender::Action::Wake(at) => self.wake(name, at, context),
            appender::Action::Settled(id, offset) => {
                self.answer(name, id, AppendOutcome::Settled(offset));
            }
            appender::Action::NotAppended(id) => self.answer(name, id, AppendOutcome::NotAppended),
            appender::Action::Unsettled(id) => self.answer(name, id, AppendOutcome::Unsettled),
        }
    }

    fn send(&self, name: &str, records: Vec<String>, context: &mut Context<Self>) {
        let http = Rc::clone(&self.http);
        let stream = name.to_owned();
        let appending = async move {
            let input = http.append(&stream, records).await;
            (stream, input)
        };
        self.step_after(appending, context);
    }

    fn read(&self, name: &str, from: Offset, context: &mut Context<Self>) {
        let http = Rc::clone(&self.http);
        let stream = name.to_owned();
        let reading = async move {
            let input = match http.read(&stream, from, false).await {
                Some(answer) => appender::Input::Read(answer),
                None => appender::Input::ReadFailed,
            };
            (stream, input)
        };
        self.step_after(reading, context);
    }

    fn step_after(
        &self,
        doing: impl Future<Output = (String, appender::Input)> + 'static,
        context: &mut Context<Self>,
    ) {
        let stepping = doing
            .into_actor(self)
            .map(|(name, input), client, context| client.step(&name, input, context));
        context.spawn(stepping);
    }

    /// Sets the stream's timer, unless it fires by then anyway.
    fn wake(&mut self, name: &str, at: Time, context: &mut Context<Self>) {
        let now = self.clock.now();
        let Some(stream) = self.streams.get_mut(name) else {
            return;
        };
        if stream.wakes_at.is_some_and(|set| now < set && set <= at) {
            return;
        }
        stream.wakes_at = Some(at);
        let name = name.to_owned();
        context.run_later(at.since(now), move |client, context| {
            client.step(&name, appender::Input::Wake, context);
        });
    }

    fn answer(&mut self, name: &str, id: Uuid, outcome: AppendOutcome) {
        let stream = self.streams.get_mut(name);
        if let Some(answer) = stream.and_then(|stream| stream.answers.remove(&id)) {
            // Who asked may have stopped waiting.
            let _ = answer.send(outcome);
        }
    }
}

impl Actor for LogClient {
    type Context = Context<Self>;
}

impl Handler<Append> for LogClient {
    type Result = ResponseFuture<AppendOutcome>;

    fn handle(&mut self, append: Append, context: &mut Context<Self>) -> Self::Result {
        let (sender, receiver) = oneshot::channel();
        let now = self.clock.now();
        let stream = self.stream(&append.stream);
        stream.answers.insert(append.id, sender);
        let entry = Entry {
            id: append.id,
            data: append.data,
            expires_at: append.wait_limit.map(|limit| now + limit),
        };
        self.step(&append.stream, appender::Input::Submit(entry), context);
        Box::pin(async move { receiver.await.unwrap_or(AppendOutcome::Unsettled) })
    }
}

impl Handler<Follow> for LogClient {
    type Result = ();

    fn handle(&mut self, follow: Follow, context: &mut Context<Self>) {
        let seed = self.next_seed();
        let options = self.http.options.appender.clone();
        let follower = Follower::new(options, follow.from, seed);
        let following = run_follower(follower, Rc::clone(&self.http), self.clock, follow);
        context.spawn(following.into_actor(self));
    }
}

/// Runs a follower until nobody listens.
async fn run_follower(
    mut follower: Follower,
    http: Rc<LogHttp>,
    clock: SystemClock,
    follow: Follow,
) {
    let mut input = follower::Input::Wake;
    loop {
        let actions = follower.step(clock.now(), input);
        input = follower::Input::Wake;
        for action in actions {
            match action {
                follower::Action::Tell(event) => {
                    if follow.sender.send(event).await.is_err() {
                        return;
                    }
                }
                follower::Action::Wake(at) => {
                    actix_rt::time::sleep(at.since(clock.now())).await;
                }
                follower::Action::Read { from, wait } => {
                    let answer = http.read(&follow.stream, from, wait).await;
                    input = answer.map_or(follower::Input::Failed, follower::Input::Read);
                }
            }
        }
        if follow.sender.is_closed() {
            return;
        }
    }
}

/// The platform's log over HTTP.
struct LogHttp {
    client: Client,
    address: String,
    options: LogOptions,
}

impl LogHttp {
    fn new(address: &str, data_centre: &DataCentre, options: LogOptions) -> Self {
        let client = Client::builder()
            .add_default_header((DATA_CENTRE_HEADER, data_centre.as_str()))
            .disable_redirects()
            .disable_timeout()
            .finish();
        LogHttp {
            client,
            address: address.to_owned(),
            options,
        }
    }

    async fn append(&self, stream: &str, records: Vec<String>) -> appender::Input {
        let url = self.url(stream);
        let timeout = Duration::from_millis(self.options.append_timeout_ms);
        let sending = self
            .client
            .post(url)
            .timeout(timeout)
            .send_json(&AppendRequest { records });
        match sending.await {
            Ok(mut response) => match response.status() {
                StatusCode::OK => match response.json::<AppendAnswer>().await {
                    Ok(answer) => appender::Input::Appended(answer),
                    Err(_) => appender::Input::Lost,
                },
                StatusCode::TOO_MANY_REQUESTS => appender::Input::Refused,
                status if status.is_client_error() => appender::Input::Rejected,
                _ => appender::Input::Lost,
            },
            // Without a connection nothing was written.
            Err(awc::error::SendRequestError::Connect(_)) => appender::Input::Refused,
            Err(_) => appender::Input::Lost,
        }
    }

    /// Reads a page; none if that failed.
    async fn read(&self, stream: &str, from: Offset, wait: bool) -> Option<ReadAnswer> {
        let wait_ms = if wait { self.options.poll_wait_ms } else { 0 };
        let limit = self.options.read_records;
        let url = format!(
            "{}?from={from}&limit={limit}&wait_ms={wait_ms}",
            self.url(stream)
        );
        let timeout = Duration::from_millis(wait_ms + self.options.read_timeout_ms);
        self.get(&url, timeout).await
    }

    async fn get<T: DeserializeOwned>(&self, url: &str, timeout: Duration) -> Option<T> {
        let mut response = self.client.get(url).timeout(timeout).send().await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        response.json().limit(ANSWER_BYTES_MAX).await.ok()
    }

    fn url(&self, stream: &str) -> String {
        format!("http://{}/v1/streams/{stream}/records", self.address)
    }
}
