//! Encoding of a sequence of pieces: for each the length in four bytes and the compressed bytes. Length 0 stands for a
//! piece that the sender doesn't have.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;

use super::PIECE_BYTES_MAX;
use super::PieceId;
use crate::error::Error;
use crate::error::Result;

/// Largest size of a compressed piece in bytes. Incompressible data grows by less than the addition.
const PACKED_BYTES_MAX: usize = PIECE_BYTES_MAX as usize + 1_024;
const LENGTH_BYTES: usize = 4;

/// Encodes a piece, or `None` for one that the sender doesn't have.
pub fn frame(packed: Option<&Bytes>) -> Bytes {
    let packed = packed.map(Bytes::as_ref).unwrap_or_default();
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + packed.len());
    frame.put_u32(packed.len() as u32);
    frame.put_slice(packed);
    frame.freeze()
}

/// Encodes the ids of requested pieces.
pub fn encode_ids(ids: &[PieceId]) -> Bytes {
    let bytes: Vec<u8> = ids.iter().flat_map(|id| id.0).collect();
    Bytes::from(bytes)
}

/// Decodes the ids of requested pieces.
///
/// # Errors
///
/// [`Error::Document`] if the last id is incomplete.
pub fn decode_ids(bytes: &[u8]) -> Result<Vec<PieceId>> {
    let (ids, rest) = bytes.as_chunks::<{ PieceId::LEN }>();
    if !rest.is_empty() {
        return Err(Error::Document("an incomplete id".to_owned()));
    }
    Ok(ids.iter().map(|id| PieceId(*id)).collect())
}

/// Decodes pieces from bytes as they arrive.
#[derive(Debug, Default)]
pub struct FrameReader {
    bytes: BytesMut,
}

impl FrameReader {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next compressed piece, which is empty if the sender doesn't have it, or `None` until it has been
    /// received completely.
    ///
    /// # Errors
    ///
    /// [`Error::Document`] if the frame is larger than any piece.
    pub fn next_piece(&mut self) -> Result<Option<Bytes>> {
        let Some(length) = self.bytes.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > PACKED_BYTES_MAX {
            return Err(Error::Document(format!("a frame of {length} bytes")));
        }
        if self.bytes.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.bytes.advance(LENGTH_BYTES);
        Ok(Some(self.bytes.split_to(length).freeze()))
    }
}

#[cfg(test)]
mod tests;
