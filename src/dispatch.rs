//! Chooses the upstream of a request and hears how the request goes there.
//!
//! This version decides alone, by the requests that this host has open at each upstream.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::oneshot;

use crate::id::AttemptId;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::schedule::Ending;
use crate::schedule::Ticket;
use crate::table::Table;

/// When to ask again if a service has no upstream, in milliseconds.
const NO_UPSTREAM_RETRY_MS: u64 = 1_000;

/// Where the table in force is read from.
pub type TableSource = Arc<dyn Fn() -> Arc<Table> + Send + Sync>;

/// Leave to dispatch one attempt of a request.
#[derive(Debug)]
pub struct Grant {
    /// The request.
    pub request: RequestId,
    /// Where to.
    pub upstream: UpstreamId,
    /// Priority to give the engine.
    pub engine_priority: u8,
    /// Fires if the request is to be moved.
    pub relocate: oneshot::Receiver<()>,
}

/// Chooses upstreams; clones share their state.
#[derive(Clone)]
pub struct Dispatcher {
    table: TableSource,
    open: Arc<Mutex<Open>>,
}

#[derive(Debug, Default)]
struct Open {
    running: HashMap<RequestId, Running>,
    count: HashMap<UpstreamId, usize>,
}

#[derive(Debug)]
struct Running {
    upstream: UpstreamId,
    _relocate: oneshot::Sender<()>,
}

impl Dispatcher {
    /// A dispatcher over the pools of the table that `table` reads.
    pub fn new(table: TableSource) -> Self {
        Dispatcher {
            table,
            open: Arc::default(),
        }
    }

    /// Waits for an upstream for `ticket`. Dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// The refusal to give the caller; the request did not run under this ticket.
    pub async fn acquire(&self, ticket: Ticket) -> Result<Grant, Refusal> {
        let table = (self.table)();
        let mut open = self.open();
        let upstream = least_requests(&table, &ticket, &open.count).ok_or_else(no_upstream)?;
        let engine_priority = table
            .classes
            .get(&ticket.class)
            .map_or(0, |class| class.row.engine_priority);
        let (sender, relocate) = oneshot::channel();
        open.insert(ticket.request, upstream.clone(), sender);
        Ok(Grant {
            request: ticket.request,
            upstream,
            engine_priority,
            relocate,
        })
    }

    /// The granted request was dispatched as `attempt`.
    pub fn started(&self, request: RequestId, attempt: AttemptId) {
        log::trace!("{request} started as {attempt}");
    }

    /// The granted request has produced `output_tokens` so far.
    pub fn progress(&self, request: RequestId, output_tokens: u32) {
        log::trace!("{request} has {output_tokens} tokens");
    }

    /// The granted request ended. Telling it twice does nothing more.
    pub fn finished(
        &self,
        request: RequestId,
        output_tokens: u32,
        ending: Ending,
        cached_prompt_tokens: u32,
    ) {
        log::trace!(
            "{request} ended {ending:?}: {output_tokens} tokens, {cached_prompt_tokens} cached"
        );
        self.open().remove(request);
    }

    fn open(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Open {
    fn insert(&mut self, request: RequestId, upstream: UpstreamId, sender: oneshot::Sender<()>) {
        *self.count.entry(upstream.clone()).or_default() += 1;
        let running = Running {
            upstream,
            _relocate: sender,
        };
        self.running.insert(request, running);
    }

    fn remove(&mut self, request: RequestId) {
        let Some(running) = self.running.remove(&request) else {
            return;
        };
        if let Some(count) = self.count.get_mut(&running.upstream) {
            *count = count.saturating_sub(1);
        }
    }
}

fn least_requests(
    table: &Table,
    ticket: &Ticket,
    count: &HashMap<UpstreamId, usize>,
) -> Option<UpstreamId> {
    let service = &table.services.get(&ticket.service)?.row;
    let pool = &table.pools.get(&service.pool)?.row;
    pool.upstreams
        .iter()
        .map(|row| &row.upstream)
        .filter(|upstream| !ticket.avoid.contains(upstream))
        .min_by_key(|upstream| count.get(upstream).copied().unwrap_or(0))
        .cloned()
}

fn no_upstream() -> Refusal {
    Refusal::not_run(
        Code::NoUpstream,
        "no upstream of the service is left to try",
    )
    .retry_after_ms(NO_UPSTREAM_RETRY_MS)
}
