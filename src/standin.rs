//! The stand-ins at the interfaces: platform, engine and plain service, with their faults.
//!
//! Each has a `serve` that binds a socket and answers with a [`Served`], so that tests and the
//! demo run them in their own process and `cedargauge-standin` as processes of their own. They are
//! fakes for tests and demos: they keep everything in memory and check nothing they need not.

use std::any::Any;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::process;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::dev::Extensions;
use actix_web::dev::Server;
use actix_web::rt;
use actix_web::web;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::SystemClock;
use crate::clock::wall_ms;
use crate::error::Result;
use crate::event::Event;
use crate::event::EventCode;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::journal::DEFAULT_CAPACITY;
use crate::journal::Journal;
use crate::journal::Subject;

/// Exit status of a stand-in that a fault told to die.
pub const DIED_STATUS: i32 = 70;

/// Time for the answer to a fault that ends the process.
pub(crate) const DIE_ANSWER_TIME: Duration = Duration::from_millis(10);

/// Header of a 429 that tells when to ask again, in milliseconds.
pub const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";

/// Shortest output that a prompt without `#tokens=` gets, in tokens.
const OUTPUT_TOKENS_MIN: u64 = 20;

/// Number of different outputs lengths that prompts without `#tokens=` get.
const OUTPUT_TOKENS_SPREAD: u64 = 180;

/// The journal of the stand-in `kind` that listens at `address`.
pub(crate) fn journal(kind: &str, address: SocketAddr) -> Journal {
    let journal = Journal::new(
        HostId::new(format!("{kind}-{address}")),
        Incarnation(wall_ms()),
        SystemClock::new(),
        DEFAULT_CAPACITY,
    );
    journal.record(EventCode::ProcessStarted, Subject::none());
    journal
}

#[derive(Deserialize)]
pub(crate) struct EventsQuery {
    #[serde(default)]
    from: u64,
}

/// `GET /events?from=SEQUENCE`: the events that the journal keeps.
pub(crate) async fn events(
    query: web::Query<EventsQuery>,
    journal: web::Data<Journal>,
) -> web::Json<Vec<Event>> {
    web::Json(journal.events_from(query.from))
}

/// Records a fault as it was told, in JSON.
pub(crate) fn record_fault(journal: &Journal, fault: &impl Serialize) {
    let told = serde_json::to_string(fault).unwrap_or_default();
    journal.record(EventCode::FaultArmed, Subject::none().detail(told));
}

/// A stand-in that listens. Spawn or await `server` to serve.
pub struct Served {
    /// Where it listens.
    pub address: SocketAddr,
    /// The server's future; its handle stops it.
    pub server: Server,
}

/// Opens the socket of a stand-in.
pub(crate) fn listen(address: &str) -> Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// The text of an output's token, which ties it to its prompt: `w{index}-{16 bits of hash} `.
pub fn token_text(prompt: &str, index: u32) -> String {
    let hash = xxh3_64(prompt.as_bytes()) & 0xffff;
    format!("w{index}-{hash:04x} ")
}

/// The whole text of an output of `tokens` tokens.
pub fn output_text(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}

/// The output's true length: the directive `#tokens=N` of the prompt, else by its hash.
pub fn output_tokens(prompt: &str) -> u32 {
    directive(prompt, "tokens")
        .and_then(|value| value.parse().ok())
        .unwrap_or_else(|| {
            let spread = xxh3_64(prompt.as_bytes()) % OUTPUT_TOKENS_SPREAD;
            u32::try_from(OUTPUT_TOKENS_MIN + spread).unwrap_or(u32::MAX)
        })
}

/// The key under which a prompt or body is counted: its `#key=NAME`, else its hash.
pub fn count_key(text: &str) -> String {
    directive(text, "key").map_or_else(
        || format!("{:016x}", xxh3_64(text.as_bytes())),
        str::to_owned,
    )
}

/// The value of a directive `#name=value` in `text`, which ends at white space or a quote.
fn directive<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.split('#').skip(1).find_map(|part| {
        let value = part.strip_prefix(name)?.strip_prefix('=')?;
        let end = value.find(|c: char| c.is_whitespace() || c == '"');
        Some(&value[..end.unwrap_or(value.len())])
    })
}

/// Ends the process once the answer at hand had time to go out.
pub(crate) fn exit_soon(wait: Duration) {
    rt::spawn(async move {
        rt::time::sleep(wait).await;
        process::exit(DIED_STATUS);
    });
}

/// A second handle on a connection's socket, by which a fault cuts it.
struct Socket(TcpStream);

/// Keeps a handle on the socket of every new connection; for `HttpServer::on_connect`.
pub(crate) fn keep_socket(connection: &dyn Any, data: &mut Extensions) {
    let Some(stream) = connection.downcast_ref::<actix_web::rt::net::TcpStream>() else {
        return;
    };
    if let Ok(fd) = stream.as_fd().try_clone_to_owned() {
        data.insert(Socket(TcpStream::from(fd)));
    }
}

/// Cuts the connection of `request`, so that its caller gets no answer.
pub(crate) fn cut(request: &HttpRequest) -> HttpResponse {
    if let Some(socket) = request.conn_data::<Socket>() {
        // The caller may have gone already.
        let _ = socket.0.shutdown(Shutdown::Both);
    }
    HttpResponse::ServiceUnavailable().finish()
}

/// Locks `mutex`; a panic elsewhere does not spread.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests;
