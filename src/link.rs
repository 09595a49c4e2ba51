//! One persistent connection to another entry host: a bounded queue, sent in batches.

use std::time::Duration;

use actix::Recipient;
use backon::BackoffBuilder;
use backon::ExponentialBackoff;
use backon::ExponentialBuilder;
use jsonrpsee::core::ClientError;
use jsonrpsee::ws_client::WsClient;
use jsonrpsee::ws_client::WsClientBuilder;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use crate::id::Offset;
use crate::membership::Identity;
use crate::peer::ConfigTail;
use crate::peer::Envelope;
use crate::peer::PeerMessage;
use crate::peer::Receipt;
use crate::peerapi::PeerApiClient;
use crate::telemetry;
use crate::telemetry::Metric;

/// Messages that one envelope carries at most.
const BATCH: usize = 256;

/// Largest message in either direction, in bytes; a whole configuration must fit.
pub(crate) const MESSAGE_BYTES_MAX: u32 = 64 * 1024 * 1024;

/// Time for a part of the configuration, at most a whole table: one of 36,000 customers (9.8 MB) takes a link
/// of 10 Mbit/s 7.9 s. The library tells nothing of an answer until it is whole, so this can't follow what arrives.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(8_500);

const BACKOFF_MIN: Duration = Duration::from_millis(50);
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Bounds of a link.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LinkOptions {
    /// A call that takes longer has failed.
    pub(crate) call_timeout: Duration,
    /// How long a message that is not urgent may wait for others.
    pub(crate) flush: Duration,
    /// Messages that wait at most; more are dropped.
    pub(crate) queue: usize,
}

/// How soon a message must go out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// At once.
    Now,
    /// With the next batch, a fraction of a second later at most.
    Soon,
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Eq, actix::Message)]
#[rtype(result = "()")]
pub(crate) enum LinkNews {
    /// The host at the address took a batch.
    Answered { address: String, receipt: Receipt },
    /// The host at the address could not be reached, or the connection broke.
    Failed { address: String },
}

/// The sending end of a link; its task ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Link {
    queue: mpsc::Sender<(Urgency, Option<PeerMessage>)>,
}

impl Link {
    /// Opens a link from `identity` to `address`; it connects with the first message.
    pub(crate) fn open(
        identity: Identity,
        address: String,
        options: LinkOptions,
        news: Recipient<LinkNews>,
    ) -> Self {
        let (queue, inbox) = mpsc::channel(options.queue);
        let task = LinkTask {
            identity,
            address,
            options,
            news,
            inbox,
            client: None,
            backoff: new_backoff(),
            retry_at: Instant::now(),
        };
        actix_rt::spawn(task.run());
        Link { queue }
    }

    /// Queues a message, or drops it if the queue is full.
    pub(crate) fn send(&self, urgency: Urgency, message: PeerMessage) {
        if self.queue.try_send((urgency, Some(message))).is_err() {
            telemetry::count(Metric::PeerMessagesDroppedTotal);
        }
    }

    /// Makes sure that the host answers a call soon; messages that wait already do.
    pub(crate) fn ping(&self) {
        if self.queue.capacity() == self.queue.max_capacity() {
            // It fails only while the process ends.
            let _ = self.queue.try_send((Urgency::Now, None));
        }
    }
}

struct LinkTask {
    identity: Identity,
    address: String,
    options: LinkOptions,
    news: Recipient<LinkNews>,
    inbox: mpsc::Receiver<(Urgency, Option<PeerMessage>)>,
    client: Option<WsClient>,
    backoff: ExponentialBackoff,
    retry_at: Instant,
}

impl LinkTask {
    async fn run(mut self) {
        while let Some(messages) = self.next_batch().await {
            match self.deliver(messages).await {
                Ok(receipt) => self.answered(receipt),
                Err(error) => self.failed(&error),
            }
        }
    }

    /// Waits for messages, and notices meanwhile if the connection breaks.
    async fn next_batch(&mut self) -> Option<Vec<PeerMessage>> {
        let first = loop {
            let Some(client) = &self.client else {
                break self.inbox.recv().await?;
            };
            tokio::select! {
                received = self.inbox.recv() => break received?,
                error = client.on_disconnect() => self.failed(&error),
            }
        };
        Some(self.gather(first).await)
    }

    async fn gather(&mut self, first: (Urgency, Option<PeerMessage>)) -> Vec<PeerMessage> {
        let (mut urgency, message) = first;
        let mut messages: Vec<PeerMessage> = message.into_iter().collect();
        let flush_at = Instant::now() + self.options.flush;
        while messages.len() < BATCH {
            let next = match urgency {
                Urgency::Now => self.inbox.try_recv().ok(),
                Urgency::Soon => timeout_at(flush_at, self.inbox.recv()).await.ok().flatten(),
            };
            let Some((next_urgency, message)) = next else {
                break;
            };
            messages.extend(message);
            if next_urgency == Urgency::Now {
                urgency = Urgency::Now;
            }
        }
        messages
    }

    async fn deliver(&mut self, messages: Vec<PeerMessage>) -> Result<Receipt, ClientError> {
        let envelope = Envelope {
            from: self.identity.host.clone(),
            incarnation: self.identity.incarnation,
            data_centre: self.identity.data_centre.clone(),
            address: self.identity.address.clone(),
            messages,
        };
        let client = match self.client.take() {
            Some(client) => client,
            None => {
                sleep_until(self.retry_at).await;
                connect(&self.address, self.options.call_timeout).await?
            }
        };
        let receipt = client.deliver(envelope).await?;
        self.client = Some(client);
        Ok(receipt)
    }

    fn answered(&mut self, receipt: Receipt) {
        self.backoff = new_backoff();
        self.news.do_send(LinkNews::Answered {
            address: self.address.clone(),
            receipt,
        });
    }

    fn failed(&mut self, error: &ClientError) {
        log::debug!("link to {}: {error}", self.address);
        self.client = None;
        self.retry_at = Instant::now() + self.backoff.next().unwrap_or(BACKOFF_MAX);
        self.news.do_send(LinkNews::Failed {
            address: self.address.clone(),
        });
    }
}

fn new_backoff() -> ExponentialBackoff {
    ExponentialBuilder::default()
        .with_min_delay(BACKOFF_MIN)
        .with_max_delay(BACKOFF_MAX)
        .with_jitter()
        .without_max_times()
        .build()
}

async fn connect(address: &str, call_timeout: Duration) -> Result<WsClient, ClientError> {
    builder(call_timeout)
        .request_timeout(call_timeout)
        .build(format!("ws://{address}"))
        .await
}

fn builder(connect_timeout: Duration) -> WsClientBuilder {
    WsClientBuilder::new()
        .connection_timeout(connect_timeout)
        .max_request_size(MESSAGE_BYTES_MAX)
        .max_response_size(MESSAGE_BYTES_MAX)
}

/// Asks the host at `address`, which takes a connection within `connect_timeout`, for the configuration
/// from `next` on.
pub(crate) async fn fetch_config(
    address: &str,
    next: Offset,
    connect_timeout: Duration,
) -> Result<ConfigTail, ClientError> {
    let client = builder(connect_timeout)
        .request_timeout(CONFIG_TIMEOUT)
        .build(format!("ws://{address}"))
        .await?;
    client.config_tail(next).await
}

#[cfg(test)]
mod tests;
