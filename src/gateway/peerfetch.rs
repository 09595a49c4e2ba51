//! How a host that doesn't read the log gets the upstreams from its peers, and serves them.
//!
//! The load that this answers: a thousand hosts that start together want a list of ten thousand upstreams. It is packed
//! once and sent to a few at a time; the others are sent away, ask again at a rate that doesn't grow with their
//! number, and find those that have it by then.

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
use crate::gateway::rollouts::AnnouncedRollout;
use crate::gateway::shared::ChangeSource;
use crate::gateway::shared::Shared;
use crate::gateway::transferguard::TransferGuard;

/// zstd's level at which a list of ten thousand upstreams takes a host milliseconds.
const LEVEL: i32 = 1;
/// A list of more bytes is none.
const LIST_BYTES_MAX: u32 = 32 << 20;
/// So many records of the log are told to all that ask at once.
const SMALL_CHANGES: u64 = 100;
/// A transfer of a list counts as under way while its receiver takes parts of this size.
const PART_BYTES: usize = 16 << 10;
/// Path of the upstreams.
pub const UPSTREAMS_PATH: &str = "/peer/upstreams";
/// A seed's answer to a host that starts begins within this time: dozens ask the same seed of a tenth of a
/// core.
pub(crate) const SEED_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Any other peer's answer begins within this time: some round trips of the farthest data centre, and one host
/// that is asked by a few others.
pub(crate) const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// The upstreams as a peer knows them, or what changed of them.
#[derive(Debug, Serialize, Deserialize)]
struct UpstreamsPage {
    position: Position,
    /// Of all that is listed.
    digest: u64,
    upstreams: UpstreamsTold,
    /// Which of them get no new work because operators have evacuated their data centres.
    evacuations: AnnouncedEvacuations,
    /// What operators have ordered to be rolled out.
    rollouts: Vec<AnnouncedRollout>,
}

#[derive(Debug, Serialize, Deserialize)]
enum UpstreamsTold {
    /// All, packed.
    All(PackedList),
    /// What changed from the position on that was asked for.
    Changes(Vec<Change>),
}

/// The whole list, each upstream with the position of its record, as it travels.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PackedList {
    bytes: u32,
    packed: Arc<[u8]>,
}

