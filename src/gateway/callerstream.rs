//! The byte stream of a client's connection, which reads no more than the connection may hold.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::gateway::callerconnections::CallerConnection;
use crate::gateway::callerconnections::ReadAllowance;

/// Bytes that are read before they are decoded. The HTTP library decodes all that it has read into a queue, in which
/// each chunk of a body takes an entry, however small it is.
const TURN_BYTES_MAX: usize = 4 << 10;

/// A client's connection.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    /// Absent if the connection was refused: then only what has arrived is read.
    connection: Option<Rc<CallerConnection>>,
    /// Bytes read since the HTTP library last decoded.
    turn_bytes: usize,
}

impl CallerStream {
    /// The stream of `connection`; none if it was refused.
    pub(crate) fn new(stream: TcpStream, connection: Option<CallerConnection>) -> Self {
        CallerStream {
            stream,
            connection: connection.map(Rc::new),
            turn_bytes: 0,
        }
    }

    /// The connection, unless it was refused.
    pub(crate) fn connection(&self) -> Option<&Rc<CallerConnection>> {
        self.connection.as_ref()
    }

    /// Bytes that may be read now; none at the end of the connection.
    fn poll_allowance(&mut self, context: &mut Context<'_>) -> Poll<usize> {
        let allowance = match &self.connection {
            Some(connection) => connection.read_allowance(Instant::now(), context.waker()),
            None => ReadAllowance::Bytes(TURN_BYTES_MAX),
        };
        match allowance {
            ReadAllowance::Ended => Poll::Ready(0),
            ReadAllowance::Wait => Poll::Pending,
            ReadAllowance::Bytes(_) if self.turn_bytes >= TURN_BYTES_MAX => {
                self.turn_bytes = 0;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            ReadAllowance::Bytes(bytes) => Poll::Ready(bytes.min(TURN_BYTES_MAX - self.turn_bytes)),
        }
    }

    fn record_write(&self, is_blocked: bool) {
        if let Some(connection) = &self.connection {
            connection.record_write(Instant::now(), is_blocked);
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let allowed = ready!(self.poll_allowance(context)).min(buffer.remaining());
        if allowed == 0 {
            return Poll::Ready(Ok(()));
        }
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(allowed));
        let polled = Pin::new(&mut self.stream).poll_read(context, &mut part);
        let read = part.filled().len();
        buffer.advance(read);
        match &polled {
            Poll::Pending => self.turn_bytes = 0,
            Poll::Ready(_) => self.turn_bytes += read,
        }
        if let (Some(connection), true) = (&self.connection, read > 0) {
            connection.record_read(Instant::now(), read);
        }
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let connection = self.connection.as_ref();
        if connection.is_some_and(|connection| connection.is_write_ended(Instant::now())) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(polled.is_pending());
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
