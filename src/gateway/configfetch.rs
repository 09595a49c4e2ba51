//! Fetches newer configurations from peers and serves the active one to them.
//!
//! A host that learns of a newer version requests its manifest and then the pieces that it lacks, from one
//! source after another until it has them all ([`CatchUp`]). Pieces that have arrived are not requested
//! again. A source serves a few hosts at a time ([`Transfers`]) and refuses the others, which then try
//! hosts that have completed the version in the meantime.
//!
//! [`CatchUp`]: crate::gateway::document::catchup::CatchUp
//! [`Transfers`]: crate::gateway::document::transfers::Transfers

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::web;
use bytes::Bytes;
use futures_util::stream;
use http::Method;
use serde::Deserialize;

use crate::error::Error;
use crate::error::Result;
use crate::event::EventCode;
use crate::gateway::document::DOCUMENT_BYTES_MAX;
use crate::gateway::document::Manifest;
use crate::gateway::document::PIECE_BYTES_MIN;
use crate::gateway::document::PieceId;
use crate::gateway::document::assembly::Assembly;
use crate::gateway::document::catchup::Fault;
use crate::gateway::document::catchup::Holder;
use crate::gateway::document::catchup::Step;
use crate::gateway::document::frames;
use crate::gateway::document::frames::FrameReader;
use crate::gateway::internalclient::ResponsePart;
use crate::gateway::peerfetch::FETCH_TIMEOUT;
use crate::gateway::peerfetch::PeerClient;
use crate::gateway::peerfetch::SEED_TIMEOUT;
use crate::gateway::peerfetch::fetch_later;
use crate::gateway::peers::Fetch;
use crate::gateway::protocol::InternalRequest;
use crate::gateway::shared::Shared;
use crate::gateway::transferguard::TransferGuard;
use crate::telemetry;
use crate::telemetry::Metric;

/// Path of the manifest of the active configuration.
pub const CONFIGURATION_PATH: &str = "/peer/configuration";
/// Path of the pieces of the active configuration.
pub const PIECES_PATH: &str = "/peer/pieces";
/// Manifests requested from one source: a second one if the source switches to a newer version meanwhile.
const MANIFEST_ATTEMPTS: usize = 2;
/// Competing hosts assumed at a busy source. Refusing a request for pieces is cheap, so the pause before the
/// next attempt needs no longer spread for a large fleet.
const HOSTS_PER_SOURCE: usize = 0;
/// Size limit of a request for pieces: the ids of all pieces of the largest document.
const IDS_BYTES_MAX: usize = DOCUMENT_BYTES_MAX as usize / PIECE_BYTES_MIN as usize * PieceId::LEN;

/// The query of a manifest request.
#[derive(Debug, Deserialize)]
pub struct ConfigurationQuery {
    newer_than: u64,
}

