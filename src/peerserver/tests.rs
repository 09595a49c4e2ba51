use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use actix::Actor;
use actix::Context;
use actix::Handler;

use super::PeersStart;
use super::RunningPeers;
use super::start;
use crate::clock::SystemClock;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::id::RequestId;
use crate::journal::Journal;
use crate::link::Urgency;
use crate::peer::ConfigTail;
use crate::peer::PeerMessage;
use crate::peers::ConfigSource;
use crate::peers::NoConfig;
use crate::peers::PeerNews;
use crate::peers::PeersOptions;
use crate::platform::Record;

const PATIENCE: Duration = Duration::from_secs(20);

fn host(name: &str, known: Vec<String>, config: Arc<dyn ConfigSource>) -> RunningPeers {
    let clock = SystemClock::new();
    let journal = Journal::new(HostId::new(name), Incarnation(1), clock, 100);
    start(PeersStart {
        options: PeersOptions::default(),
        host: HostId::new(name),
        incarnation: Incarnation(1),
        data_centre: DataCentre::new("dc-a"),
        listener: TcpListener::bind("127.0.0.1:0").unwrap(),
        known,
        clock,
        journal,
        config,
    })
    .unwrap()
}

async fn until(mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < PATIENCE, "not in time");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Keeps the news it gets.
struct Listener(Arc<Mutex<Vec<PeerNews>>>);

impl Actor for Listener {
    type Context = Context<Self>;
}

impl Handler<PeerNews> for Listener {
    type Result = ();

    fn handle(&mut self, news: PeerNews, _: &mut Self::Context) {
        self.0.lock().unwrap().push(news);
    }
}

/// A configuration of one record.
#[derive(Default)]
struct FakeConfig(Mutex<Vec<Record>>);

impl ConfigSource for FakeConfig {
    fn next(&self) -> Offset {
        Offset(self.0.lock().unwrap().len() as u64)
    }

    fn tail(&self, _next: Offset) -> ConfigTail {
        ConfigTail {
            records: self.0.lock().unwrap().clone(),
            ..ConfigTail::default()
        }
    }

    fn offer(&self, tail: ConfigTail) {
        *self.0.lock().unwrap() = tail.records;
    }
}

#[actix::test]
async fn hosts_find_one_another_and_notice_a_death() {
    let first = host("a", Vec::new(), Arc::new(NoConfig));
    let second = host("b", vec![first.address.to_string()], Arc::new(NoConfig));
    let third = host("c", vec![first.address.to_string()], Arc::new(NoConfig));
    until(|| first.handle.ownership().len() == 3).await;
    until(|| second.handle.ownership().len() == 3).await;
    until(|| third.handle.ownership().len() == 3).await;

    third.stop();

    until(|| first.handle.ownership().len() == 2).await;
    until(|| second.handle.ownership().len() == 2).await;
}

#[actix::test]
async fn a_message_reaches_the_subscribers_of_the_other_host() {
    let first = host("a", Vec::new(), Arc::new(NoConfig));
    let second = host("b", vec![first.address.to_string()], Arc::new(NoConfig));
    until(|| second.handle.ownership().len() == 2).await;
    let heard = Arc::default();
    let listener = Listener(Arc::clone(&heard)).start();
    first.handle.subscribe(listener.recipient());
    let message = PeerMessage::Withdraw(RequestId::from_u128(5));

    second
        .handle
        .send(&HostId::new("a"), Urgency::Soon, message.clone());

    until(|| {
        heard.lock().unwrap().iter().any(|news| {
            matches!(news, PeerNews::Message { from, message: got }
                if *from == HostId::new("b") && **got == message)
        })
    })
    .await;
}

#[actix::test]
async fn a_host_without_configuration_gets_it_from_a_peer() {
    let record = Record {
        offset: Offset(0),
        appended_at_ms: 1,
        data: "{}".to_owned(),
    };
    let full = Arc::new(FakeConfig(Mutex::new(vec![record])));
    let empty = Arc::new(FakeConfig::default());
    let first = host("a", Vec::new(), full);

    let _second = host("b", vec![first.address.to_string()], empty.clone());

    until(|| empty.next() == Offset(1)).await;
}
