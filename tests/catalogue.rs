//! Holds the catalogues in `docs/` and the code together, both ways.

use cedargauge::event::EventCode;
use cedargauge::telemetry::Metric;

const EVENTS: &str = include_str!("../docs/EVENTS.md");
const METRICS: &str = include_str!("../docs/METRICS.md");

/// The cells of each row of the page's tables whose first cell passes `is_entry`.
fn rows(page: &str, is_entry: impl Fn(&str) -> bool) -> Vec<Vec<String>> {
    page.lines()
        .filter_map(|line| line.strip_prefix("| ")?.strip_suffix(" |"))
        .map(|line| line.split(" | ").map(cell).collect::<Vec<String>>())
        .filter(|cells| is_entry(&cells[0]))
        .collect()
}

fn cell(text: &str) -> String {
    text.trim().trim_matches('`').to_owned()
}

#[test]
fn events_page_lists_each_event_of_the_code_and_no_other() {
    let in_code: Vec<Vec<String>> = EventCode::ALL
        .iter()
        .map(|code| {
            let number = format!("{:03}", code.number());
            vec![number, code.name().to_owned(), code.meaning().to_owned()]
        })
        .collect();

    let in_page = rows(EVENTS, |first| first.parse::<u16>().is_ok());

    assert_eq!(in_page, in_code);
}

#[test]
fn event_numbers_rise_and_are_used_once() {
    let numbers: Vec<u16> = EventCode::ALL.iter().map(|code| code.number()).collect();

    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}

#[test]
fn metrics_page_lists_each_metric_of_the_code_and_no_other() {
    let in_code: Vec<Vec<String>> = Metric::ALL
        .iter()
        .map(|metric| {
            let texts = [
                metric.name(),
                metric.kind().name(),
                metric.labels(),
                metric.meaning(),
            ];
            texts.map(str::to_owned).to_vec()
        })
        .collect();

    let in_page = rows(METRICS, |first| first.starts_with("cedargauge_"));

    assert_eq!(in_page, in_code);
}
