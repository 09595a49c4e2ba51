//! What a host serves to peers that can't read the log, and how it fetches the same from them.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::HttpResponse;
use bytes::Bytes;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::event::EventCode;
use crate::gateway::directory::Upstream;
use crate::gateway::ownclient::OwnClient;
use crate::gateway::protocol::OwnCall;
use crate::gateway::shared::Shared;

/// Path of the configuration.
pub const CONFIGURATION_PATH: &str = "/peer/configuration";
/// Path of the upstreams.
pub const UPSTREAMS_PATH: &str = "/peer/upstreams";
/// Each call to a seed of a host that starts: dozens ask the same seed of a tenth of a core.
const SEED_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Each call to a peer otherwise. 72 hosts had fetched a version 0.26 s after its reader had it, of which
/// up to 0.25 s is the spread of their questions (lines of one play).
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Peers that are asked one after another, until one answers.
const FETCH_TRIES: usize = 3;

/// A configuration as a peer tells it.
#[derive(Debug, Serialize, Deserialize)]
struct ConfigurationPage {
    key: String,
    document: String,
}

/// The upstreams as a peer knows them.
#[derive(Debug, Serialize, Deserialize)]
struct UpstreamsPage {
    offset: u64,
    upstreams: Vec<(Upstream, u64)>,
}

/// Which configuration is asked for.
#[derive(Debug, Deserialize)]
pub struct ConfigurationQuery {
    newer_than: u64,
}

/// Serves the configuration in force, or 404 while it is not newer.
pub async fn serve_configuration(shared: &Shared, query: &ConfigurationQuery) -> HttpResponse {
    match shared.in_force() {
        Some(held) if held.configuration.version > query.newer_than => {
            HttpResponse::Ok().json(ConfigurationPage {
                key: held.key,
                document: String::from_utf8_lossy(&held.document).into_owned(),
            })
        }
        Some(_) | None => HttpResponse::NotFound().finish(),
    }
}

/// Serves the list of upstreams.
pub async fn serve_upstreams(shared: &Shared) -> HttpResponse {
    HttpResponse::Ok().json(shared.directory(|directory| UpstreamsPage {
        offset: directory.offset(),
        upstreams: directory.list_all(),
    }))
}

/// Fetches what `peer`, or by then another host, has newer, after `wait`. A peer that doesn't answer
/// costs its timeout only, not the wait for the next word of news.
pub async fn fetch(shared: Shared, peer: SocketAddr, wait: Duration) {
    tokio::time::sleep(wait).await;
    let now = shared.now();
    let mut peers = shared.peers(|peers| peers.holders(now, shared.config_version()));
    peers.shuffle(&mut rand::rng());
    if peers.is_empty() {
        peers.push(peer);
    }
    for peer in peers.into_iter().take(FETCH_TRIES) {
        let Err(error) = fetch_from(&shared, peer, FETCH_TIMEOUT).await else {
            break;
        };
        let line = shared.log().line(EventCode::PeerSuspected);
        line.with("peer", peer.to_string())
            .with("reason", error.to_string())
            .write();
    }
    shared.peers(|peers| peers.end_fetch());
}

/// Fetches both pages from a seed, as a host does that starts.
///
/// # Errors
///
/// [`Error::Remote`] if the seed doesn't answer.
pub async fn fetch_from_seed(shared: &Shared, seed: SocketAddr) -> Result<()> {
    fetch_from(shared, seed, SEED_TIMEOUT).await
}

async fn fetch_from(shared: &Shared, peer: SocketAddr, timeout: Duration) -> Result<()> {
    let mut client = PeerClient {
        client: OwnClient::new(peer),
        peer,
        timeout,
    };
    let source = peer.to_string();
    let path = format!(
        "{CONFIGURATION_PATH}?newer_than={}",
        shared.config_version()
    );
    if let Some(body) = client.get(&path).await? {
        let page: ConfigurationPage = serde_json::from_slice(&body)?;
        let document = Bytes::from(page.document);
        shared.offer_configuration(&page.key, &document, &source);
    }
    if let Some(body) = client.get(UPSTREAMS_PATH).await? {
        let page: UpstreamsPage = serde_json::from_slice(&body)?;
        let now = shared.now();
        let changes = shared.directory(|directory| {
            if page.offset <= directory.offset() {
                return Vec::new();
            }
            directory.replace(now, page.upstreams, page.offset)
        });
        shared.directory_changes(changes, &source);
    }
    Ok(())
}

/// Asks one peer for pages.
struct PeerClient {
    client: OwnClient,
    peer: SocketAddr,
    timeout: Duration,
}

impl PeerClient {
    async fn get(&mut self, path: &str) -> Result<Option<Bytes>> {
        match self.client.call(&OwnCall::get(path), self.timeout).await? {
            (200, body) => Ok(Some(body)),
            (404, _) => Ok(None),
            (status, _) => Err(Error::Remote {
                peer: self.peer.to_string(),
                reason: format!("status {status} for {path}"),
            }),
        }
    }
}