impl PackedList {
    fn of(list: &[(Upstream, Position)]) -> Result<Self> {
        let bytes = postcard::to_allocvec(list).map_err(unreadable)?;
        let packed = zstd::bulk::compress(&bytes, LEVEL).map_err(unreadable)?;
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

/// A whole list that was packed for one peer serves all that ask before it changes.
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

/// Which upstreams are asked for.
#[derive(Debug, Deserialize)]
pub struct UpstreamsQuery {
    /// Only what has changed from this offset of the log on,
    changed_from: Option<u64>,
    /// in this history of it.
    era: Option<Era>,
}

impl UpstreamsQuery {
    fn changed_from(&self) -> Option<Position> {
        let era = self.era.unwrap_or_default();
        Some(Position::new(era, self.changed_from?))
    }
}

/// Serves the list of upstreams, or what changed of it; 503 while enough other hosts are being served.
pub async fn serve_upstreams(shared: &Shared, query: &UpstreamsQuery) -> HttpResponse {
    let position = shared.directory(|directory| directory.position());
    let changed_from = query.changed_from();
    // What was removed between two histories of the log has no position.
    let changed_from = changed_from.filter(|from| from.era == position.era);
    let offset = changed_from.map_or(0, |from| from.offset);
    let is_small = position.offset.saturating_sub(offset) <= SMALL_CHANGES;
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
            position: directory.position(),
            digest: directory.digest(),
            upstreams: match changed_from {
                Some(from) => UpstreamsTold::Changes(directory.changed_from(from)),
                None => UpstreamsTold::All(shared.list_cache(|cache| cache.get(directory))?),
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

/// Begins to fetch the upstreams from peers that know more, `wait` from now, unless that is under way, or this host knows
/// them as of `told` by then.
pub(crate) fn fetch_soon(shared: &Shared, told: Position, wait: Duration) {
    let fetching = shared.clone();
    fetch_later(shared, Fetch::Upstreams, wait, async move {
        if fetching.directory(|directory| directory.position()) < told {
            catch_up(&fetching).await;
        }
    });
}

/// Runs a fetch, `wait` from now, unless one of the same is under way.
pub(crate) fn fetch_later(
    shared: &Shared,
    what: Fetch,
    wait: Duration,
    fetch: impl Future<Output = ()> + 'static,
) {
    if shared.peers(|peers| peers.begin_fetch(what)) {
        let shared = shared.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(wait).await;
            fetch.await;
            shared.peers(|peers| peers.end_fetch(what));
        });
    }
}

/// What asking a peer came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// This host knows what the peer knows, or more.
    Taken,
    /// It still knows other upstreams.
    Differs,
    /// The peer serves as many as it can.
    Busy,
}

/// Asks one peer after another that knows more, until one has told, or none answers.
async fn catch_up(shared: &Shared) {
    loop {
        let now = shared.now();
        let position = shared.directory(|directory| directory.position());
        let holders = shared.peers(|peers| peers.holders_of_upstreams(now, position));
        let step = shared.list_catch_up(|catch_up| catch_up.next(now, &holders, rand::random()));
        match step {
            Step::Ask(source) => {
                if ask(shared, source, holders.len()).await == Outcome::Taken {
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
            let rivals = shared.peers(|peers| peers.count_local(now)) / holders.max(1);
            shared.list_catch_up(|catch_up| {
                catch_up.was_busy(now, source.address, rivals, rand::random());
            });
            Outcome::Busy
        }
        Ok(outcome) => outcome,
        Err(error) => {
            shared.list_catch_up(|catch_up| {
                catch_up.has_failed(now, source.address, Fault::Unanswered);
            });
            let line = shared.log().entry(EventCode::PeerSuspected);
            line.with("peer", source.address.to_string())
                .with("reason", error.to_string())
                .write();
            Outcome::Differs
        }
    }
}

/// Fetches the upstreams from a seed, as a host does that starts.
///
/// # Errors
///
/// [`Error::Remote`] if the seed doesn't answer or is busy.
pub(crate) async fn fetch_from_seed(shared: &Shared, seed: SocketAddr) -> Result<()> {
    match fetch_from(shared, seed, SEED_TIMEOUT).await? {
        Outcome::Taken | Outcome::Differs => Ok(()),
        Outcome::Busy => Err(Error::Remote {
            peer: seed.to_string(),
            reason: "it serves others".to_owned(),
        }),
    }
}

/// Fetches what has changed since this host last knew all; if it then still knows other upstreams than the
/// peer does, all of them.
async fn fetch_from(shared: &Shared, peer: SocketAddr, timeout: Duration) -> Result<Outcome> {
    let mut client = PeerClient::new(peer, timeout);
    let Position { era, offset } = shared.directory(|directory| directory.position());
    if offset > 0 {
        let path = format!("{UPSTREAMS_PATH}?changed_from={offset}&era={era}");
        let outcome = take_upstreams(shared, &mut client, &path).await?;
        if outcome != Outcome::Differs {
            return Ok(outcome);
        }
    }
    take_upstreams(shared, &mut client, UPSTREAMS_PATH).await
}

async fn take_upstreams(shared: &Shared, client: &mut PeerClient, path: &str) -> Result<Outcome> {
    let (status, body) = client.call(path).await?;
    match status {
        200 => {}
        503 => return Ok(Outcome::Busy),
        status => return Err(client.refused(status, path)),
    }
    let page: UpstreamsPage = postcard::from_bytes(&body).map_err(unreadable)?;
    let all = match &page.upstreams {
        UpstreamsTold::All(packed) => packed.unpack()?,
        UpstreamsTold::Changes(_) => Vec::new(),
    };
    let now = shared.now();
    shared.receive_evacuations(&page.evacuations, &client.peer.to_string());
    shared.receive_rollouts(&page.rollouts, &client.peer.to_string());
    let (changes, is_same) = shared.directory(|directory| {
        if page.position <= directory.position() {
            return (Vec::new(), true);
        }
        let changes = match page.upstreams {
            UpstreamsTold::All(_) => directory.replace(now, all, page.position),
            UpstreamsTold::Changes(told) => told
                .iter()
                .filter_map(|change| directory.apply_change(now, change))
                .collect(),
        };
        // What this host has heard of later records alone is not in the peer's hash.
        let is_same = directory.digest() == page.digest || directory.has_record_from(page.position);
        if is_same {
            directory.advance(page.position);
        }
        (changes, is_same)
    });
    shared.record_changes(changes, ChangeSource::Peer(&client.peer.to_string()));
    Ok(match is_same {
        true => Outcome::Taken,
        false => Outcome::Differs,
    })
}

/// Asks one peer for pages.
pub(crate) struct PeerClient {
    client: InternalClient,
    /// Its address.
    pub(crate) peer: SocketAddr,
    /// Time for an answer to begin.
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

    /// Status and body of a page.
    async fn call(&mut self, path: &str) -> Result<(u16, Bytes)> {
        self.client
            .call(&InternalRequest::get(path), self.timeout)
            .await
    }

    /// A page; none if the peer has nothing newer.
    pub(crate) async fn get(&mut self, path: &str) -> Result<Option<Bytes>> {
        match self.call(path).await? {
            (200, body) => Ok(Some(body)),
            (404, _) => Ok(None),
            (status, _) => Err(self.refused(status, path)),
        }
    }

    /// Makes a call whose answer is seen as it arrives.
    pub(crate) async fn call_streaming(
        &mut self,
        call: &InternalRequest,
        watch: impl FnMut(ResponsePart),
    ) -> Result<u16> {
        self.client.call_streaming(call, self.timeout, watch).await
    }

    /// The peer answered with a status that it should not.
    pub(crate) fn refused(&self, status: u16, path: &str) -> Error {
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
