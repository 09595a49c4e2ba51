//! Bodies of answers: what they hold is held until they have been sent.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use actix_web::body::BodySize;
use actix_web::body::BoxBody;
use actix_web::body::MessageBody;
use bytes::Bytes;
use tokio::time::Instant;

use crate::gate::Pass;
use crate::gateway::answerguard::AnswerHold;
use crate::gateway::callerconnections::CallerConnection;

/// Bytes that the server copies into its write buffer at once.
const SLICE_BYTES_MAX: usize = 16 << 10;

/// The body of an answer. The server drops it when it has written nearly all of it.
pub(crate) struct CountedBody {
    body: BoxBody,
    connection: Rc<CallerConnection>,
    _pass: Option<Rc<Pass>>,
}

impl CountedBody {
    /// Has the request of `pass`, if any, count as running while `body` is being sent on `connection`.
    pub(crate) fn new(
        body: BoxBody,
        connection: Rc<CallerConnection>,
        pass: Option<Rc<Pass>>,
    ) -> Self {
        if matches!(body.size(), BodySize::Sized(_)) {
            connection.begin_answer(Instant::now());
        }
        CountedBody {
            body,
            connection,
            _pass: pass,
        }
    }
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        self.connection.end_request(Instant::now());
    }
}

impl MessageBody for CountedBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(context)
    }
}

/// A whole answer that is sent in slices, so that what its caller doesn't read is held once.
#[derive(Debug)]
pub(crate) struct WholeBody {
    unsent: Bytes,
    _memory: AnswerHold,
}

impl WholeBody {
    /// The answer `body`, whose memory is held until it has been sent.
    pub(crate) fn new(body: Bytes, memory: AnswerHold) -> Self {
        WholeBody {
            unsent: body,
            _memory: memory,
        }
    }
}

impl MessageBody for WholeBody {
    type Error = std::convert::Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.unsent.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let bytes = self.unsent.len().min(SLICE_BYTES_MAX);
        match bytes {
            0 => Poll::Ready(None),
            bytes => Poll::Ready(Some(Ok(self.unsent.split_to(bytes)))),
        }
    }
}
