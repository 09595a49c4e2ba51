use std::io::ErrorKind;

use bytes::BytesMut;
use futures_util::SinkExt;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::codec::FramedWrite;

use super::FrameKind;
use super::codec;
use super::reader;
use crate::gateway::connection::CarrierState;

/// Sends `frames` and closes; returns what is read, how reading ends, and whether the carrier counts as lost.
async fn read_frames(frames: &[&[u8]]) -> (String, Option<ErrorKind>, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let sender = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (receiver, _) = listener.accept().await.unwrap();
    let mut sender = FramedWrite::new(sender, codec());
    for frame in frames {
        let frame = bytes::Bytes::copy_from_slice(frame);
        sender.send(frame).await.unwrap();
    }
    drop(sender);
    let state = CarrierState::default();
    let mut reader = reader(receiver.into_split().0, BytesMut::new(), state.clone());
    let mut text = String::new();
    let ended = reader.read_to_string(&mut text).await;
    (text, ended.err().map(|error| error.kind()), state.is_lost())
}

fn data(text: &str) -> Vec<u8> {
    [&[FrameKind::Data.byte()], text.as_bytes()].concat()
}

const END: &[u8] = &[1];
const BROKEN: &[u8] = &[2];

#[actix_rt::test]
async fn the_upstreams_bytes_end_with_its_connection() {
    let read = read_frames(&[&data("whole "), &data("answer"), END]).await;

    assert_eq!(read, ("whole answer".to_owned(), None, false));
}

// Guards against passing half an answer on as a whole one: some answers end with their connection.
#[actix_rt::test]
async fn bytes_without_an_end_are_an_error() {
    let (_, ended, is_lost) = read_frames(&[&data("half")]).await;

    assert_eq!((ended, is_lost), (Some(ErrorKind::UnexpectedEof), true));
}

#[actix_rt::test]
async fn a_broken_connection_of_the_upstream_is_told_apart_from_a_lost_carrier() {
    let (_, ended, is_lost) = read_frames(&[&data("half"), BROKEN]).await;

    assert_eq!((ended, is_lost), (Some(ErrorKind::ConnectionReset), false));
}

#[actix_rt::test]
async fn frames_of_unknown_kind_are_an_error() {
    for frame in [&[][..], &[9]] {
        let (_, ended, is_lost) = read_frames(&[frame]).await;

        assert_eq!((ended, is_lost), (Some(ErrorKind::InvalidData), true));
    }
}