/// Serves the manifest of the active configuration, or 404 if it isn't newer than the requested version.
pub async fn serve_manifest(shared: &Shared, query: &ConfigurationQuery) -> HttpResponse {
    let active = shared.active_config();
    let newer = active.filter(|held| held.configuration.version > query.newer_than);
    let Some(newer) = newer else {
        return HttpResponse::NotFound().finish();
    };
    match newer.pieces().manifest().encode() {
        Ok(manifest) => HttpResponse::Ok().body(manifest),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

/// Serves pieces of the active configuration, or 503 while the maximum number of other hosts is being served.
pub async fn serve_pieces(shared: &Shared, payload: web::Payload) -> HttpResponse {
    let ids = match payload.to_bytes_limited(IDS_BYTES_MAX).await {
        Ok(Ok(ids)) => ids,
        Ok(Err(error)) => return HttpResponse::BadRequest().body(error.to_string()),
        Err(_) => return HttpResponse::PayloadTooLarge().finish(),
    };
    let Some(serving) = TransferGuard::begin(shared, Fetch::Configuration) else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    match encode_frames(shared, &ids) {
        Ok(frames) => stream_frames(frames, serving),
        Err(error) => HttpResponse::BadRequest().body(error.to_string()),
    }
}

fn encode_frames(shared: &Shared, ids: &[u8]) -> Result<Vec<Bytes>> {
    let active = shared.active_config();
    let pieces = active.as_ref().map(|held| held.pieces());
    let frame = |id: PieceId| {
        let packed = pieces
            .map(|pieces| pieces.packed(id))
            .transpose()?
            .flatten();
        Ok(frames::frame(packed.as_ref()))
    };
    frames::decode_ids(ids)?.into_iter().map(frame).collect()
}

fn stream_frames(frames: Vec<Bytes>, serving: TransferGuard) -> HttpResponse {
    let bytes: usize = frames.iter().map(Bytes::len).sum();
    telemetry::count_by(Metric::PieceBytesServedTotal, bytes as u64);
    let frames = frames.into_iter().map(move |frame| {
        serving.record_progress();
        Ok::<Bytes, actix_web::Error>(frame)
    });
    HttpResponse::Ok()
        .no_chunking(bytes as u64)
        .streaming(stream::iter(frames))
}

/// Schedules a fetch of the newest known version after `wait`, unless one is in progress.
pub(crate) fn fetch_soon(shared: &Shared, wait: Duration) {
    shared.track_newer_version();
    let task_shared = shared.clone();
    fetch_later(shared, Fetch::Configuration, wait, async move {
        catch_up(&task_shared).await;
    });
}

/// Fetches from one source after another until no newer version is known, or no source with one answers.
async fn catch_up(shared: &Shared) {
    loop {
        let now = shared.now();
        let holders = shared.peers(|peers| peers.holders(now, shared.config_version()));
        let step = shared.catch_up(|catch_up| catch_up.next(now, &holders, rand::random::<f64>()));
        match step {
            Step::Ask(source) => fetch_from_source(shared, source).await,
            Step::Wait(pause) => tokio::time::sleep(pause).await,
            Step::Stop => return,
        }
    }
}

/// The outcome of a fetch from one source.
enum Outcome {
    /// The source answered in full. After the last request, the document has been offered as the active
    /// configuration.
    Complete,
    /// The source serves as many hosts as it can.
    Busy,
    /// The source has nothing newer: it has restarted since its announcement, or this host has caught up.
    UpToDate,
}

async fn fetch_from_source(shared: &Shared, source: Holder) {
    let mut fetch = ConfigFetch::new(shared, source.address, FETCH_TIMEOUT);
    let outcome = fetch.run(Some(source.version)).await;
    let now = shared.now();
    match outcome {
        Ok(Outcome::Complete) => {}
        Ok(Outcome::Busy | Outcome::UpToDate) => shared.catch_up(|catch_up| {
            catch_up.record_busy(now, source.address, HOSTS_PER_SOURCE, rand::random::<f64>());
        }),
        Err(error) => {
            let fault = classify_error(&error);
            shared.catch_up(|catch_up| catch_up.record_failure(now, source.address, fault));
            fetch.log_failure(&error);
        }
    }
    shared.keep_assembly(fetch.assembly);
}

fn classify_error(error: &Error) -> Fault {
    match error {
        Error::Remote { .. } => Fault::Unanswered,
        _ => Fault::Invalid,
    }
}

/// Fetches the configuration from a seed at startup.
///
/// # Errors
///
/// [`Error::Remote`] if the seed doesn't answer or is busy, [`Error::Document`] if its answer is invalid.
pub(crate) async fn fetch_from_seed(shared: &Shared, seed: SocketAddr) -> Result<()> {
    let mut fetch = ConfigFetch::new(shared, seed, SEED_TIMEOUT);
    let outcome = fetch.run(None).await;
    shared.keep_assembly(fetch.assembly.take());
    match outcome? {
        Outcome::Complete | Outcome::UpToDate => Ok(()),
        Outcome::Busy => Err(fetch.source.error("it serves others")),
    }
}

/// A fetch from one source.
struct ConfigFetch<'s> {
    shared: &'s Shared,
    source: PeerClient,
    /// The pieces received so far, also from other sources.
    assembly: Option<Assembly>,
}

impl<'s> ConfigFetch<'s> {
    /// Continues the previous assembly if its version is still newer than the active one.
    fn new(shared: &'s Shared, source: SocketAddr, timeout: Duration) -> Self {
        let previous = shared.take_assembly();
        ConfigFetch {
            shared,
            source: PeerClient::new(source, timeout),
            assembly: previous
                .filter(|assembly| assembly.manifest().version > shared.config_version()),
        }
    }

    /// Fetches the missing pieces of `version`, or of any newer version that the source has.
    async fn run(&mut self, version: Option<u64>) -> Result<Outcome> {
        let known = self.assembly.as_ref().map(|known| known.manifest().version);
        let mut has_manifest = known.is_some() && known == version;
        for _ in 0..MANIFEST_ATTEMPTS {
            if !has_manifest {
                match self.fetch_manifest().await? {
                    Some(manifest) => self.start_assembly(manifest),
                    None => return Ok(Outcome::UpToDate),
                }
            }
            if let Outcome::Busy = self.fetch_pieces().await? {
                return Ok(Outcome::Busy);
            }
            if self.assembly.as_ref().is_some_and(Assembly::is_complete) {
                return self.finish().await;
            }
            // Pieces are missing because the source has switched to a newer version.
            has_manifest = false;
        }
        let reason = "it lacks pieces of the version that it announces";
        Err(self.source.error(reason))
    }

    /// Fetches the source's manifest if its version is newer than the active one here.
    async fn fetch_manifest(&mut self) -> Result<Option<Manifest>> {
        let newer_than = self.shared.config_version();
        let path = format!("{CONFIGURATION_PATH}?newer_than={newer_than}");
        let body = self.source.get(&path).await?;
        body.map(|body| Manifest::decode(&body)).transpose()
    }

    /// Starts an assembly of `manifest`, reusing pieces of the active configuration and of other versions.
    fn start_assembly(&mut self, manifest: Manifest) {
        let received = self.assembly.take().map(Assembly::into_received);
        let active = self.shared.active_config();
        let pieces = active.as_ref().map(|held| held.pieces());
        let assembly = Assembly::begin(manifest, pieces, received.unwrap_or_default());
        self.assembly = Some(assembly);
    }

    async fn fetch_pieces(&mut self) -> Result<Outcome> {
        let Some(assembly) = &mut self.assembly else {
            return Ok(Outcome::Complete);
        };
        let missing = assembly.missing();
        if missing.is_empty() {
            return Ok(Outcome::Complete);
        }
        let call = InternalRequest {
            method: Method::POST,
            path: PIECES_PATH.to_owned(),
            body: frames::encode_ids(&missing),
            content_type: None,
        };
        let mut receiver = PieceReceiver::new(assembly, missing);
        let watch = |arrival| receiver.receive(arrival);
        let status = self.source.call_streaming(&call, watch).await;
        match (status, receiver.fault) {
            (Ok(200), None) => Ok(Outcome::Complete),
            (Ok(503), _) => Ok(Outcome::Busy),
            (Ok(200), Some(fault)) => Err(fault),
            (Ok(status), _) => Err(self.source.unexpected_status(status, PIECES_PATH)),
            (Err(error), _) => Err(error),
        }
    }

    async fn finish(&mut self) -> Result<Outcome> {
        if let Some(assembly) = self.assembly.take() {
            let pieces = assembly.finish()?;
            let source = self.source.peer.to_string();
            self.shared.offer_pieces(pieces, &source).await?;
        }
        Ok(Outcome::Complete)
    }

    fn log_failure(&self, error: &Error) {
        if let Fault::Invalid = classify_error(error) {
            telemetry::count(Metric::BadDocumentsTotal);
        }
        let assembly = self.assembly.as_ref();
        let line = self.shared.log().entry(EventCode::PeerSuspected);
        line.with("peer", self.source.peer.to_string())
            .with("reason", error.to_string())
            .with_some("version", assembly.map(|known| known.manifest().version))
            .with_some("got_bytes", assembly.map(Assembly::present_bytes))
            .with_some("of_bytes", assembly.map(|known| known.manifest().bytes()))
            .write();
    }
}

/// Adds pieces to an assembly as they arrive.
struct PieceReceiver<'a> {
    assembly: &'a mut Assembly,
    expected: std::vec::IntoIter<PieceId>,
    frames: FrameReader,
    /// The first error; pieces after it are ignored.
    fault: Option<Error>,
}

impl<'a> PieceReceiver<'a> {
    fn new(assembly: &'a mut Assembly, expected: Vec<PieceId>) -> Self {
        PieceReceiver {
            assembly,
            expected: expected.into_iter(),
            frames: FrameReader::default(),
            fault: None,
        }
    }

    fn receive(&mut self, arrival: ResponsePart) {
        let ResponsePart::Body(bytes) = arrival else {
            return;
        };
        self.frames.push(&bytes);
        while self.fault.is_none() {
            match self.receive_next() {
                Ok(true) => {}
                Ok(false) => return,
                Err(fault) => self.fault = Some(fault),
            }
        }
    }

    /// Processes the next complete frame. Returns whether there was one.
    fn receive_next(&mut self) -> Result<bool> {
        let Some(packed) = self.frames.next_piece()? else {
            return Ok(false);
        };
        let Some(id) = self.expected.next() else {
            return Err(Error::Document("more pieces than asked for".to_owned()));
        };
        if !packed.is_empty() {
            self.assembly.insert(id, packed)?;
        }
        Ok(true)
    }
}
