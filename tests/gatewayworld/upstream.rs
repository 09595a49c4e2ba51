//! An upstream that behaves as it is told, one behaviour a request.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use socket2::SockRef;

use super::caller::header;

/// What an upstream does with a request.
#[derive(Debug, Clone)]
pub enum Behaviour {
    /// Answers with this status and body.
    Answer(u16, &'static str),
    /// The same with another request's id.
    AnswerOfAnother(&'static str),
    /// Answers with status 200 and this body after a time.
    AnswerAfter(Duration, &'static str),
    /// Says that it did not run the request.
    NotRun,
    /// The same, and asks for this many seconds without requests.
    NotRunFor(&'static str),
    /// Another instance listens here.
    OtherInstance,
    /// Reads the request and closes.
    Close,
    /// Breaks off within the body.
    CutBody,
    /// A body that ends with the connection.
    Unframed(&'static str),
    /// This head, from its status line on, and body; then the connection ends like this. The request's id is added
    /// to the head.
    Raw {
        head: &'static str,
        body: String,
        end: ConnectionEnd,
    },
    /// The first bytes of a whole answer with this body; then the connection ends like this.
    CutAnswer {
        bytes: usize,
        body: &'static str,
        end: ConnectionEnd,
    },
    /// These bytes, and then others again and again until the gateway closes.
    Endless {
        begin: &'static str,
        repeated: &'static str,
        pace: Pace,
    },
    /// A stream of events from the one after the caller's last on that ends with its connection; waits where told
    /// until the run is stopped.
    UnframedEvents { to: u64, hold_after: Option<u64> },
    /// A second answer behind the first.
    Extra(&'static str),
    /// Never answers.
    Mute,
    /// Answers before it reads the body, and reads it afterwards.
    Early(&'static str),
    /// A stream of events from the one after the caller's last on; breaks off where told, and
    /// waits where told until the run is stopped.
    Events {
        to: u64,
        break_after: Option<u64>,
        hold_after: Option<u64>,
    },
    /// The same to its end, with a pause before the head and before each event.
    PacedEvents { to: u64, pause: Duration },
}

/// How a stream of events is written.
struct EventsRun {
    framing: Framing,
    to: u64,
    break_after: Option<u64>,
    hold_after: Option<u64>,
    /// Before the head and before each event.
    pause: Duration,
}

/// How an upstream writes bytes without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// As fast as they are taken.
    Fast,
    /// Some bytes every 20 ms.
    Slow,
}

/// How an upstream ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    Closed,
    Reset,
}

/// How a stream tells its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Chunks,
    /// By the end of its connection.
    Connection,
}

/// A request as an upstream saw it.
#[derive(Debug, Clone)]
pub struct Seen {
    pub head: String,
    pub body: Vec<u8>,
    pub connection: usize,
    pub at: Instant,
}

impl Seen {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// Whether its prompt has this part, other than as the last one, which is its own.
    pub fn shares(&self, part: &str) -> bool {
        let parts = self.header("prompt-parts").unwrap_or("");
        let shared = parts.rsplit_once(',').map_or("", |(shared, _)| shared);
        let ids = shared.split(',').filter_map(|part| part.split_once(':'));
        ids.into_iter().any(|(id, _)| id == part)
    }

    /// Method and target.
    pub fn line(&self) -> &str {
        let line = self.head.lines().next().unwrap_or("");
        line.strip_suffix(" HTTP/1.1").unwrap_or(line)
    }
}

/// When a request ends the process of an upstream that begins to run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Death {
    /// Before any of its answer.
    BeforeAnswer,
    /// With the head of its answer written.
    AfterHead,
    /// After so many events.
    AfterEvents(u64),
}

/// An upstream that bears few rejections.
#[derive(Debug, Clone, Copy)]
struct Brittle {
    /// Rejections a second that its answers name.
    bears_per_s: f64,
    /// Requests that it takes at the same time.
    room: usize,
}

/// What a request has that crashes the upstream.
#[derive(Debug, Clone, Copy)]
enum Cause {
    /// This body.
    Body(&'static str),
    /// One of these parts in its prompt, at any place but the last.
    Parts(&'static [&'static str]),
}

impl Cause {
    /// The body or part by which a request crashes the upstream.
    fn within(self, request: &Seen) -> Option<&'static str> {
        match self {
            Cause::Body(body) => (body.as_bytes() == request.body).then_some(body),
            Cause::Parts(parts) => parts.iter().copied().find(|part| request.shares(part)),
        }
    }
}

/// What ends an upstream.
#[derive(Debug, Clone, Copy)]
struct Deadly {
    cause: Cause,
    death: Death,
    /// Before the head, before each event and before the end.
    pause: Duration,
}

/// The end of an upstream's process under a request.
#[derive(Debug, Clone, Copy)]
pub struct Crash {
    pub at: Instant,
    /// The body or part that caused it.
    pub cause: &'static str,
}

#[derive(Default)]
struct State {
    behaviours: VecDeque<Behaviour>,
    seen: Vec<Seen>,
    closed_by_gateway: usize,
    events_sent: usize,
    stopped: Vec<String>,
    copy_time: Duration,
    copies_begun: usize,
    leaving: bool,
    connections: usize,
    deadly: Option<Deadly>,
    /// Requests a second that its answers name as its limit.
    limit_per_s: Option<f64>,
    /// What it takes while it is brittle.
    brittle: Option<Brittle>,
    /// Requests that are being answered.
    running: usize,
    /// When it turned a request away for want of room.
    rejected: Vec<Instant>,
    dead: bool,
    crash: Option<Crash>,
    /// Its open connections by number, which end with it.
    streams: BTreeMap<usize, TcpStream>,
}

/// A handle on the upstream; clones share it.
#[derive(Clone)]
pub struct FakeUpstream {
    id: String,
    service: &'static str,
    address: SocketAddr,
    data_centre: &'static str,
    version: &'static str,
    state: Arc<Mutex<State>>,
}

impl FakeUpstream {
    /// An upstream of the service `nets`.
    pub fn start(id: &str, behaviours: &[Behaviour]) -> Self {
        FakeUpstream::of("nets", id, behaviours)
    }

    /// An upstream of another service. The last behaviour stays.
    pub fn of(service: &'static str, id: &str, behaviours: &[Behaviour]) -> Self {
        let listener = TcpListener::bind((IpAddr::from([127, 0, 0, 1]), 0)).unwrap();
        let upstream = FakeUpstream {
            id: id.to_owned(),
            service,
            address: listener.local_addr().unwrap(),
            data_centre: "north",
            version: "v1",
            state: Arc::default(),
        };
        upstream.with(|state| state.behaviours = behaviours.iter().cloned().collect());
        let serving = upstream.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_dead() {
                    // With the listener's end new connections are refused.
                    return;
                }
                let upstream = serving.clone();
                std::thread::spawn(move || upstream.serve(stream));
            }
        });
        upstream
    }

    /// The same in another data centre than the hosts'.
    pub fn in_data_centre(self, data_centre: &'static str) -> Self {
        FakeUpstream {
            data_centre,
            ..self
        }
    }

    /// The same with another version of its software.
    pub fn of_version(self, version: &'static str) -> Self {
        FakeUpstream { version, ..self }
    }

    /// An upstream of the service `nets` whose process ends under a request with this body.
    pub fn mortal(id: &str, behaviour: Behaviour, body: &'static str, death: Death) -> Self {
        let upstream = FakeUpstream::start(id, &[behaviour]);
        let deadly = Deadly {
            cause: Cause::Body(body),
            death,
            pause: Duration::ZERO,
        };
        upstream.with(|state| state.deadly = Some(deadly));
        upstream
    }

    /// An upstream of the service `reports` whose process ends under a request with one of these parts in its prompt.
    /// It pauses as [`Behaviour::PacedEvents`] does.
    pub fn mortal_by_parts(
        id: &str,
        behaviour: Behaviour,
        parts: &'static [&'static str],
        death: Death,
        pause: Duration,
    ) -> Self {
        let upstream = FakeUpstream::of("reports", id, &[behaviour]);
        let deadly = Deadly {
            cause: Cause::Parts(parts),
            death,
            pause,
        };
        upstream.with(|state| state.deadly = Some(deadly));
        upstream
    }

    /// How its process ended, if a request crashed it.
    pub fn crash(&self) -> Option<Crash> {
        self.with(|state| state.crash)
    }

    /// Whether its process has ended.
    pub fn is_dead(&self) -> bool {
        self.with(|state| state.dead)
    }

    /// Ends its process: all connections are cut and new ones refused.
    pub fn die(&self) {
        let streams = self.with(|state| {
            state.dead = true;
            std::mem::take(&mut state.streams)
        });
        // The listener looks whether it has to end when somebody connects.
        let _ = TcpStream::connect(self.address);
        for stream in streams.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// An upstream at whose address nobody listens.
    pub fn absent(id: &str) -> Self {
        let listener = TcpListener::bind((IpAddr::from([127, 0, 0, 1]), 0)).unwrap();
        FakeUpstream {
            id: id.to_owned(),
            service: "nets",
            address: listener.local_addr().unwrap(),
            data_centre: "north",
            version: "v1",
            state: Arc::default(),
        }
    }

    pub fn id(&self) -> &str {
        &self.id
    }

    /// The entry by which it lists itself.
    pub fn entry(&self, state: &str) -> Value {
        let state = if state == "ready" { "Ready" } else { "Leaving" };
        json!({"id": self.id, "service": self.service, "address": self.address,
               "data_centre": self.data_centre, "state": state, "slots": 4,
               "version": self.version})
    }

    fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.state.lock().unwrap())
    }

    /// Bytes of the whole answer with this body to a request with this id.
    pub fn answer_bytes(&self, id: &str, body: &str) -> usize {
        let head = format!("X / HTTP/1.1\r\nrequest-id: {id}\r\n");
        self.answer_text(&head, 200, body).len()
    }

    /// The requests that it saw.
    pub fn seen(&self) -> Vec<Seen> {
        self.with(|state| state.seen.clone())
    }

    /// Requests whose connection the gateway closed before an answer.
    pub fn closed_by_gateway(&self) -> usize {
        self.with(|state| state.closed_by_gateway)
    }

    /// Events that were taken from it.
    pub fn events_sent(&self) -> usize {
        self.with(|state| state.events_sent)
    }

    /// Copies of runs that were asked for.
    pub fn copies_begun(&self) -> usize {
        self.with(|state| state.copies_begun)
    }

    /// Runs that were stopped to be moved.
    pub fn stopped(&self) -> Vec<String> {
        self.with(|state| state.stopped.clone())
    }

    /// From now on it takes so long to copy a run.
    pub fn copy_for(&self, time: Duration) {
        self.with(|state| state.copy_time = time);
    }

    /// From now on it does this with each request.
    pub fn behave_as(&self, behaviour: Behaviour) {
        self.with(|state| state.behaviours = VecDeque::from([behaviour]));
    }

    /// From now on it says of itself that it is leaving.
    pub fn leave(&self) {
        self.with(|state| state.leaving = true);
    }

    /// From now on its answers name this limit on the requests a second of all hosts, or none.
    pub fn name_limit(&self, requests_per_s: Option<f64>) {
        self.with(|state| state.limit_per_s = requests_per_s);
    }

    /// From now on its answers say that it bears so many rejections a second, and it takes so many requests at the
    /// same time.
    pub fn be_brittle(&self, bears_per_s: f64, room: usize) {
        self.with(|state| state.brittle = Some(Brittle { bears_per_s, room }));
    }

    /// When it turned a request away for want of room.
    pub fn rejected(&self) -> Vec<Instant> {
        self.with(|state| state.rejected.clone())
    }

    /// Whether it has room for one more request, which then runs.
    fn begin_run(&self) -> bool {
        self.with(|state| {
            let has_room = state
                .brittle
                .is_none_or(|brittle| state.running < brittle.room);
            match has_room {
                true => state.running += 1,
                false => state.rejected.push(Instant::now()),
            }
            has_room
        })
    }

    /// The header lines in which its answers tell its state.
    fn state_headers(&self) -> String {
        let (limit, leaving) = self.with(|state| (state.limit_per_s, state.leaving));
        let brittle = self.with(|state| state.brittle);
        let brittle = brittle.map_or(String::new(), |brittle| {
            format!("rejection-limit: {}\r\n", brittle.bears_per_s)
        });
        let limit = limit.map_or(String::new(), |limit| format!("request-limit: {limit}\r\n"));
        let leaving = if leaving { "leaving: 1\r\n" } else { "" };
        limit + leaving + &brittle
    }

    fn serve(&self, stream: TcpStream) {
        let connection = self.with(|state| {
            state.connections += 1;
            let open = stream.try_clone().ok();
            state
                .streams
                .extend(open.map(|open| (state.connections, open)));
            state.connections
        });
        self.serve_requests(stream, connection);
        // A kept handle would hold the descriptor for as long as the upstream lives.
        self.with(|state| state.streams.remove(&connection));
    }

    fn serve_requests(&self, mut stream: TcpStream, connection: usize) {
        let mut buffer = Vec::new();
        loop {
            let Some(head) = read_head(&mut stream, &mut buffer) else {
                return;
            };
            if head.starts_with("POST /copy ") {
                let body = read_body(&mut stream, &mut buffer, &head);
                self.copy(&stream, &body);
                continue;
            }
            if head.starts_with("GET /report ") {
                let leaving = self.with(|state| state.leaving);
                self.answer(
                    &stream,
                    &head,
                    200,
                    &json!({"leaving": leaving}).to_string(),
                );
                continue;
            }
            let behaviour = self.with(|state| match state.behaviours.len() {
                0 => Behaviour::NotRun,
                1 => state.behaviours[0].clone(),
                _ => state.behaviours.pop_front().unwrap(),
            });
            if let Behaviour::Early(text) = behaviour {
                self.answer(&stream, &head, 200, text);
            }
            let body = read_body(&mut stream, &mut buffer, &head);
            let seen = Seen {
                head: head.clone(),
                body,
                connection,
                at: Instant::now(),
            };
            let deadly = self.with(|state| state.deadly);
            let deadly = deadly.and_then(|deadly| Some((deadly, deadly.cause.within(&seen)?)));
            let is_alive = self.with(|state| {
                state.seen.extend((!state.dead).then_some(seen));
                !state.dead
            });
            if !is_alive {
                return;
            }
            if let Some((deadly, cause)) = deadly {
                self.die_under(&mut stream, &head, deadly, cause);
                return;
            }
            let goes_on = match self.begin_run() {
                true => {
                    let goes_on = self.behave(&mut stream, &head, behaviour);
                    self.with(|state| state.running -= 1);
                    goes_on
                }
                false => self.turn_away(&stream, ""),
            };
            if !goes_on {
                let is_reset = SockRef::from(&stream).linger().unwrap() == Some(Duration::ZERO);
                if !is_reset {
                    // Closing both ways, so that the gateway sees the end at once.
                    let _ = stream.shutdown(Shutdown::Both);
                }
                return;
            }
        }
    }

    fn die_under(&self, stream: &mut TcpStream, head: &str, deadly: Deadly, cause: &'static str) {
        let events = match deadly.death {
            Death::BeforeAnswer => None,
            Death::AfterHead => Some(0),
            Death::AfterEvents(events) => Some(events),
        };
        if let Some(events) = events {
            let run = EventsRun {
                framing: Framing::Chunks,
                to: events + 1,
                break_after: Some(events),
                hold_after: None,
                pause: deadly.pause,
            };
            self.events(stream, head, &run);
        }
        std::thread::sleep(deadly.pause);
        self.with(|state| {
            let at = Instant::now();
            if !state.dead {
                state.crash = Some(Crash { at, cause });
                state.dead = true;
            }
        });
        self.die();
    }

    /// Does as told; false if the connection ends with it.
    fn behave(&self, stream: &mut TcpStream, head: &str, behaviour: Behaviour) -> bool {
        let id = header(head, "request-id").unwrap_or("").to_owned();
        match behaviour {
            Behaviour::Early(_) => true,
            Behaviour::Answer(status, text) => self.answer(stream, head, status, text),
            Behaviour::AnswerAfter(time, text) => {
                std::thread::sleep(time);
                self.answer(stream, head, 200, text)
            }
            Behaviour::AnswerOfAnother(text) => {
                let other = format!("X / HTTP/1.1\r\nrequest-id: other-{id}\r\n");
                self.answer(stream, &other, 200, text)
            }
            Behaviour::NotRun => self.turn_away(stream, ""),
            Behaviour::NotRunFor(seconds) => {
                self.turn_away(stream, &format!("retry-after: {seconds}\r\n"))
            }
            Behaviour::OtherInstance => {
                write(stream, "HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n")
            }
            Behaviour::Close => false,
            Behaviour::CutBody => {
                write(
                    stream,
                    &format!(
                        "HTTP/1.1 200 X\r\nrequest-id: {id}\r\ncontent-length: 90\r\n\r\nthe first half"
                    ),
                );
                false
            }
            Behaviour::Unframed(text) => {
                write(
                    stream,
                    &format!(
                        "HTTP/1.1 200 X\r\nrequest-id: {id}\r\nconnection: close\r\n\r\n{text}"
                    ),
                );
                false
            }
            Behaviour::Raw {
                head: raw_head,
                body,
                end,
            } => {
                write(stream, &format!("{raw_head}request-id: {id}\r\n\r\n{body}"));
                if end == ConnectionEnd::Reset {
                    let socket = SockRef::from(&*stream);
                    socket.set_linger(Some(Duration::ZERO)).unwrap();
                }
                false
            }
            Behaviour::CutAnswer { bytes, body, end } => {
                let answer = self.answer_text(head, 200, body);
                write(stream, &answer[..bytes.min(answer.len())]);
                if end == ConnectionEnd::Reset {
                    let socket = SockRef::from(&*stream);
                    socket.set_linger(Some(Duration::ZERO)).unwrap();
                }
                false
            }
            Behaviour::Endless {
                begin,
                repeated,
                pace,
            } => {
                write(stream, &begin.replace("{id}", &id));
                let block = match pace {
                    Pace::Fast => repeated.repeat(16_384 / repeated.len()),
                    Pace::Slow => repeated.to_owned(),
                };
                while write(stream, &block) {
                    if pace == Pace::Slow {
                        std::thread::sleep(Duration::from_millis(20));
                    }
                }
                self.with(|state| state.closed_by_gateway += 1);
                false
            }
            Behaviour::UnframedEvents { to, hold_after } => {
                let run = EventsRun {
                    framing: Framing::Connection,
                    to,
                    break_after: None,
                    hold_after,
                    pause: Duration::ZERO,
                };
                self.events(stream, head, &run)
            }
            Behaviour::Extra(text) => {
                let both = self.answer_text(head, 200, text)
                    + &self.answer_text(head, 200, "not asked for");
                write(stream, &both)
            }
            Behaviour::Mute => {
                self.wait_closed(stream);
                false
            }
            Behaviour::Events {
                to,
                break_after,
                hold_after,
            } => {
                let run = EventsRun {
                    framing: Framing::Chunks,
                    to,
                    break_after,
                    hold_after,
                    pause: Duration::ZERO,
                };
                self.events(stream, head, &run)
            }
            Behaviour::PacedEvents { to, pause } => {
                let run = EventsRun {
                    framing: Framing::Chunks,
                    to,
                    break_after: None,
                    hold_after: None,
                    pause,
                };
                self.events(stream, head, &run)
            }
        }
    }

    fn turn_away(&self, stream: &TcpStream, headers: &str) -> bool {
        let state = self.state_headers();
        let head = "HTTP/1.1 503 X\r\nnot-run: 1\r\ncontent-length: 0\r\n";
        write(stream, &format!("{head}{headers}{state}\r\n"))
    }

    fn answer(&self, stream: &TcpStream, head: &str, status: u16, text: &str) -> bool {
        write(stream, &self.answer_text(head, status, text))
    }

    fn answer_text(&self, head: &str, status: u16, text: &str) -> String {
        let id = header(head, "request-id").unwrap_or("");
        let length = text.len();
        format!(
            "HTTP/1.1 {status} X\r\nrequest-id: {id}\r\nsignature: {}-{id}\r\n{}content-length: {length}\r\n\r\n{text}",
            self.id,
            self.state_headers()
        )
    }

    fn wait_closed(&self, stream: &mut TcpStream) {
        let mut byte = [0];
        if matches!(stream.read(&mut byte), Ok(0) | Err(_)) {
            self.with(|state| state.closed_by_gateway += 1);
        }
    }

    fn events(&self, stream: &mut TcpStream, head: &str, run: &EventsRun) -> bool {
        let id = header(head, "request-id").unwrap_or("");
        let after = header(head, "last-event-id").and_then(|text| text.parse().ok());
        let framing_header = match run.framing {
            Framing::Chunks => "transfer-encoding: chunked\r\n",
            Framing::Connection => "",
        };
        std::thread::sleep(run.pause);
        write(
            stream,
            &format!(
                "HTTP/1.1 200 X\r\nrequest-id: {id}\r\n{}{framing_header}\r\n",
                self.state_headers()
            ),
        );
        if run.break_after == Some(0) {
            return false;
        }
        for number in after.unwrap_or(0) + 1..=run.to {
            std::thread::sleep(run.pause);
            let event = format!("id: {number}\ndata: {}\n\n", self.id);
            let framed = match run.framing {
                Framing::Chunks => format!("{:x}\r\n{event}\r\n", event.len()),
                Framing::Connection => event,
            };
            if !write(stream, &framed) {
                self.with(|state| state.closed_by_gateway += 1);
                return false;
            }
            self.with(|state| state.events_sent += 1);
            if run.break_after == Some(number) {
                return false;
            }
            if run.hold_after == Some(number) {
                self.hold(stream, id);
                return false;
            }
        }
        match run.framing {
            Framing::Chunks => write(stream, "0\r\n\r\n"),
            Framing::Connection => false,
        }
    }

    /// The run goes on until it is stopped or its caller leaves.
    fn hold(&self, stream: &TcpStream, id: &str) {
        stream
            .set_read_timeout(Some(Duration::from_millis(5)))
            .unwrap();
        let mut byte = [0];
        loop {
            if self.stopped().iter().any(|stopped| stopped == id) {
                return;
            }
            let mut reader = stream;
            if matches!(reader.read(&mut byte), Ok(0)) {
                self.with(|state| state.closed_by_gateway += 1);
                return;
            }
        }
    }

    fn copy(&self, stream: &TcpStream, body: &[u8]) {
        let call: Value = serde_json::from_slice(body).unwrap();
        let run = call["run"].as_str().unwrap().to_owned();
        let copy_time = self.with(|state| {
            state.copies_begun += 1;
            state.copy_time
        });
        if call["last"] == true {
            self.with(|state| state.stopped.push(run.clone()));
        }
        std::thread::sleep(copy_time);
        let done = json!({"handle": format!("copy-of-{run}"), "events": 3}).to_string();
        write(
            stream,
            &format!(
                "HTTP/1.1 200 X\r\ncontent-length: {}\r\n\r\n{done}",
                done.len()
            ),
        );
    }
}

fn write(mut stream: &TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}

fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = buffer.drain(..end + 4).collect::<Vec<u8>>();
            return Some(String::from_utf8_lossy(&head).into_owned());
        }
        fill(stream, buffer)?;
    }
}

fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, head: &str) -> Vec<u8> {
    let length = header(head, "content-length").and_then(|text| text.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < length {
        if fill(stream, buffer).is_none() {
            return std::mem::take(buffer);
        }
    }
    buffer.drain(..length).collect()
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 4096];
    match stream.read(&mut chunk) {
        Ok(0) | Err(_) => None,
        Ok(length) => {
            buffer.extend_from_slice(&chunk[..length]);
            Some(())
        }
    }
}
