//! A configuration document cut into pieces by its content.
//!
//! Hosts that follow a change fetch only the pieces that they lack: where a document changes, the pieces
//! around the change differ, and the others keep their ids wherever they come to stand. A piece is
//! identified by the digest of its bytes and travels compressed. `docs/design/configuration.md` tells what
//! was weighed and measured.

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

/// Sizes of pieces, in bytes. Smaller ones compress worse and make the manifest longer, larger ones are
/// fetched whole for a change of a few bytes; `cargo bench --bench documents` compares them.
pub const PIECE_BYTES_MIN: u32 = 2 << 10;
/// Their mean.
pub const PIECE_BYTES_MEAN: u32 = 8 << 10;
/// No piece is larger, as its bytes are.
pub const PIECE_BYTES_MAX: u32 = 32 << 10;
/// No document is larger: three times the 9.8 MB of a configuration of 36,000 customers.
pub const DOCUMENT_BYTES_MAX: u64 = 32 << 20;
/// zstd's default; it packs 100 MB a second of a whole core.
const LEVEL: i32 = 3;

/// Identifies a piece by its content: the first 128 bits of its BLAKE3 digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PieceId(pub [u8; 16]);

impl PieceId {
    /// Bytes of an id.
    pub const LEN: usize = 16;

    /// The id of a piece of these bytes.
    pub fn of(bytes: &[u8]) -> Self {
        let digest = blake3::hash(bytes);
        let mut id = [0; Self::LEN];
        id.copy_from_slice(&digest.as_bytes()[..Self::LEN]);
        PieceId(id)
    }
}

/// A piece as a manifest names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceSpec {
    /// Its id.
    pub id: PieceId,
    /// Its size as its document has it.
    pub bytes: u32,
}

/// What a document consists of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The record's key.
    pub key: String,
    /// The version of the configuration.
    pub version: u64,
    /// BLAKE3 of the whole document.
    pub digest: [u8; 32],
    /// Its pieces in order.
    pub pieces: Vec<PieceSpec>,
}

impl Manifest {
    /// The document's size.
    pub fn bytes(&self) -> u64 {
        let sizes = self.pieces.iter().map(|piece| u64::from(piece.bytes));
        sizes.sum()
    }

    /// A manifest as it travels.
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

    /// The same, read.
    ///
    /// # Errors
    ///
    /// [`Error::Document`] if it is none, or names sizes out of bounds.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let manifest = postcard::from_bytes(bytes);
        let manifest: Manifest = manifest.map_err(|error| Error::Document(error.to_string()))?;
        manifest.checked()
    }

    fn checked(self) -> Result<Self> {
        let is_oversized = |piece: &PieceSpec| piece.bytes > PIECE_BYTES_MAX || piece.bytes == 0;
        if self.pieces.iter().any(is_oversized) {
            return Err(Error::Document("a piece of no possible size".to_owned()));
        }
        let bytes = self.bytes();
        if bytes > DOCUMENT_BYTES_MAX {
            return Err(Error::Document(format!("{bytes} bytes are too many")));
        }
        Ok(self)
    }
}

/// A piece as it travels.
///
/// # Errors
///
/// [`Error::Document`] if the compression fails.
pub fn pack(piece: &[u8]) -> Result<Bytes> {
    let packed = zstd::bulk::compress(piece, LEVEL);
    let packed = packed.map_err(|error| Error::Document(format!("pack: {error}")))?;
    Ok(Bytes::from(packed))
}

/// The piece of this id that was packed.
///
/// # Errors
///
/// [`Error::Document`] if it isn't that piece.
pub fn unpack(id: PieceId, packed: &[u8]) -> Result<Bytes> {
    let piece = zstd::bulk::decompress(packed, PIECE_BYTES_MAX as usize);
    let piece = piece.map_err(|error| Error::Document(format!("unpack: {error}")))?;
    if PieceId::of(&piece) != id {
        return Err(Error::Document("a piece of another id".to_owned()));
    }
    Ok(Bytes::from(piece))
}

/// A document that is there whole, from which peers fetch pieces.
#[derive(Debug)]
pub struct CutDocument {
    manifest: Manifest,
    document: Bytes,
    places: HashMap<PieceId, Place>,
}

#[derive(Debug)]
struct Place {
    range: Range<usize>,
    packed: OnceLock<Bytes>,
}

impl CutDocument {
    /// Cuts a document.
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

    /// A document with the manifest that it was put together by.
    fn of_parts(manifest: Manifest, document: Bytes) -> Self {
        let mut places = HashMap::with_capacity(manifest.pieces.len());
        let mut begins = 0;
        for piece in &manifest.pieces {
            let ends = begins + piece.bytes as usize;
            places.entry(piece.id).or_insert(Place {
                range: begins..ends,
                packed: OnceLock::new(),
            });
            begins = ends;
        }
        CutDocument {
            manifest,
            document,
            places,
        }
    }

    /// What it consists of.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// The whole document.
    pub fn document(&self) -> &Bytes {
        &self.document
    }

    /// A piece, if the document has it.
    pub fn piece(&self, id: PieceId) -> Option<Bytes> {
        let place = self.places.get(&id)?;
        Some(self.document.slice(place.range.clone()))
    }

    /// The same as it travels. It is packed once: a dozen hosts ask for the same pieces.
    ///
    /// # Errors
    ///
    /// [`Error::Document`] if the compression fails.
    pub fn packed(&self, id: PieceId) -> Result<Option<Bytes>> {
        let Some(place) = self.places.get(&id) else {
            return Ok(None);
        };
        if let Some(packed) = place.packed.get() {
            return Ok(Some(packed.clone()));
        }
        let packed = pack(&self.document[place.range.clone()])?;
        Ok(Some(place.packed.get_or_init(|| packed).clone()))
    }

    /// Keeps a piece as it arrived, to pass it on.
    fn keep_packed(&self, id: PieceId, packed: Bytes) {
        if let Some(place) = self.places.get(&id) {
            place.packed.get_or_init(|| packed);
        }
    }
}

#[cfg(test)]
mod tests;
