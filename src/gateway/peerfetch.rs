//! How a host that doesn't read the log gets the upstreams from its peers, and serves them.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::HttpResponse;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::event::EventCode;
use crate::gateway::directory::Change;
use crate::gateway::directory::Upstream;
use crate::gateway::evacuations::ToldEvacuations;
use crate::gateway::ownclient::Arrival;
use crate::gateway::ownclient::OwnClient;
use crate::gateway::peers::Fetch;
use crate::gateway::position::Era;
use crate::gateway::position::Position;
use crate::gateway::protocol::OwnCall;
use crate::gateway::rollouts::ToldRollout;
use crate::gateway::shared::Shared;
use crate::gateway::shared::ToldBy;

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
    evacuations: ToldEvacuations,
    /// What operators have ordered to be rolled out.
    rollouts: Vec<ToldRollout>,
}

#[derive(Debug, Serialize, Deserialize)]
enum UpstreamsTold {
    /// All, with the positions of their records.
    All(Vec<(Upstream, Position)>),
    /// What changed from the position on that was asked for.
    Changes(Vec<Change>),
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

/// Serves the list of upstreams, or what changed of it.
pub async fn serve_upstreams(shared: &Shared, query: &UpstreamsQuery) -> HttpResponse {
    let evacuations = shared.told_evacuations();
    let rollouts = shared.told_rollouts();
    HttpResponse::Ok().json(shared.directory(|directory| UpstreamsPage {
        evacuations,
        rollouts,
        position: directory.position(),
        digest: directory.digest(),
        upstreams: match query.changed_from() {
            Some(from) if from.era == directory.position().era => {
                UpstreamsTold::Changes(directory.changed_from(from))
            }
            // What was removed between two histories of the log has no position.
            Some(_) | None => UpstreamsTold::All(directory.list_all()),
        },
    }))
}

/// Begins to fetch the upstreams from `peer`, `wait` from now, unless that is under way.
pub(crate) fn fetch_soon(shared: &Shared, peer: SocketAddr, wait: Duration) {
    let fetching = shared.clone();
    fetch_later(shared, Fetch::Upstreams, wait, async move {
        fetch(&fetching, peer).await;
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

async fn fetch(shared: &Shared, peer: SocketAddr) {
    if let Err(error) = fetch_from(shared, peer, FETCH_TIMEOUT).await {
        let line = shared.log().line(EventCode::PeerSuspected);
        line.with("peer", peer.to_string())
            .with("reason", error.to_string())
            .write();
    }
}

/// Fetches the upstreams from a seed, as a host does that starts.
///
/// # Errors
///
/// [`Error::Remote`] if the seed doesn't answer.
pub(crate) async fn fetch_from_seed(shared: &Shared, seed: SocketAddr) -> Result<()> {
    fetch_from(shared, seed, SEED_TIMEOUT).await
}

async fn fetch_from(shared: &Shared, peer: SocketAddr, timeout: Duration) -> Result<()> {
    fetch_upstreams(shared, &mut PeerClient::new(peer, timeout)).await
}

/// Fetches what has changed since this host last knew all; if it then still knows other upstreams than the
/// peer does, all of them.
async fn fetch_upstreams(shared: &Shared, client: &mut PeerClient) -> Result<()> {
    let Position { era, offset } = shared.directory(|directory| directory.position());
    if offset > 0 {
        let path = format!("{UPSTREAMS_PATH}?changed_from={offset}&era={era}");
        if take_upstreams(shared, client, &path).await? {
            return Ok(());
        }
    }
    take_upstreams(shared, client, UPSTREAMS_PATH).await?;
    Ok(())
}

/// Whether this host then knows what the peer knows, or more.
async fn take_upstreams(shared: &Shared, client: &mut PeerClient, path: &str) -> Result<bool> {
    let Some(body) = client.get(path).await? else {
        return Ok(true);
    };
    let page: UpstreamsPage = serde_json::from_slice(&body)?;
    let now = shared.now();
    shared.hear_evacuations(&page.evacuations, &client.peer.to_string());
    shared.hear_rollouts(&page.rollouts, &client.peer.to_string());
    let (changes, is_same) = shared.directory(|directory| {
        if page.position <= directory.position() {
            return (Vec::new(), true);
        }
        let changes = match page.upstreams {
            UpstreamsTold::All(upstreams) => directory.replace(now, upstreams, page.position),
            UpstreamsTold::Changes(told) => told
                .iter()
                .filter_map(|change| directory.take(now, change))
                .collect(),
        };
        let is_same = directory.digest() == page.digest;
        if is_same {
            directory.advance(page.position);
        }
        (changes, is_same)
    });
    shared.directory_changes(changes, ToldBy::Host(&client.peer.to_string()));
    Ok(is_same)
}

/// Asks one peer for pages.
pub(crate) struct PeerClient {
    client: OwnClient,
    /// Its address.
    pub(crate) peer: SocketAddr,
    /// Time for an answer to begin.
    timeout: Duration,
}

impl PeerClient {
    pub(crate) fn new(peer: SocketAddr, timeout: Duration) -> Self {
        PeerClient {
            client: OwnClient::new(peer),
            peer,
            timeout,
        }
    }

    /// A page; none if the peer has nothing newer.
    pub(crate) async fn get(&mut self, path: &str) -> Result<Option<Bytes>> {
        match self.client.call(&OwnCall::get(path), self.timeout).await? {
            (200, body) => Ok(Some(body)),
            (404, _) => Ok(None),
            (status, _) => Err(self.refused(status, path)),
        }
    }

    /// Makes a call whose answer is seen as it arrives.
    pub(crate) async fn call_watched(
        &mut self,
        call: &OwnCall,
        watch: impl FnMut(Arrival),
    ) -> Result<u16> {
        self.client.call_watched(call, self.timeout, watch).await
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
