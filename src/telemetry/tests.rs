use metrics::with_local_recorder;

use crate::clock::Time;
use crate::refusal::Code;
use crate::telemetry::Metric;
use crate::telemetry::StreamMeter;
use crate::telemetry::count_refusal;
use crate::telemetry::describe_all;
use crate::telemetry::recorder;

fn rendered(act: impl FnOnce()) -> String {
    let recorder = recorder().unwrap();
    let handle = recorder.handle();
    with_local_recorder(&recorder, || {
        describe_all();
        act();
    });
    handle.render()
}

fn meter() -> StreamMeter {
    StreamMeter::start(Time::ZERO, &"inspection".into(), &"urgent".into())
}

#[test]
fn a_stall_is_what_the_gaps_exceed_the_threshold_by() {
    let text = rendered(|| {
        let mut meter = meter();
        meter.granted(Time::from_ms(10));
        meter.token(Time::from_ms(100));
        meter.token(Time::from_ms(150));
        meter.token(Time::from_ms(1_150));
        meter.token(Time::from_ms(1_500));
    });

    let labels = r#"{service="inspection",class="urgent"}"#;
    assert!(
        text.contains(&format!("cedargauge_stall_ms_sum{labels} 850")),
        "{text}"
    );
    assert!(
        text.contains(&format!("cedargauge_token_gap_ms_count{labels} 3")),
        "{text}"
    );
    assert!(
        text.contains(&format!("cedargauge_first_token_ms_sum{labels} 100")),
        "{text}"
    );
    assert!(
        text.contains(&format!("cedargauge_streams_open{labels} 0")),
        "{text}"
    );
}

#[test]
fn a_stream_without_a_token_has_no_stall() {
    let text = rendered(|| drop(meter()));

    let labels = r#"{service="inspection",class="urgent"}"#;
    assert!(
        text.contains(&format!("cedargauge_stall_ms_count{labels} 0")),
        "{text}"
    );
}

#[test]
fn refusals_are_counted_by_their_code_as_callers_see_it() {
    let text = rendered(|| {
        count_refusal(Some(&"inspection".into()), Code::LimitReached);
        count_refusal(None, Code::Unauthorized);
    });

    assert!(text.contains(r#"{service="inspection",code="limit_reached"} 1"#));
    assert!(text.contains(r#"{service="",code="unauthorized"} 1"#));
}

#[test]
fn names_carry_their_unit() {
    for metric in Metric::ALL {
        let name = metric.name();
        let counted = [
            "_total", "_open", "_offset", "_version", "_waiting", "_active", "_lapsed",
        ];

        let has_unit = name.ends_with("_ms")
            || name.ends_with("_bytes")
            || counted.iter().any(|end| name.ends_with(end));

        assert!(name.starts_with("cedargauge_") && has_unit, "{name}");
    }
}
