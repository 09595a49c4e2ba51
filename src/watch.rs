//! Gives up on callers who don't read their stream, so that none holds an upstream's memory.
//!
//! A stream is driven by the HTTP library, which stops polling it while the caller's buffers are
//! full. So one task for each worker looks after the streams that were handed a chunk and were not
//! polled since.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream;
use tokio::time::Instant;

use crate::answer::AnswerStream;

/// How often the streams are looked after.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// The streams of one worker.
#[derive(Clone)]
pub struct SlowCallers {
    streams: Rc<RefCell<Vec<Weak<Watched>>>>,
}

/// A stream that is looked after.
struct Watched {
    content: RefCell<Content>,
    /// When the caller was handed a chunk; none while it waits for one.
    handed_at: Cell<Option<Instant>>,
}

enum Content {
    Running(Box<AnswerStream>),
    Last(Bytes),
    Ended,
}

impl SlowCallers {
    /// Looks after streams and gives a caller up after `timeout`.
    pub fn start(timeout: Duration) -> Self {
        let callers = SlowCallers {
            streams: Rc::default(),
        };
        actix_rt::spawn(look_after(Rc::downgrade(&callers.streams), timeout));
        callers
    }

    /// Puts a stream in care.
    pub(crate) fn watch(
        &self,
        stream: AnswerStream,
    ) -> impl Stream<Item = Result<Bytes, actix_web::Error>> + use<> {
        let watched = Rc::new(Watched {
            content: RefCell::new(Content::Running(Box::new(stream))),
            handed_at: Cell::new(Some(Instant::now())),
        });
        self.streams.borrow_mut().push(Rc::downgrade(&watched));
        stream::unfold(watched, |watched| async move {
            let chunk = watched.next().await?;
            Some((Ok(chunk), watched))
        })
    }
}

impl Watched {
    async fn next(&self) -> Option<Bytes> {
        self.handed_at.set(None);
        let content = self.content.replace(Content::Ended);
        let chunk = match content {
            Content::Running(mut stream) => {
                let chunk = stream.next().await;
                self.content.replace(Content::Running(stream));
                chunk
            }
            Content::Last(chunk) => Some(chunk),
            Content::Ended => None,
        };
        self.handed_at.set(Some(Instant::now()));
        chunk
    }

    fn is_unread_for(&self, timeout: Duration) -> bool {
        self.handed_at
            .get()
            .is_some_and(|handed_at| handed_at.elapsed() >= timeout)
    }

    fn give_up(&self) {
        let content = self.content.replace(Content::Ended);
        if let Content::Running(stream) = content {
            let last = stream.give_up().map_or(Content::Ended, Content::Last);
            self.content.replace(last);
        }
    }
}

async fn look_after(streams: Weak<RefCell<Vec<Weak<Watched>>>>, timeout: Duration) {
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let Some(streams) = streams.upgrade() else {
            return;
        };
        streams
            .borrow_mut()
            .retain(|stream| stream.strong_count() > 0);
        let slow: Vec<Rc<Watched>> = streams
            .borrow()
            .iter()
            .filter_map(Weak::upgrade)
            .filter(|watched| watched.is_unread_for(timeout))
            .collect();
        slow.iter().for_each(|watched| watched.give_up());
    }
}
