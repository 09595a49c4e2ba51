//! How a host gets a newer configuration from its peers, and serves its own to them.
//!
//! A host that has been told of a newer version asks for its manifest, then for the pieces that it lacks,
//! from one source after another until it has all ([`CatchUp`]). What has arrived is never asked for
//! again. A source serves a few hosts at once ([`Transfers`]) and sends the others away; they ask those
//! that have it by then.
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

/// Path of the manifest of the configuration in force.
pub const CONFIGURATION_PATH: &str = "/peer/configuration";
/// Path of pieces.
pub const PIECES_PATH: &str = "/peer/pieces";
/// A source that takes a newer version while it is asked is asked once more.
const MANIFEST_ATTEMPTS: usize = 2;
/// A refusal of pieces costs a source little, however many hosts ask.
const SOURCE_RIVALS: usize = 0;
/// No host asks for more pieces than the largest document has.
const IDS_BYTES_MAX: usize = DOCUMENT_BYTES_MAX as usize / PIECE_BYTES_MIN as usize * PieceId::LEN;

/// Which configuration is asked for.
#[derive(Debug, Deserialize)]
pub struct ConfigurationQuery {
    newer_than: u64,
}

/// Serves the manifest of the configuration in force, or 404 while it is not newer.
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

/// Serves pieces of the configuration in force, or 503 while enough other hosts are being served.
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

/// Begins to fetch the newest version that is known of, `wait` from now, unless that is under way.
pub(crate) fn fetch_soon(shared: &Shared, wait: Duration) {
    shared.track_newer_version();
    let task_shared = shared.clone();
    fetch_later(shared, Fetch::Configuration, wait, async move {
        catch_up(&task_shared).await;
    });
}

/// Asks one source after another until no newer version is known of, or nobody answers who has one.
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

/// What asking a source came to.
enum Outcome {
    /// It is in force.
    Complete,
    /// The source serves as many as it can.
    Busy,
    /// The source has nothing newer: it has started again since it told, or this host has caught up.
    UpToDate,
}

async fn fetch_from_source(shared: &Shared, source: Holder) {
    let mut fetch = ConfigFetch::new(shared, source.address, FETCH_TIMEOUT);
    let outcome = fetch.run(Some(source.version)).await;
    let now = shared.now();
    match outcome {
        Ok(Outcome::Complete) => {}
        Ok(Outcome::Busy | Outcome::UpToDate) => shared.catch_up(|catch_up| {
            catch_up.was_busy(now, source.address, SOURCE_RIVALS, rand::random::<f64>());
        }),
        Err(error) => {
            let fault = classify_error(&error);
            shared.catch_up(|catch_up| catch_up.has_failed(now, source.address, fault));
            fetch.log_failure(&error);
        }
    }
    shared.keep_assembly(fetch.assembly);
}

fn classify_error(error: &Error) -> Fault {
    match error {
        Error::Remote { .. } => Fault::Unanswered,
        _ => Fault::Wrong,
    }
}

/// Fetches the configuration from a seed, as a host does that starts.
///
/// # Errors
///
/// [`Error::Remote`] if the seed doesn't answer or is busy, [`Error::Document`] if what it tells is wrong.
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
    /// What is there of the document, from other sources too.
    assembly: Option<Assembly>,
}

impl<'s> ConfigFetch<'s> {
    /// Goes on with what has arrived of a version that is still newer than the one in force.
    fn new(shared: &'s Shared, source: SocketAddr, timeout: Duration) -> Self {
        let previous = shared.take_assembly();
        ConfigFetch {
            shared,
            source: PeerClient::new(source, timeout),
            assembly: previous
                .filter(|assembly| assembly.manifest().version > shared.config_version()),
        }
    }

    /// Fetches what is missing of `version`, or of whatever newer one the source has.
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
            if self.assembly.as_ref().is_some_and(Assembly::is_whole) {
                return self.finish().await;
            }
            // The source has a newer version by now.
            has_manifest = false;
        }
        let reason = "it lacks pieces of the version that it tells";
        Err(self.source.error(reason))
    }

    /// The source's manifest, if its version is newer than the one in force here.
    async fn fetch_manifest(&mut self) -> Result<Option<Manifest>> {
        let newer_than = self.shared.config_version();
        let path = format!("{CONFIGURATION_PATH}?newer_than={newer_than}");
        let body = self.source.get(&path).await?;
        body.map(|body| Manifest::decode(&body)).transpose()
    }

    /// Goes on with what has arrived of another version.
    fn start_assembly(&mut self, manifest: Manifest) {
        let shelf = self.assembly.take().map(Assembly::into_shelf);
        let active = self.shared.active_config();
        let pieces = active.as_ref().map(|held| held.pieces());
        let assembly = Assembly::begin(manifest, pieces, shelf.unwrap_or_default());
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
            (Ok(status), _) => Err(self.source.refused(status, PIECES_PATH)),
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
        if let Fault::Wrong = classify_error(error) {
            telemetry::count(Metric::BadDocumentsTotal);
        }
        let assembly = self.assembly.as_ref();
        let line = self.shared.log().entry(EventCode::PeerSuspected);
        line.with("peer", self.source.peer.to_string())
            .with("reason", error.to_string())
            .with_some("version", assembly.map(|known| known.manifest().version))
            .with_some("got_bytes", assembly.map(Assembly::got_bytes))
            .with_some("of_bytes", assembly.map(|known| known.manifest().bytes()))
            .write();
    }
}

/// Puts pieces where they belong as they arrive.
struct PieceReceiver<'a> {
    assembly: &'a mut Assembly,
    expected: std::vec::IntoIter<PieceId>,
    frames: FrameReader,
    /// What was wrong first. Nothing is taken after it.
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

    /// Whether a piece had arrived.
    fn receive_next(&mut self) -> Result<bool> {
        let Some(packed) = self.frames.next_piece()? else {
            return Ok(false);
        };
        let Some(id) = self.expected.next() else {
            return Err(Error::Document("more pieces than asked for".to_owned()));
        };
        if !packed.is_empty() {
            self.assembly.take(id, packed)?;
        }
        Ok(true)
    }
}
