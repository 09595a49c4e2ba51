use crate::clock::Time;
use crate::fairness::fairness;
use crate::id::ClassId;
use crate::id::CustomerId;
use crate::id::ServiceId;
use crate::observe::Fate;
use crate::observe::Recorder;
use crate::schedule::CustomerWeight;
use crate::schedule::Weights;
use crate::trace::TraceRequest;

/// Two customers, each with a request that waits for 100 s and another that is served every
/// second.
fn recorder(tokens_per_s: [u32; 2]) -> Recorder {
    let mut recorder = Recorder::new(Time::from_ms(100_000));
    for (number, customer) in ["a", "b"].into_iter().enumerate() {
        for _ in 0..2 {
            recorder.add(&TraceRequest {
                at_ms: 0,
                service: ServiceId::from("s"),
                customer: CustomerId::from(customer),
                class: ClassId::from("k"),
                prompt_tokens: 1,
                output_tokens: 1_000,
                max_output_tokens: 1_000,
                repeatable: true,
                prefix: Vec::new(),
            });
        }
        for second in 0..100 {
            for _ in 0..tokens_per_s[number] {
                recorder.token(2 * number, Time::from_ms(second * 1_000));
            }
        }
        recorder.end(2 * number + 1, Time::from_ms(100_000), Fate::Incomplete);
    }
    recorder
}

fn weights() -> Weights {
    Weights {
        classes: Vec::new(),
        customers: vec![CustomerWeight {
            customer: CustomerId::from("b"),
            weight: 3,
        }],
    }
}

#[test]
fn shares_by_weight_have_no_error() {
    let fairness = fairness(&recorder([2, 6]), &weights()).unwrap();

    assert!(fairness.worst_error_percent < 1e-9);
    assert_eq!(fairness.share_percent["b"], 75.0);
    assert_eq!(fairness.windows, 40);
}

#[test]
fn equal_service_is_far_from_the_weights() {
    let fairness = fairness(&recorder([4, 4]), &weights()).unwrap();

    assert!((fairness.worst_error_percent - 100.0).abs() < 1e-9);
}

#[test]
fn nothing_is_said_where_a_customer_does_not_wait() {
    let mut recorder = recorder([2, 6]);
    recorder.token(3, Time::from_ms(10));

    assert_eq!(fairness(&recorder, &weights()), None);
}
