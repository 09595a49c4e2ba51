use bytes::Bytes;
use quickcheck::quickcheck;

use super::FrameReader;
use super::decode_ids;
use super::encode_ids;
use super::frame;
use crate::error::Result;
use crate::gateway::document::PieceId;

fn read_all(parts: &[&[u8]]) -> Result<Vec<Bytes>> {
    let mut reader = FrameReader::default();
    let mut read = Vec::new();
    for part in parts {
        reader.push(part);
        while let Some(packed) = reader.next_piece()? {
            read.push(packed);
        }
    }
    Ok(read)
}

#[test]
fn a_piece_that_the_sender_lacks_is_an_empty_frame() {
    let sent = [frame(None), frame(Some(&Bytes::from_static(b"net")))].concat();

    let read = read_all(&[&sent]).unwrap();

    assert_eq!(read, [Bytes::new(), Bytes::from_static(b"net")]);
}

#[test]
fn a_frame_larger_than_any_piece_is_refused_before_its_bytes_arrive() {
    assert!(read_all(&[&[0xff, 0xff, 0xff, 0xff]]).is_err());
}

#[test]
fn ids_that_are_cut_are_refused() {
    let ids = [PieceId([1; 16]), PieceId([2; 16])];
    let encoded = encode_ids(&ids);

    assert_eq!(decode_ids(&encoded).unwrap(), ids);
    assert!(decode_ids(&encoded[..31]).is_err());
}

quickcheck! {
    fn frames_are_read_however_their_bytes_are_divided(pieces: Vec<Vec<u8>>, at: Vec<u8>) -> bool {
        let pieces: Vec<Bytes> = pieces.into_iter().map(Bytes::from).collect();
        let sent: Vec<u8> = pieces.iter().flat_map(|piece| frame(Some(piece))).collect();
        let mut rest = sent.as_slice();
        let mut parts = Vec::new();
        for length in at {
            let (part, after) = rest.split_at(usize::from(length).min(rest.len()));
            parts.push(part);
            rest = after;
        }
        parts.push(rest);
        read_all(&parts).is_ok_and(|read| read == pieces)
    }

    fn whatever_arrives_is_read_or_refused(bytes: Vec<u8>) -> bool {
        // It must end without a panic.
        let _ = read_all(&[&bytes]);
        let _ = decode_ids(&bytes);
        true
    }
}
