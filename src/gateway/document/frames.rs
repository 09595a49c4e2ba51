//! Pieces as they travel one after another: the length of each, four bytes, and its packed bytes. A piece
//! that the sender doesn't have is a length of 0.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;

use super::PIECE_BYTES_MAX;
use super::PieceId;
use crate::error::Error;
use crate::error::Result;

/// No packed piece is larger: what can't be compressed grows by less than this.
const PACKED_BYTES_MAX: usize = PIECE_BYTES_MAX as usize + 1_024;
const LENGTH_BYTES: usize = 4;

/// The frame of a piece, or of one that the sender doesn't have.
pub fn frame(packed: Option<&Bytes>) -> Bytes {
    let packed = packed.map(Bytes::as_ref).unwrap_or_default();
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + packed.len());
    frame.put_u32(packed.len() as u32);
    frame.put_slice(packed);
    frame.freeze()
}

/// The ids that a host asks for.
pub fn encode_ids(ids: &[PieceId]) -> Bytes {
    let bytes: Vec<u8> = ids.iter().flat_map(|id| id.0).collect();
    Bytes::from(bytes)
}

/// The same, read.
///
/// # Errors
///
/// [`Error::Document`] if they are cut.
pub fn decode_ids(bytes: &[u8]) -> Result<Vec<PieceId>> {
    let (ids, rest) = bytes.as_chunks::<{ PieceId::LEN }>();
    if !rest.is_empty() {
        return Err(Error::Document("an id that is cut".to_owned()));
    }
    Ok(ids.iter().map(|id| PieceId(*id)).collect())
}

/// Takes frames as their bytes arrive.
#[derive(Debug, Default)]
pub struct FrameReader {
    bytes: BytesMut,
}

impl FrameReader {
    /// More bytes have arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole frame's packed piece, empty where the sender doesn't have it; none until it has
    /// arrived.
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
