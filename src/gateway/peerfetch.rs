//! Fetches the list of upstreams from peers, for hosts that don't read the log, and serves it to them.
//!
//! Answers the load of a thousand hosts that start together and all request a list of ten thousand upstreams. The list is
//! packed once and sent to a few hosts at a time. The others get 503 and retry at a rate that doesn't grow with
//! their number, from any host that has the list by then.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::HttpResponse;
use bytes::Bytes;
use futures_util::stream;
use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::event::EventCode;
use crate::gateway::directory;
use crate::gateway::directory::Change;
use crate::gateway::directory::Directory;
use crate::gateway::directory::Upstream;
use crate::gateway::document::catchup::Fault;
use crate::gateway::document::catchup::Holder;
use crate::gateway::document::catchup::Step;
use crate::gateway::evacuations::AnnouncedEvacuations;
use crate::gateway::internalclient::InternalClient;
use crate::gateway::internalclient::ResponsePart;
use crate::gateway::peers::Fetch;
use crate::gateway::position::Era;
use crate::gateway::position::Position;
use crate::gateway::protocol::InternalRequest;
use crate::gateway::protocol::Topic;
use crate::gateway::rollouts::AnnouncedRollout;
use crate::gateway::shared::ChangeSource;
use crate::gateway::shared::Shared;
use crate::gateway::transferguard::TransferGuard;

/// Compression level of zstd. Packing ten thousand upstreams at this level takes milliseconds.
const COMPRESSION_LEVEL: i32 = 1;
/// Largest size of an unpacked list.
const LIST_BYTES_MAX: u32 = 32 << 20;
/// Most changes, in records of the log, that are sent without counting against the number of transfers.
const SMALL_CHANGES_MAX: u64 = 100;
/// Size of the parts in which a list is sent. A transfer is in progress while its receiver reads parts.
const PART_BYTES: usize = 16 << 10;
/// Path of the list of upstreams.
pub const UPSTREAMS_PATH: &str = "/peer/upstreams";
/// Timeout of the first byte from a seed. Dozens of starting hosts request the list from the same seed, which may
/// have a tenth of a core.
pub(crate) const SEED_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of the first byte from any other peer: a few round trips to the farthest data centre, and a few other
/// requests before this one.
pub(crate) const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// A peer's response: its list of upstreams, or the changes to it.
#[derive(Debug, Serialize, Deserialize)]
struct UpstreamsPage {
    /// The log position up to which the peer knows the upstreams.
    position: Position,
    /// Digest of the whole list.
    digest: u64,
    upstreams: PageContent,
    /// Data centres that operators have evacuated.
    evacuations: AnnouncedEvacuations,
    /// Rollouts that operators have ordered.
    rollouts: Vec<AnnouncedRollout>,
}

#[derive(Debug, Serialize, Deserialize)]
enum PageContent {
    /// The whole list.
    All(PackedList),
    /// The changes since the requested position.
    Changes(Vec<Change>),
}

/// The compressed list of all upstreams, each with the position of its record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PackedList {
    /// Size of the unpacked list, in bytes.
    bytes: u32,
    packed: Arc<[u8]>,
}

impl PackedList {
    fn of(list: &[(Upstream, Position)]) -> Result<Self> {
        let bytes = postcard::to_allocvec(list).map_err(unreadable)?;
        let packed = zstd::bulk::compress(&bytes, COMPRESSION_LEVEL).map_err(unreadable)?;
        Ok(PackedList {
            bytes: u32::try_from(bytes.len()).map_err(unreadable)?,
            packed: Arc::from(packed),
        })
    }

    fn unpack(&self) -> Result<Vec<(Upstream, Position)>> {
        let bytes = self.bytes.min(LIST_BYTES_MAX) as usize;
        let bytes = zstd::bulk::decompress(&self.packed, bytes).map_err(unreadable)?;
        let mut list: Vec<(Upstream, Position)> =
            postcard::from_bytes(&bytes).map_err(unreadable)?;
        directory::intern_names(&mut list);
        Ok(list)
    }
}

fn unreadable(error: impl std::fmt::Display) -> Error {
    Error::Document(format!("a list of upstreams: {error}"))
}

