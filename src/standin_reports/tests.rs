use super::Reports;
use crate::clock::Time;
use crate::standin_engine::EngineOptions;
use crate::standin_engine::EngineOptionsBuilder;
use crate::wire::CacheEvent;
use crate::wire::LoadReport;

fn options() -> EngineOptionsBuilder {
    EngineOptionsBuilder::default()
}

fn report(waiting: u32) -> LoadReport {
    LoadReport {
        waiting,
        ..LoadReport::default()
    }
}

fn stored(sequences: std::ops::Range<u64>) -> Vec<CacheEvent> {
    sequences
        .map(|sequence| CacheEvent {
            sequence,
            prefix_hash: sequence,
            stored: true,
        })
        .collect()
}

fn reports(options: &EngineOptions) -> Reports {
    Reports::new(options)
}

#[test]
fn a_report_lags_and_tells_its_age() {
    let mut reports = reports(&options().report_lag_ms(1_000_u64).build().unwrap());
    for second in 0..3 {
        reports.push(Time::from_ms(second * 1_000), report(second as u32), vec![]);
    }

    let seen = reports.report(Time::from_ms(2_500)).unwrap();

    assert_eq!((seen.waiting, seen.age_ms), (1, 1_500));
}

#[test]
fn cache_events_appear_late_and_continue_where_the_reader_was() {
    let mut reports = reports(&options().cache_event_delay_ms(100_u64).build().unwrap());
    reports.push(Time::ZERO, report(0), stored(0..3));
    reports.push(Time::from_ms(50), report(0), stored(3..5));

    let early = reports.cache_events(Time::from_ms(100), 0);
    let late = reports.cache_events(Time::from_ms(150), early.next_sequence);

    assert_eq!(early.events, stored(0..3));
    assert_eq!(late.events, stored(3..5));
}

#[test]
fn a_share_of_the_cache_events_is_lost() {
    let lossy = options().cache_event_loss_percent(30_u32).build().unwrap();
    let mut reports = reports(&lossy);

    reports.push(Time::ZERO, report(0), stored(0..1_000));

    let kept = reports.cache_events(Time::ZERO, 0).events.len();
    assert!((650..750).contains(&kept), "{kept}");
}
