//! A document that is being put together from the pieces of one in force and those that arrive.

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

/// A piece that has arrived.
#[derive(Debug, Clone)]
struct Arrived {
    piece: Bytes,
    packed: Bytes,
}

/// Pieces that have arrived for a document that isn't whole yet. They outlast the transfer that brought
/// them, so that the next one, from whatever host and of whatever newer version, goes on from there.
#[derive(Debug, Default)]
pub struct Shelf(HashMap<PieceId, Arrived>);

impl Shelf {
    /// Number of pieces.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// A document of which some pieces may be missing.
#[derive(Debug)]
pub struct Assembly {
    manifest: Manifest,
    own: HashMap<PieceId, Bytes>,
    shelf: Shelf,
}

impl Assembly {
    /// Begins with what the document in force and the shelf have of it. What the shelf has besides is
    /// dropped.
    pub fn begin(manifest: Manifest, in_force: Option<&CutDocument>, mut shelf: Shelf) -> Self {
        let wanted: HashSet<PieceId> = manifest.pieces.iter().map(|piece| piece.id).collect();
        let own = wanted.iter().filter_map(|id| {
            let piece = in_force?.piece(*id)?;
            Some((*id, piece))
        });
        let own = own.collect();
        shelf.0.retain(|id, _| wanted.contains(id));
        Assembly {
            manifest,
            own,
            shelf,
        }
    }

    /// What it is put together by.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// What is missing, each piece once, in the order of the document.
    pub fn missing(&self) -> Vec<PieceId> {
        let mut seen = HashSet::new();
        let ids = self.manifest.pieces.iter().map(|piece| piece.id);
        ids.filter(|id| self.piece(*id).is_none() && seen.insert(*id))
            .collect()
    }

    /// Bytes of the document that are there.
    pub fn got_bytes(&self) -> u64 {
        let pieces = self.manifest.pieces.iter();
        let got = pieces.filter(|piece| self.piece(piece.id).is_some());
        got.map(|piece| u64::from(piece.bytes)).sum()
    }

    /// Takes a piece as it travelled.
    ///
    /// # Errors
    ///
    /// [`Error::Document`] if it isn't the piece of this id. Nothing has changed then.
    pub fn take(&mut self, id: PieceId, packed: Bytes) -> Result<()> {
        let piece = unpack(id, &packed)?;
        self.shelf.0.insert(id, Arrived { piece, packed });
        Ok(())
    }

    /// Whether nothing is missing.
    pub fn is_whole(&self) -> bool {
        self.manifest
            .pieces
            .iter()
            .all(|piece| self.piece(piece.id).is_some())
    }

    /// The whole document.
    ///
    /// # Errors
    ///
    /// [`Error::Document`] if pieces are missing, or make another document than the manifest names.
    pub fn finish(self) -> Result<CutDocument> {
        let mut document = BytesMut::with_capacity(self.manifest.bytes() as usize);
        for spec in &self.manifest.pieces {
            match self.piece(spec.id) {
                Some(piece) if piece.len() == spec.bytes as usize => {
                    document.extend_from_slice(piece);
                }
                Some(_) => return Err(Error::Document("a piece of another size".to_owned())),
                None => return Err(Error::Document("a piece is missing".to_owned())),
            }
        }
        if *blake3::hash(&document).as_bytes() != self.manifest.digest {
            return Err(Error::Document("the pieces make another one".to_owned()));
        }
        let cut = CutDocument::of_parts(self.manifest, document.freeze());
        for (id, arrived) in self.shelf.0 {
            cut.keep_packed(id, arrived.packed);
        }
        Ok(cut)
    }

    /// What has arrived.
    pub fn into_shelf(self) -> Shelf {
        self.shelf
    }

    fn piece(&self, id: PieceId) -> Option<&Bytes> {
        let arrived = self.shelf.0.get(&id).map(|arrived| &arrived.piece);
        arrived.or_else(|| self.own.get(&id))
    }
}

#[cfg(test)]
mod tests;