/// Caches the packed list until it changes.
#[derive(Debug, Default)]
pub(crate) struct ListCache {
    packed: Option<(Position, u64, PackedList)>,
}

impl ListCache {
    fn get(&mut self, directory: &Directory) -> Result<PackedList> {
        let (position, digest) = (directory.position(), directory.digest());
        if let Some((of, listed, packed)) = &self.packed
            && (*of, *listed) == (position, digest)
        {
            return Ok(packed.clone());
        }
        let packed = PackedList::of(&directory.list_all())?;
        self.packed = Some((position, digest, packed.clone()));
        Ok(packed)
    }
}

/// The query string of a request for upstreams.
#[derive(Debug, Deserialize)]
pub struct UpstreamsQuery {
    /// Offset in the log from which changes are requested; `None` requests the whole list.
    changed_from: Option<u64>,
    /// The era of the log to which the offset belongs.
    era: Option<Era>,
}

impl UpstreamsQuery {
    fn changed_from(&self) -> Option<Position> {
        let era = self.era.unwrap_or_default();
        Some(Position::new(era, self.changed_from?))
    }
}

/// Serves the list of upstreams or the changes to it. Responds with 503 while the maximum number of transfers is in
/// progress.
pub async fn serve_upstreams(shared: &Shared, query: &UpstreamsQuery) -> HttpResponse {
    let position = shared.directory(|directory| directory.complete_to());
    let changed_from = query.changed_from();
    // Removals at a change of era have no position, so changes are complete only within an era.
    let changed_from = changed_from.filter(|from| from.era == position.era);
    let offset = changed_from.map_or(0, |from| from.offset);
    let is_small = position.offset.saturating_sub(offset) <= SMALL_CHANGES_MAX;
    let serving = match is_small {
        true => None,
        false => match TransferGuard::begin(shared, Fetch::Upstreams) {
            Some(serving) => Some(serving),
            None => return HttpResponse::ServiceUnavailable().finish(),
        },
    };
    match page(shared, changed_from) {
        Ok(page) => stream_page(page, serving),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

fn page(shared: &Shared, changed_from: Option<Position>) -> Result<Bytes> {
    let evacuations = shared.announced_evacuations();
    let rollouts = shared.announced_rollouts();
    let page = shared.directory(|directory| -> Result<UpstreamsPage> {
        Ok(UpstreamsPage {
            evacuations,
            rollouts,
            position: directory.complete_to(),
            digest: directory.digest(),
            upstreams: match changed_from {
                Some(from) => PageContent::Changes(directory.changed_from(from)),
                None => PageContent::All(shared.list_cache(|cache| cache.get(directory))?),
            },
        })
    })?;
    let page = postcard::to_allocvec(&page).map_err(unreadable)?;
    Ok(Bytes::from(page))
}

fn stream_page(page: Bytes, serving: Option<TransferGuard>) -> HttpResponse {
    let Some(serving) = serving else {
        return HttpResponse::Ok().body(page);
    };
    let bytes = page.len();
    let parts = (0..bytes).step_by(PART_BYTES).map(move |from| {
        serving.record_progress();
        let to = bytes.min(from + PART_BYTES);
        Ok::<Bytes, actix_web::Error>(page.slice(from..to))
    });
    HttpResponse::Ok()
        .no_chunking(bytes as u64)
        .streaming(stream::iter(parts))
}

/// Fetches the upstreams from peers after `wait`, unless a fetch is in progress or this host has reached `target` by
/// then.
pub(crate) fn fetch_soon(shared: &Shared, target: Position, wait: Duration) {
    let fetching = shared.clone();
    fetch_later(shared, Fetch::Upstreams, wait, async move {
        if fetching.directory(|directory| directory.position()) < target {
            catch_up(&fetching).await;
        }
    });
}

/// Fetches the whole list from `peer` after `wait`, as it differs from this host's though both have read equally far.
/// A host that reads the log itself relies on its own reads.
pub(crate) fn repair_soon(shared: &Shared, peer: SocketAddr, wait: Duration) {
    let now = shared.now();
    let is_reading = shared.is_reading(Topic::Upstreams);
    if is_reading || !shared.directory(|directory| directory.begin_repair(now)) {
        return;
    }
    let repairing = shared.clone();
    fetch_later(shared, Fetch::Upstreams, wait, async move {
        let mut client = PeerClient::new(peer, FETCH_TIMEOUT);
        let outcome = request_upstreams(&repairing, &mut client, UPSTREAMS_PATH).await;
        let outcome = match outcome {
            Ok(outcome) => format!("{outcome:?}").to_lowercase(),
            Err(error) => error.to_string(),
        };
        let line = repairing.log().entry(EventCode::UpstreamsDiffer);
        line.with("peer", peer.to_string())
            .with("outcome", outcome)
            .write();
    });
}

/// Runs a fetch after `wait`, unless one of the same kind is in progress.
pub(crate) fn fetch_later(
    shared: &Shared,
    what: Fetch,
    wait: Duration,
    fetch: impl Future<Output = ()> + 'static,
) {
    if let Some(running) = RunningFetch::begin(shared, what) {
        actix_rt::spawn(async move {
            let _running = running;
            tokio::time::sleep(wait).await;
            fetch.await;
        });
    }
}

/// A fetch that counts as running until this is dropped, also by a panic.
pub(crate) struct RunningFetch {
    shared: Shared,
    what: Fetch,
}

impl RunningFetch {
    /// Begins a fetch, unless one of the same kind is running.
    pub(crate) fn begin(shared: &Shared, what: Fetch) -> Option<Self> {
        let may_begin = shared.peers(|peers| peers.begin_fetch(what));
        may_begin.then(|| RunningFetch {
            shared: shared.clone(),
            what,
        })
    }
}

impl Drop for RunningFetch {
    fn drop(&mut self) {
        self.shared.peers(|peers| peers.end_fetch(self.what));
    }
}

/// The outcome of a request to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// This host's list is as new as the peer's, or newer.
    Applied,
    /// The lists still differ.
    Differs,
    /// The peer has reached its maximum number of transfers.
    Busy,
}

/// Requests the upstreams from peers with a newer list, one after another, until one succeeds or none is left.
async fn catch_up(shared: &Shared) {
    loop {
        let now = shared.now();
        let position = shared.directory(|directory| directory.position());
        let holders = shared.peers(|peers| peers.holders_of_upstreams(now, position));
        let step = shared.list_catch_up(|catch_up| catch_up.next(now, &holders, rand::random()));
        match step {
            Step::Ask(source) => {
                if ask(shared, source, holders.len()).await == Outcome::Applied {
                    return;
                }
            }
            Step::Wait(pause) => tokio::time::sleep(pause).await,
            Step::Stop => return,
        }
    }
}

async fn ask(shared: &Shared, source: Holder, holders: usize) -> Outcome {
    let fetched = fetch_from(shared, source.address, FETCH_TIMEOUT).await;
    let now = shared.now();
    match fetched {
        Ok(Outcome::Busy) => {
            let competing_hosts = shared.peers(|peers| peers.count_local(now)) / holders.max(1);
            shared.list_catch_up(|catch_up| {
                catch_up.record_busy(now, source.address, competing_hosts, rand::random());
            });
            Outcome::Busy
        }
        Ok(outcome) => outcome,
        Err(error) => {
            shared.list_catch_up(|catch_up| {
                catch_up.record_failure(now, source.address, Fault::Unanswered);
            });
            let line = shared.log().entry(EventCode::PeerSuspected);
            line.with("peer", source.address.to_string())
                .with("reason", error.to_string())
                .write();
            Outcome::Differs
        }
    }
}

/// Fetches the upstreams from a seed while this host starts.
///
/// # Errors
///
/// [`Error::Remote`] if the seed doesn't answer or is busy.
pub(crate) async fn fetch_from_seed(shared: &Shared, seed: SocketAddr) -> Result<()> {
    match fetch_from(shared, seed, SEED_TIMEOUT).await? {
        Outcome::Applied | Outcome::Differs => Ok(()),
        Outcome::Busy => Err(Error::Remote {
            peer: seed.to_string(),
            reason: "it serves others".to_owned(),
        }),
    }
}

/// Fetches the changes since this host's position, and the whole list if the lists differ after that.
async fn fetch_from(shared: &Shared, peer: SocketAddr, timeout: Duration) -> Result<Outcome> {
    let mut client = PeerClient::new(peer, timeout);
    let Position { era, offset } = shared.directory(|directory| directory.position());
    if offset > 0 {
        let path = format!("{UPSTREAMS_PATH}?changed_from={offset}&era={era}");
        let outcome = request_upstreams(shared, &mut client, &path).await?;
        if outcome != Outcome::Differs {
            return Ok(outcome);
        }
    }
    request_upstreams(shared, &mut client, UPSTREAMS_PATH).await
}

async fn request_upstreams(
    shared: &Shared,
    client: &mut PeerClient,
    path: &str,
) -> Result<Outcome> {
    let (status, body) = client.call(path).await?;
    match status {
        200 => {}
        503 => return Ok(Outcome::Busy),
        status => return Err(client.unexpected_status(status, path)),
    }
    let page: UpstreamsPage = postcard::from_bytes(&body).map_err(unreadable)?;
    let mut all = match &page.upstreams {
        PageContent::All(packed) => packed.unpack()?,
        PageContent::Changes(_) => Vec::new(),
    };
    // A peer of an earlier release may list what can't be an upstream.
    all.retain(|(upstream, _)| upstream.flaw().is_none());
    let now = shared.now();
    shared.receive_evacuations(&page.evacuations, &client.peer.to_string());
    shared.receive_rollouts(&page.rollouts, &client.peer.to_string());
    let (changes, is_same) = shared.directory(|directory| {
        if page.position < directory.position()
            || (page.position == directory.position() && directory.digest() == page.digest)
        {
            return (Vec::new(), true);
        }
        let changes = match page.upstreams {
            PageContent::All(_) => directory.replace(now, all, page.position),
            PageContent::Changes(changes) => changes
                .iter()
                .filter_map(|change| directory.apply_change(now, change))
                .collect(),
        };
        // Records that this host already has from later positions aren't part of the peer's digest.
        let is_same = directory.digest() == page.digest || directory.has_record_from(page.position);
        if is_same {
            directory.advance(page.position);
        }
        (changes, is_same)
    });
    shared.record_changes(changes, ChangeSource::Peer(&client.peer.to_string()));
    Ok(match is_same {
        true => Outcome::Applied,
        false => Outcome::Differs,
    })
}

/// Sends requests to one peer.
pub(crate) struct PeerClient {
    client: InternalClient,
    /// The peer's address.
    pub(crate) peer: SocketAddr,
    /// Timeout of the first byte of a response.
    timeout: Duration,
}

impl PeerClient {
    pub(crate) fn new(peer: SocketAddr, timeout: Duration) -> Self {
        PeerClient {
            client: InternalClient::new(peer),
            peer,
            timeout,
        }
    }

    /// Returns the status and body of a page.
    async fn call(&mut self, path: &str) -> Result<(u16, Bytes)> {
        self.client
            .call(&InternalRequest::get(path), self.timeout)
            .await
    }

    /// Returns a page, or `None` if the peer has nothing newer.
    pub(crate) async fn get(&mut self, path: &str) -> Result<Option<Bytes>> {
        match self.call(path).await? {
            (200, body) => Ok(Some(body)),
            (404, _) => Ok(None),
            (status, _) => Err(self.unexpected_status(status, path)),
        }
    }

    /// Sends a request and passes the parts of the response to `watch` as they arrive.
    pub(crate) async fn call_streaming(
        &mut self,
        call: &InternalRequest,
        watch: impl FnMut(ResponsePart),
    ) -> Result<u16> {
        self.client.call_streaming(call, self.timeout, watch).await
    }

    /// The error for a response with an unexpected status.
    pub(crate) fn unexpected_status(&self, status: u16, path: &str) -> Error {
        self.error(format!("status {status} for {path}"))
    }

    pub(crate) fn error(&self, reason: impl Into<String>) -> Error {
        Error::Remote {
            peer: self.peer.to_string(),
            reason: reason.into(),
        }
    }
}

#[cfg(test)]
mod tests;
