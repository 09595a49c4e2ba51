use bytes::Bytes;
use quickcheck::TestResult;
use quickcheck::quickcheck;

use super::Assembly;
use super::ReceivedPieces;
use crate::gateway::document::CutDocument;
use crate::gateway::document::PieceId;
use crate::gateway::document::pack;
use crate::gateway::document::tests::cut;
use crate::gateway::document::tests::lines;

fn packed(of: &CutDocument, id: PieceId) -> Bytes {
    of.packed(id).unwrap().unwrap()
}

#[test]
fn only_what_is_lacking_is_missing() {
    let before = cut(7, &lines(1, 2_000));
    let mut more = lines(1, 2_000);
    more.extend(lines(2, 10));
    let after = cut(8, &more);

    let from_nothing = Assembly::begin(after.manifest().clone(), None, ReceivedPieces::default());
    let from_before = Assembly::begin(
        after.manifest().clone(),
        Some(&before),
        ReceivedPieces::default(),
    );

    let all = after.manifest().pieces.len();
    assert_eq!(from_nothing.missing().len(), all);
    assert!(from_before.missing().len() < all / 4);
    assert!(!from_before.is_complete() && from_before.present_bytes() > 0);
}

#[test]
fn what_arrived_for_a_version_serves_the_next_one() {
    let older = cut(7, &lines(1, 1_000));
    let mut more = lines(1, 1_000);
    more.extend(lines(2, 10));
    let newer = cut(8, &more);
    let mut assembly = Assembly::begin(older.manifest().clone(), None, ReceivedPieces::default());
    let ids = assembly.missing();
    for id in &ids[..ids.len() / 2] {
        assembly.insert(*id, packed(&older, *id)).unwrap();
    }

    let goes_on = Assembly::begin(newer.manifest().clone(), None, assembly.into_received());

    assert!(goes_on.present_bytes() > older.manifest().bytes() / 4);
}

#[test]
fn a_wrong_piece_is_not_taken_and_changes_nothing() {
    let document = cut(7, &lines(1, 500));
    let mut assembly =
        Assembly::begin(document.manifest().clone(), None, ReceivedPieces::default());
    let missing = assembly.missing();

    let wrong = assembly.insert(missing[0], packed(&document, missing[1]));
    let garbage = assembly.insert(missing[0], Bytes::from_static(b"garbage"));

    assert!(wrong.is_err() && garbage.is_err());
    assert_eq!(assembly.missing(), missing);
}

#[test]
fn pieces_that_make_another_document_are_refused() {
    let document = cut(7, &lines(1, 500));
    let mut forged = document.manifest().clone();
    forged.pieces.swap(0, 1);
    let mut assembly = Assembly::begin(forged, None, ReceivedPieces::default());
    for id in assembly.missing() {
        assembly.insert(id, packed(&document, id)).unwrap();
    }

    assert!(assembly.finish().is_err());
}

#[test]
fn pieces_of_other_sizes_than_the_manifest_names_are_refused() {
    let document = cut(7, &lines(1, 500));
    let mut forged = document.manifest().clone();
    forged.pieces[0].bytes += 1;
    forged.pieces[1].bytes -= 1;
    let mut assembly = Assembly::begin(forged, None, ReceivedPieces::default());
    for id in assembly.missing() {
        assembly.insert(id, packed(&document, id)).unwrap();
    }

    assert!(assembly.finish().is_err());
}

quickcheck! {
    /// Pieces may come in any order, twice, from several transfers that broke off, and wrong: what is put
    /// together is the document, and not before all of it is there.
    fn any_arrival_makes_the_document_or_none(arrivals: Vec<(u16, bool)>, finishes: bool) -> TestResult {
        let document = cut(7, &lines(3, 400));
        let mut assembly = Assembly::begin(document.manifest().clone(), None, ReceivedPieces::default());
        let ids = assembly.missing();
        for (index, is_wrong) in arrivals {
            let id = ids[usize::from(index) % ids.len()];
            let bytes = match is_wrong {
                true => pack(b"another piece").unwrap(),
                false => packed(&document, id),
            };
            if assembly.insert(id, bytes).is_ok() == is_wrong {
                return TestResult::failed();
            }
            let manifest = document.manifest().clone();
            assembly = Assembly::begin(manifest, None, assembly.into_received());
        }
        if finishes {
            for id in assembly.missing() {
                assembly.insert(id, packed(&document, id)).unwrap();
            }
        }
        let is_complete = assembly.is_complete();
        let made = assembly.finish().ok();
        let is_right = made.as_ref().map(CutDocument::document) == Some(document.document());
        TestResult::from_bool(made.is_some() == is_complete && is_right == is_complete)
    }
}
