//! The frames between a host and its carrier: a request to connect, the reply, and the upstream's bytes.

use std::io;
use std::net::SocketAddr;

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use futures_util::stream;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncRead;
use tokio::net::tcp::OwnedReadHalf;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::io::StreamReader;

use crate::gateway::connection::CarrierState;
use crate::gateway::directory::Departure;
use crate::gateway::instance::InstanceId;
use crate::id::HostId;

/// Most bytes of a frame. Larger pieces of a response pass in several.
pub(super) const FRAME_BYTES_MAX: usize = 16 << 10;

/// Splits a connection into frames.
pub(super) type FrameCodec = LengthDelimitedCodec;

/// Asks a carrier to connect to an upstream. It is the first frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OpenRequest {
    /// Name of the host that asks.
    pub(super) host: HostId,
    /// The upstream.
    pub(super) upstream: InstanceId,
    /// Its address. A carrier connects to no other than the one that it knows of the upstream.
    pub(super) address: SocketAddr,
    /// Whether the connection is for a stream, and survives silences of several seconds.
    pub(super) is_stream: bool,
    /// Whether it is for new work, which a leaving upstream must not get.
    pub(super) is_new_work: bool,
}

/// The carrier's reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum OpenReply {
    /// The connection is open; frames of [`FrameKind`] follow.
    Open,
    /// The carrier can't connect to the upstream, for this reason.
    Unreachable(String),
    /// The upstream is leaving and gets no new work.
    Leaving(Departure),
    /// The carrier takes no connection, for this reason.
    Refused(String),
}

/// What a frame after [`OpenReply::Open`] holds, by its first byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FrameKind {
    /// Bytes of the upstream.
    Data,
    /// The upstream has closed its connection.
    End,
    /// The upstream's connection broke.
    Broken,
}

impl FrameKind {
    pub(super) const fn byte(self) -> u8 {
        match self {
            FrameKind::Data => 0,
            FrameKind::End => 1,
            FrameKind::Broken => 2,
        }
    }

    fn of(byte: u8) -> Option<Self> {
        [FrameKind::Data, FrameKind::End, FrameKind::Broken]
            .into_iter()
            .find(|kind| kind.byte() == byte)
    }

    /// A frame of this kind without data.
    pub(super) fn empty(self) -> Bytes {
        Bytes::copy_from_slice(&[self.byte()])
    }
}

/// The codec of both directions.
pub(super) fn codec() -> FrameCodec {
    LengthDelimitedCodec::builder()
        .length_field_type::<u16>()
        .max_frame_length(FRAME_BYTES_MAX)
        .new_codec()
}

/// An empty frame of data, to be filled.
pub(super) fn begin_data(buffer: &mut BytesMut) {
    buffer.clear();
    buffer.reserve(FRAME_BYTES_MAX);
    buffer.put_u8(FrameKind::Data.byte());
}

pub(super) fn encode(message: &impl Serialize) -> io::Result<Bytes> {
    let bytes = postcard::to_allocvec(message).map_err(io::Error::other)?;
    Ok(bytes.into())
}

pub(super) fn decode<T: DeserializeOwned>(frame: &[u8]) -> io::Result<T> {
    postcard::from_bytes(frame).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}

/// Reads the upstream's bytes from the frames that `reader` receives after `received`. They end only where the
/// carrier says that the upstream has closed its connection.
pub(super) fn reader(
    reader: OwnedReadHalf,
    received: BytesMut,
    carrier: CarrierState,
) -> impl AsyncRead + Unpin + 'static {
    let mut frames = FramedRead::new(reader, codec());
    *frames.read_buffer_mut() = received;
    let pieces = stream::unfold((frames, carrier), |(mut frames, carrier)| async move {
        let piece = match frames.next().await {
            Some(Ok(frame)) => unpack(frame, &carrier)?,
            Some(Err(error)) => {
                carrier.set_lost();
                Err(error)
            }
            None => {
                carrier.set_lost();
                Err(io::ErrorKind::UnexpectedEof.into())
            }
        };
        Some((piece, (frames, carrier)))
    });
    StreamReader::new(pieces.boxed_local())
}

/// The bytes of a frame; `None` at the end of the upstream's bytes.
fn unpack(mut frame: BytesMut, carrier: &CarrierState) -> Option<io::Result<Bytes>> {
    let kind = match frame.is_empty() {
        true => None,
        false => FrameKind::of(frame.get_u8()),
    };
    match kind {
        Some(FrameKind::Data) => Some(Ok(frame.freeze())),
        Some(FrameKind::End) => None,
        Some(FrameKind::Broken) => Some(Err(io::ErrorKind::ConnectionReset.into())),
        None => {
            carrier.set_lost();
            Some(Err(io::ErrorKind::InvalidData.into()))
        }
    }
}

#[cfg(test)]
mod tests;
