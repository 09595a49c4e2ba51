use std::collections::BTreeSet;
use std::time::Duration;

use super::Answer;
use super::Envelope;
use super::Grant;
use super::JoinRequest;
use super::QueueAnswer;
use super::QueueMessage;
use crate::clock::Time;
use crate::fingerprint::Fingerprint;
use crate::gateway::datagram;
use crate::gateway::datagram::DATAGRAM_BYTES_MAX;
use crate::gateway::datagram::Datagram;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::loads::Load;
use crate::gateway::placement::Need;
use crate::gateway::sharedqueue::QueueForecast;
use crate::gateway::sharedqueue::Turn;
use crate::gateway::sharedqueue::Waiter;
use crate::gateway::sharedqueue::WaiterId;
use crate::id::CustomerId;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::RegionId;
use crate::id::ServiceId;
use crate::id::UpstreamId;

const NOW: Time = Time::from_ms(60_000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn key(number: usize) -> InstanceKey {
    InstanceId::from(UpstreamId::new(format!("engine-{number}"))).key()
}

/// A generation that arrived 40 ms ago and avoids `avoided` engines.
fn waiter(avoided: usize, regions: Option<BTreeSet<RegionId>>) -> Waiter {
    Waiter {
        id: WaiterId {
            host: HostId::new("host-17.valley.example"),
            number: u64::MAX - 1,
        },
        rank: 3,
        customer: Some(CustomerId::new("canton-of-somewhere-0001")),
        weight: 5,
        content: Fingerprint::MIN,
        need: Need::Memory {
            tokens: 12_000,
            prompt_tokens: 9_000,
            memory_tokens: 30_000,
        },
        arrived_at: Time::from_ms(59_960),
        objective: ms(510),
        deadline: Time::from_ms(68_000),
        run_time: ms(3_000),
        avoid: (0..avoided).map(key).collect(),
        regions,
    }
}

fn regions(count: usize) -> Option<BTreeSet<RegionId>> {
    let names =
        (0..count).map(|number| RegionId::new(format!("a-region-with-a-long-name-{number}")));
    Some(names.collect())
}

fn service() -> ServiceId {
    ServiceId::new("inspection-reports-large")
}

fn join(waiter: &Waiter) -> Envelope {
    Envelope {
        host: waiter.id.host.clone(),
        message: QueueMessage::Join(JoinRequest::new(NOW, &service(), waiter, 7).unwrap()),
    }
}

fn of(message: QueueMessage) -> Envelope {
    Envelope {
        host: HostId::new("host-1"),
        message,
    }
}

#[test]
fn a_request_that_avoids_eight_engines_and_names_four_regions_fits_into_a_datagram() {
    let waiter = waiter(8, regions(4));

    let bytes = join(&waiter).encode().unwrap();

    assert!(bytes.len() <= DATAGRAM_BYTES_MAX / 3, "{}", bytes.len());
    assert_eq!(Envelope::decode(&bytes), Some(join(&waiter)));
}

#[test]
fn a_request_that_fits_into_no_datagram_is_not_encoded() {
    assert_eq!(join(&waiter(0, regions(60))).encode(), None);
}

#[test]
fn times_are_told_by_the_receivers_clock() {
    let sent = waiter(1, None);
    let envelope = Envelope::decode(&join(&sent).encode().unwrap()).unwrap();
    let QueueMessage::Join(request) = envelope.message else {
        panic!("{envelope:?}");
    };

    let received = request.into_waiter(Time::from_ms(5_000), envelope.host);

    let expected = Waiter {
        arrived_at: Time::from_ms(4_960),
        deadline: Time::from_ms(13_000),
        ..sent
    };
    assert_eq!(received, expected);
}

#[test]
fn an_arrival_before_the_receivers_start_counts_from_its_start() {
    let request = JoinRequest::new(NOW, &service(), &waiter(0, None), 0).unwrap();

    let received = request.into_waiter(Time::from_ms(10), HostId::new("host-1"));

    assert_eq!(received.arrived_at, Time::ZERO);
}

#[test]
fn a_weight_of_none_counts_as_one() {
    let weightless = Waiter {
        weight: 0,
        ..waiter(0, None)
    };
    let request = JoinRequest::new(NOW, &service(), &weightless, 0).unwrap();

    let received = request.into_waiter(NOW, HostId::new("host-1"));

    assert_eq!(received.weight, 1);
}

#[test]
fn only_generations_that_need_memory_have_a_request() {
    let call = Waiter {
        need: Need::Slot,
        ..waiter(0, None)
    };

    assert_eq!(JoinRequest::new(NOW, &service(), &call, 0), None);
}

#[test]
fn each_message_is_decoded_as_it_was_sent() {
    let forecast = QueueForecast {
        expected: ms(120),
        limit: ms(255),
        ahead_tokens: 90_000,
    };
    let turn = Turn {
        forecast,
        retry_after: ms(900),
    };
    let grant = Grant {
        engine: InstanceId::new(UpstreamId::new("10.0.0.7:9000"), Some(1_764_000_000_000)),
        renewal: 3,
        after_ms: 40,
        valid_for_ms: 250,
    };
    let answer = |answer| QueueMessage::Answer(QueueAnswer { number: 9, answer });
    let load = Load {
        requests: 3,
        tokens: 40_000,
        unread_tokens: 700,
    };
    let messages = [
        QueueMessage::Leave { number: 9 },
        QueueMessage::Started {
            number: 9,
            engine: key(1),
            load,
        },
        QueueMessage::Fell {
            engine: key(1),
            load,
        },
        answer(Answer::Queued(forecast.into())),
        answer(Answer::Granted(grant)),
        answer(Answer::Refused(turn.into())),
        answer(Answer::NotOwner),
        QueueMessage::Open { service: service() },
        QueueMessage::Closed { service: service() },
    ];

    let decoded = messages.clone().map(|message| {
        let bytes = of(message).encode().unwrap();
        Envelope::decode(&bytes).unwrap().message
    });

    assert_eq!(decoded, messages);
    assert_eq!(Turn::from(super::TurnMs::from(turn)), turn);
}

#[test]
fn other_kinds_and_malformed_datagrams_are_no_messages() {
    let round = datagram::encode(Datagram::new(
        HostId::new("host-1"),
        DataCentre::new("north"),
    ));
    let mut cut = join(&waiter(2, None)).encode().unwrap();
    cut.truncate(cut.len() - 3);
    let mut unknown = of(QueueMessage::Leave { number: 1 }).encode().unwrap();
    // The kind of the message comes after the length and the text of the host's name.
    unknown[1 + 1 + "host-1".len()] = 0x7F;
    let too_large = vec![unknown[0]; DATAGRAM_BYTES_MAX + 1];

    for bytes in [round, cut, unknown, too_large, Vec::new()] {
        assert_eq!(Envelope::decode(&bytes), None);
    }
}

#[test]
fn a_message_is_no_datagram_of_a_round() {
    let bytes = of(QueueMessage::Leave { number: 1 }).encode().unwrap();

    assert!(datagram::decode(&bytes).is_err());
}
