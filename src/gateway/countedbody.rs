//! The body of an answer that keeps its request counted as running until it has been sent.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use actix_web::body::BodySize;
use actix_web::body::BoxBody;
use actix_web::body::MessageBody;
use bytes::Bytes;

use crate::gate::Pass;

/// The body of an answer whose connection is kept. The server drops it when it has written nearly all of it.
pub(crate) struct CountedBody {
    body: BoxBody,
    _pass: Rc<Pass>,
}

impl CountedBody {
    /// Has the request of `pass` count as running while `body` is being sent.
    pub(crate) fn new(body: BoxBody, pass: Rc<Pass>) -> Self {
        CountedBody { body, _pass: pass }
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
