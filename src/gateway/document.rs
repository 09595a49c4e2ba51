//! Configuration documents, split into content-defined chunks.
//!
//! A host fetches only the pieces of a new document that it lacks. A change affects the pieces around it; all
//! others keep their ids, even if they move. A piece is identified by the digest of its bytes and sent
//! compressed. See `docs/design/configuration.md`.

pub mod assembly;
pub mod catchup;
pub mod frames;
pub mod transfers;

use std::collections::HashMap;
use std::ops::Range;
use std::sync::OnceLock;

use bytes::Bytes;
use fastcdc::v2020::FastCDC;
use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;

/// Smallest size of a piece in bytes, except for the last one of a document. Smaller pieces compress worse and make the
/// manifest longer; larger ones are fetched whole for a change of a few bytes (`cargo bench --bench documents`).
pub const PIECE_BYTES_MIN: u32 = 2 << 10;
/// Mean size of a piece in bytes.
pub const PIECE_BYTES_MEAN: u32 = 8 << 10;
/// Largest size of an uncompressed piece in bytes.
pub const PIECE_BYTES_MAX: u32 = 32 << 10;
/// Largest size of a document in bytes: three times the 9.8 MB of a configuration of 36,000 customers.
pub const DOCUMENT_BYTES_MAX: u64 = 32 << 20;
/// Compression level of zstd, its default. A core compresses 100 MB per second at this level.
const COMPRESSION_LEVEL: i32 = 3;

/// Identifies a piece by its content: the first 128 bits of its BLAKE3 digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PieceId(pub [u8; 16]);

impl PieceId {
    /// Size of an id in bytes.
    pub const LEN: usize = 16;

    /// Returns the id of the piece with these bytes.
    pub fn of(bytes: &[u8]) -> Self {
        let digest = blake3::hash(bytes);
        let mut id = [0; Self::LEN];
        id.copy_from_slice(&digest.as_bytes()[..Self::LEN]);
        PieceId(id)
    }
}

/// An entry of a manifest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceSpec {
    /// Id of the piece.
    pub id: PieceId,
    /// Uncompressed size in bytes.
    pub bytes: u32,
}

/// The pieces of a document and the digest of the whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The record's key.
    pub key: String,
    /// The version of the configuration.
    pub version: u64,
    /// BLAKE3 digest of the whole document.
    pub digest: [u8; 32],
    /// The pieces, in the order of the document.
    pub pieces: Vec<PieceSpec>,
}

impl Manifest {
    /// Size of the document in bytes.
    pub fn bytes(&self) -> u64 {
        let sizes = self.pieces.iter().map(|piece| u64::from(piece.bytes));
        sizes.sum()
    }

    /// Encodes the manifest for a peer.
    ///
    /// # Errors
    ///
    /// [`Error::Document`] if it can't be encoded.
    pub fn encode(&self) -> Result<Bytes> {
        let encoded = postcard::to_stdvec(self);
        encoded
            .map(Bytes::from)
            .map_err(|error| Error::Document(error.to_string()))
    }

    /// Decodes a manifest.
    ///
    /// # Errors
    ///
    /// [`Error::Document`] if it is malformed, or a size is out of bounds.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let manifest = postcard::from_bytes(bytes);
        let manifest: Manifest = manifest.map_err(|error| Error::Document(error.to_string()))?;
        manifest.checked()
    }

    fn checked(self) -> Result<Self> {
        let is_oversized = |piece: &PieceSpec| piece.bytes > PIECE_BYTES_MAX || piece.bytes == 0;
        if self.pieces.iter().any(is_oversized) {
            return Err(Error::Document("a piece is empty or too large".to_owned()));
        }
        let bytes = self.bytes();
        if bytes > DOCUMENT_BYTES_MAX {
            return Err(Error::Document(format!(
                "the document has {bytes} bytes, more than allowed"
            )));
        }
        Ok(self)
    }
}

