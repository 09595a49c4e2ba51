use crate::clock::Time;
use crate::id::ClassId;
use crate::id::CustomerId;
use crate::id::ServiceId;
use crate::observe::Fate;
use crate::observe::Recorder;
use crate::summary::Summary;
use crate::trace::TraceRequest;

fn recorder(requests: usize) -> Recorder {
    let mut recorder = Recorder::new(Time::from_ms(10_000));
    for _ in 0..requests {
        recorder.add(&TraceRequest {
            at_ms: 1_000,
            service: ServiceId::from("s"),
            customer: CustomerId::from("c"),
            class: ClassId::from("k"),
            prompt_tokens: 1,
            output_tokens: 3,
            max_output_tokens: 3,
            repeatable: true,
            prefix: Vec::new(),
        });
    }
    recorder
}

#[test]
fn stall_is_the_wait_beyond_both_bounds() {
    let mut recorder = recorder(1);

    recorder.token(0, Time::from_ms(2_000));
    recorder.token(0, Time::from_ms(2_060));
    recorder.token(0, Time::from_ms(2_160));
    recorder.end(0, Time::from_ms(2_160), Fate::Completed);

    let record = &recorder.requests[0];
    assert_eq!(record.first_stall_us, 490_000);
    assert_eq!(record.gap_stall_us, 31_000);
    assert_eq!(record.longest_gap_us, 100_000);
}

#[test]
fn refused_and_incomplete_requests_stall_until_their_end() {
    let mut recorder = recorder(2);

    recorder.end(0, Time::from_ms(1_600), Fate::Refused);
    recorder.token(1, Time::from_ms(1_100));
    recorder.end(1, Time::from_ms(9_000), Fate::Incomplete);

    assert_eq!(recorder.requests[0].stall_us(), 90_000);
    assert_eq!(recorder.requests[1].stall_us(), 7_900_000 - 69_000);
}

#[test]
fn goodput_counts_completed_requests_inside_the_window() {
    let mut recorder = recorder(2);
    recorder.token(0, Time::from_ms(9_000));
    recorder.token(0, Time::from_ms(11_000));
    recorder.end(0, Time::from_ms(11_000), Fate::Completed);
    recorder.token(1, Time::from_ms(9_000));
    recorder.end(1, Time::from_ms(9_500), Fate::Failed);

    let summary = Summary::of(&recorder);

    assert_eq!(summary.goodput_tokens_per_s, 0.1);
    assert_eq!(summary.failed, 1);
    assert_eq!(recorder.served[0].1.iter().sum::<u32>(), 3);
}
