//! Assembles a document from the pieces of the active one and those received from peers.

use std::collections::HashMap;
use std::collections::HashSet;

use bytes::Bytes;
use bytes::BytesMut;

use super::CutDocument;
use super::Manifest;
use super::PieceId;
use super::unpack;
use crate::error::Error;
use crate::error::Result;

/// A piece received from a peer.
#[derive(Debug, Clone)]
struct ReceivedPiece {
    piece: Bytes,
    packed: Bytes,
}

/// Pieces received for a document that is still incomplete. They are kept when a transfer ends, so that the next
/// one, from any host and for any newer version, doesn't fetch them again.
#[derive(Debug, Default)]
pub struct ReceivedPieces(HashMap<PieceId, ReceivedPiece>);

impl ReceivedPieces {
    /// Number of pieces.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no pieces.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// A document that may lack pieces.
#[derive(Debug)]
pub struct Assembly {
    manifest: Manifest,
    /// Pieces of the active document.
    own: HashMap<PieceId, Bytes>,
    received: ReceivedPieces,
}

impl Assembly {
    /// Begins with the pieces that are in the active document or were received earlier. Other received pieces are
    /// dropped.
    pub fn begin(
        manifest: Manifest,
        active: Option<&CutDocument>,
        mut received: ReceivedPieces,
    ) -> Self {
        let wanted: HashSet<PieceId> = manifest.pieces.iter().map(|piece| piece.id).collect();
        let own = wanted.iter().filter_map(|id| {
            let piece = active?.piece(*id)?;
            Some((*id, piece))
        });
        let own = own.collect();
        received.0.retain(|id, _| wanted.contains(id));
        Assembly {
            manifest,
            own,
            received,
        }
    }

    /// The manifest of the document.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// The missing pieces without duplicates, in the order of the document.
    pub fn missing(&self) -> Vec<PieceId> {
        let mut seen = HashSet::new();
        let ids = self.manifest.pieces.iter().map(|piece| piece.id);
        ids.filter(|id| self.piece(*id).is_none() && seen.insert(*id))
            .collect()
    }

    /// Size of the present pieces in bytes.
    pub fn present_bytes(&self) -> u64 {
        let pieces = self.manifest.pieces.iter();
        let present = pieces.filter(|piece| self.piece(piece.id).is_some());
        present.map(|piece| u64::from(piece.bytes)).sum()
    }

    /// Adds a compressed piece.
    ///
    /// # Errors
    ///
    /// [`Error::Document`] if it doesn't match its id. The assembly is unchanged then.
    pub fn insert(&mut self, id: PieceId, packed: Bytes) -> Result<()> {
        let piece = unpack(id, &packed)?;
        self.received.0.insert(id, ReceivedPiece { piece, packed });
        Ok(())
    }

    /// Whether no piece is missing.
    pub fn is_complete(&self) -> bool {
        self.manifest
            .pieces
            .iter()
            .all(|piece| self.piece(piece.id).is_some())
    }

    /// Returns the complete document.
    ///
    /// # Errors
    ///
    /// [`Error::Document`] if pieces are missing or don't match the manifest.
    pub fn finish(self) -> Result<CutDocument> {
        let mut document = BytesMut::with_capacity(self.manifest.bytes() as usize);
        for spec in &self.manifest.pieces {
            match self.piece(spec.id) {
                Some(piece) if piece.len() == spec.bytes as usize => {
                    document.extend_from_slice(piece);
                }
                Some(_) => {
                    return Err(Error::Document(
                        "a piece doesn't have the size in the manifest".to_owned(),
                    ));
                }
                None => return Err(Error::Document("a piece is missing".to_owned())),
            }
        }
        if *blake3::hash(&document).as_bytes() != self.manifest.digest {
            return Err(Error::Document(
                "the digest doesn't match the manifest".to_owned(),
            ));
        }
        let cut = CutDocument::of_parts(self.manifest, document.freeze());
        for (id, received) in self.received.0 {
            cut.cache_packed(id, received.packed);
        }
        Ok(cut)
    }

    /// Returns the received pieces.
    pub fn into_received(self) -> ReceivedPieces {
        self.received
    }

    fn piece(&self, id: PieceId) -> Option<&Bytes> {
        let received = self.received.0.get(&id).map(|received| &received.piece);
        received.or_else(|| self.own.get(&id))
    }
}

#[cfg(test)]
mod tests;
