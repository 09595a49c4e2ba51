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

use crate::gateway::memorybudget::MemoryBudget;
use crate::gateway::memorybudget::MemoryHold;
use crate::gateway::memorybudget::Place;

/// Most bytes without any data of a body: a head, the framing of a chunk, or trailers. It exceeds the read buffer, as
/// data may wait there.
const FRAMING_BYTES_MAX: usize = 256 << 10;
/// Longest time over which such bytes may trickle in.
const FRAMING_TIME_MAX: Duration = Duration::from_secs(2);
/// Fewer reads than this are no trickle: the rest of a head may follow a silence of its link.
const TRICKLE_READS_MIN: u32 = 16;

/// Bytes of all answers together whose heads state their length. They take no more memory than that.
const STATED_BYTES_MAX: usize = 32 << 20;
/// Share of the memory limit that they may take, if it is less.
const STATED_LIMIT_SHARE: f64 = 0.2;
/// Bytes of all other answers together. Their buffers take up to twice as much.
const OPEN_BYTES_MAX: usize = 16 << 20;
/// Share of the memory limit that they may take, if it is less.
const OPEN_LIMIT_SHARE: f64 = 0.1;
/// An answer up to this size is small.
const SMALL_BYTES_MAX: usize = 64 << 10;
/// What small answers of stated length may take beyond the others, as a share of theirs.
const SMALL_SHARE: f64 = 0.25;

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

/// Bytes of the whole answers that a host holds, and may hold.
#[derive(Debug)]
struct AnswerBytes {
    stated: AtomicUsize,
    open: AtomicUsize,
    stated_max: usize,
    open_max: usize,
    budget: MemoryBudget,
}

/// The memory that whole answers take on a host. Clones share it.
#[derive(Debug, Clone)]
pub(crate) struct AnswerMemory(Arc<AnswerBytes>);

impl Default for AnswerMemory {
    fn default() -> Self {
        AnswerMemory::new(None, MemoryBudget::of_process(None))
    }
}

impl AnswerMemory {
    /// A share of `budget`, of a process that may use `limit` bytes if that is known.
    pub(crate) fn new(limit: Option<u64>, budget: MemoryBudget) -> Self {
        let share = |share: f64, max: usize| {
            limit.map_or(max, |limit| ((limit as f64 * share) as usize).min(max))
        };
        AnswerMemory(Arc::new(AnswerBytes {
            stated: AtomicUsize::new(0),
            open: AtomicUsize::new(0),
            stated_max: share(STATED_LIMIT_SHARE, STATED_BYTES_MAX),
            open_max: share(OPEN_LIMIT_SHARE, OPEN_BYTES_MAX),
            budget,
        }))
    }

    /// Begins an answer. Returns nothing if its stated length exceeds what is left.
    pub(crate) fn begin(&self, extent: Extent) -> Option<AnswerHold> {
        let mut hold = AnswerHold {
            memory: self.clone(),
            extent,
            bytes: 0,
            hold: self.0.budget.hold(Place::Answers),
        };
        match extent {
            Extent::Stated(bytes) => {
                let is_within = hold.take(bytes) <= self.stated_max_for(bytes);
                (is_within && hold.hold.resize(bytes)).then_some(hold)
            }
            Extent::Open => Some(hold),
        }
    }

    /// Bytes that all answers of stated length may take for one of `bytes` to fit.
    fn stated_max_for(&self, bytes: usize) -> usize {
        let max = self.0.stated_max;
        match bytes <= SMALL_BYTES_MAX {
            true => max + (max as f64 * SMALL_SHARE) as usize,
            false => max,
        }
    }
}

/// The memory of one answer, until it is dropped.
#[derive(Debug)]
pub struct AnswerHold {
    memory: AnswerMemory,
    extent: Extent,
    bytes: usize,
    hold: MemoryHold,
}

impl AnswerHold {
    /// Counts `bytes` that arrived. Returns whether an answer of unknown length may grow so far: to as much as all such
    /// answers leave free. However many grow without end, others then find room.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        match self.extent {
            Extent::Stated(_) => true,
            Extent::Open => {
                let held = self.take(bytes);
                let is_within = self.bytes <= self.memory.0.open_max.saturating_sub(held);
                is_within && self.hold.resize(self.bytes)
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
