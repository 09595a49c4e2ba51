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
use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use uuid::Uuid;

use crate::appender;
use crate::appender::Appender;
use crate::appender::AppenderOptions;
use crate::appender::Entry;
use crate::clock::SystemClock;
use crate::clock::Time;
use crate::follower::Follower;
use crate::follower::StreamEvent;
use crate::following::run_follower;
use crate::id::DataCentre;
use crate::id::Offset;
use crate::loghttp::LogHttp;
use crate::platform::HostList;
use crate::quota::Quota;

/// Header that tells the platform the caller's data centre.
pub const DATA_CENTRE_HEADER: &str = "x-data-centre";

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
        self.start_following(stream, from, false)
    }

    /// The same, and records are delivered only after the one before them was read again: for
    /// streams whose history must never change unnoticed.
    pub fn follow_checked(&self, stream: &str, from: Offset) -> mpsc::Receiver<StreamEvent> {
        self.start_following(stream, from, true)
    }

    /// The platform's list of hosts; none if it could not be read.
    pub async fn hosts(&self) -> Option<HostList> {
        self.actor.send(AskHosts).await.ok().flatten()
    }

    fn start_following(
        &self,
        stream: &str,
        from: Offset,
        checks_always: bool,
    ) -> mpsc::Receiver<StreamEvent> {
        let (sender, receiver) = mpsc::channel(EVENTS_WAITING);
        self.actor.do_send(Follow {
            stream: stream.to_owned(),
            from,
            checks_always,
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
    checks_always: bool,
    sender: mpsc::Sender<StreamEvent>,
}

#[derive(Debug, Message)]
#[rtype(result = "Option<HostList>")]
struct AskHosts;

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
        let mut follower = Follower::new(options, follow.from, seed);
        if follow.checks_always {
            follower = follower.checking_always();
        }
        let http = Rc::clone(&self.http);
        let following = run_follower(follower, http, self.clock, follow.stream, follow.sender);
        context.spawn(following.into_actor(self));
    }
}

impl Handler<AskHosts> for LogClient {
    type Result = ResponseFuture<Option<HostList>>;

    fn handle(&mut self, _: AskHosts, _: &mut Context<Self>) -> Self::Result {
        let http = Rc::clone(&self.http);
        Box::pin(async move { http.hosts().await })
    }
}
