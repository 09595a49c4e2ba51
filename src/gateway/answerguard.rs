//! Limits on what an upstream may send without it becoming an answer, and on the memory that whole answers take.
//!
//! A faulty upstream may send bytes without end that are no answer: a header line, the size of a chunk, a body that
//! ends only with its connection. The deadline of the request is too late to end that, as bytes are taken as fast as
//! they come.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Instant;

/// Most bytes without any data of a body: a head, the framing of a chunk, or trailers. It exceeds the read buffer, as
/// data may wait there.
const FRAMING_BYTES_MAX: usize = 256 << 10;
/// Longest time over which such bytes may trickle in.
const FRAMING_TIME_MAX: Duration = Duration::from_secs(2);
/// Fewer reads than this are no trickle: the rest of a head may follow a silence of its link.
const TRICKLE_READS_MIN: u32 = 16;

/// Bytes of all answers together whose heads state their length. They take no more memory than that.
const STATED_BYTES_MAX: usize = 32 << 20;
/// Bytes of all other answers together. Their buffers take up to twice as much.
const OPEN_BYTES_MAX: usize = 16 << 20;

/// What has arrived on a connection since the request was sent or the last data of the body arrived.
#[derive(Debug, Default)]
pub(crate) struct FramingWatch {
    bytes: Cell<usize>,
    reads: Cell<u32>,
    first_at: Cell<Option<Instant>>,
}

impl FramingWatch {
    /// Begins to count anew.
    pub(crate) fn reset(&self) {
        self.bytes.set(0);
        self.reads.set(0);
        self.first_at.set(None);
    }

    /// Counts `bytes` that were read at `now`.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::InvalidData`] if too many have come that are no data.
    fn record(&self, now: Instant, bytes: usize) -> io::Result<()> {
        self.bytes.set(self.bytes.get().saturating_add(bytes));
        self.reads.set(self.reads.get().saturating_add(1));
        let first_at = self.first_at.get().unwrap_or(now);
        self.first_at.set(Some(first_at));
        let is_trickle = self.reads.get() >= TRICKLE_READS_MIN
            && now.saturating_duration_since(first_at) > FRAMING_TIME_MAX;
        if self.bytes.get() > FRAMING_BYTES_MAX || is_trickle {
            let bytes = self.bytes.get();
            let message = format!("{bytes} bytes without data of an answer");
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        }
        Ok(())
    }
}

/// A connection whose reads are counted.
#[derive(Debug)]
pub(crate) struct WatchedStream<S> {
    stream: S,
    watch: Rc<FramingWatch>,
}

impl<S> WatchedStream<S> {
    pub(crate) fn new(stream: S, watch: Rc<FramingWatch>) -> Self {
        WatchedStream { stream, watch }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WatchedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - filled;
        match read {
            0 => Poll::Ready(Ok(())),
            read => Poll::Ready(self.watch.record(Instant::now(), read)),
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WatchedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The body of a response on a watched connection.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    watch: Rc<FramingWatch>,
}

impl ResponseBody {
    pub(crate) fn new(body: Incoming, watch: Rc<FramingWatch>) -> Self {
        watch.reset();
        ResponseBody { body, watch }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if matches!(&frame, Some(Ok(frame)) if frame.is_data()) {
            self.watch.reset();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Whether the head of an answer states the length of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Extent {
    /// It has this many bytes.
    Stated(usize),
    /// It ends with its connection or a last chunk, if it ends.
    Open,
}

/// Bytes of the whole answers that a host holds.
#[derive(Debug, Default)]
struct HeldBytes {
    stated: AtomicUsize,
    open: AtomicUsize,
}

/// The memory that whole answers take on a host. Clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct AnswerMemory(Arc<HeldBytes>);

impl AnswerMemory {
    /// Begins an answer. Returns nothing if its stated length exceeds what is left.
    pub(crate) fn begin(&self, extent: Extent) -> Option<AnswerHold> {
        let mut hold = AnswerHold {
            memory: self.clone(),
            extent,
            bytes: 0,
        };
        match extent {
            Extent::Stated(bytes) => (hold.take(bytes) <= STATED_BYTES_MAX).then_some(hold),
            Extent::Open => Some(hold),
        }
    }
}

/// The memory of one answer, until it is dropped.
#[derive(Debug)]
pub struct AnswerHold {
    memory: AnswerMemory,
    extent: Extent,
    bytes: usize,
}

impl AnswerHold {
    /// Counts `bytes` that arrived. Returns whether an answer of unknown length may grow so far: to as much as all such
    /// answers leave free. However many grow without end, others then find room.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        match self.extent {
            Extent::Stated(_) => true,
            Extent::Open => {
                let held = self.take(bytes);
                self.bytes <= OPEN_BYTES_MAX.saturating_sub(held)
            }
        }
    }

    /// Takes `bytes`, and returns how many all answers of this kind hold.
    fn take(&mut self, bytes: usize) -> usize {
        self.bytes += bytes;
        self.counter().fetch_add(bytes, Ordering::Relaxed) + bytes
    }

    fn counter(&self) -> &AtomicUsize {
        match self.extent {
            Extent::Stated(_) => &self.memory.0.stated,
            Extent::Open => &self.memory.0.open,
        }
    }
}

impl Drop for AnswerHold {
    fn drop(&mut self) {
        self.counter().fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