/// Compresses a piece.
///
/// # Errors
///
/// [`Error::Document`] if the compression fails.
pub fn pack(piece: &[u8]) -> Result<Bytes> {
    let packed = zstd::bulk::compress(piece, COMPRESSION_LEVEL);
    let packed = packed.map_err(|error| Error::Document(format!("pack: {error}")))?;
    Ok(Bytes::from(packed))
}

/// Decompresses a piece and verifies its id.
///
/// # Errors
///
/// [`Error::Document`] if the bytes can't be decompressed or have another id.
pub fn unpack(id: PieceId, packed: &[u8]) -> Result<Bytes> {
    let piece = zstd::bulk::decompress(packed, PIECE_BYTES_MAX as usize);
    let piece = piece.map_err(|error| Error::Document(format!("unpack: {error}")))?;
    if PieceId::of(&piece) != id {
        return Err(Error::Document("a piece doesn't match its id".to_owned()));
    }
    Ok(Bytes::from(piece))
}

/// A complete document, of which peers fetch pieces.
#[derive(Debug)]
pub struct CutDocument {
    manifest: Manifest,
    document: Bytes,
    locations: HashMap<PieceId, Location>,
}

#[derive(Debug)]
struct Location {
    range: Range<usize>,
    packed: OnceLock<Bytes>,
}

impl CutDocument {
    /// Splits a document into pieces.
    pub fn cut(key: &str, version: u64, document: Bytes) -> Self {
        let chunks = FastCDC::new(
            &document,
            PIECE_BYTES_MIN as usize,
            PIECE_BYTES_MEAN as usize,
            PIECE_BYTES_MAX as usize,
        );
        let pieces = chunks.map(|chunk| PieceSpec {
            id: PieceId::of(&document[chunk.offset..chunk.offset + chunk.length]),
            bytes: chunk.length as u32,
        });
        let manifest = Manifest {
            key: key.to_owned(),
            version,
            digest: *blake3::hash(&document).as_bytes(),
            pieces: pieces.collect(),
        };
        CutDocument::of_parts(manifest, document)
    }

    /// Creates a document from its manifest and its bytes, which must match.
    fn of_parts(manifest: Manifest, document: Bytes) -> Self {
        let mut locations = HashMap::with_capacity(manifest.pieces.len());
        let mut start = 0;
        for piece in &manifest.pieces {
            let end = start + piece.bytes as usize;
            locations.entry(piece.id).or_insert(Location {
                range: start..end,
                packed: OnceLock::new(),
            });
            start = end;
        }
        CutDocument {
            manifest,
            document,
            locations,
        }
    }

    /// The manifest.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// The whole document.
    pub fn document(&self) -> &Bytes {
        &self.document
    }

    /// Returns a piece, or `None` if the document doesn't contain it.
    pub fn piece(&self, id: PieceId) -> Option<Bytes> {
        let location = self.locations.get(&id)?;
        Some(self.document.slice(location.range.clone()))
    }

    /// Returns a compressed piece. The compressed bytes are cached, since a dozen hosts request the same pieces.
    ///
    /// # Errors
    ///
    /// [`Error::Document`] if the compression fails.
    pub fn packed(&self, id: PieceId) -> Result<Option<Bytes>> {
        let Some(location) = self.locations.get(&id) else {
            return Ok(None);
        };
        if let Some(packed) = location.packed.get() {
            return Ok(Some(packed.clone()));
        }
        let packed = pack(&self.document[location.range.clone()])?;
        Ok(Some(location.packed.get_or_init(|| packed).clone()))
    }

    /// Caches the compressed bytes of a piece as they were received, for other peers.
    fn cache_packed(&self, id: PieceId, packed: Bytes) {
        if let Some(location) = self.locations.get(&id) {
            location.packed.get_or_init(|| packed);
        }
    }
}

#[cfg(test)]
mod tests;
