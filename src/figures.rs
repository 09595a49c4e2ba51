//! Renders the figures of a comparison as a table: one row a metric, one column a policy.

use tabled::builder::Builder;
use tabled::settings::Alignment;
use tabled::settings::Style;
use tabled::settings::object::Columns;

use crate::compare::Comparison;
use crate::summary::Summary;

/// A row of the table.
struct Row {
    name: &'static str,
    value: fn(&Summary) -> f64,
}

const ROWS: [Row; 15] = [
    row("stall_ms_p99", |s| s.stall_ms_p99),
    row("stall_ms_total", |s| s.stall_ms_total),
    row("first_stall_ms_p99", |s| s.first_stall_ms_p99),
    row("gap_stall_ms_p99", |s| s.gap_stall_ms_p99),
    row("gap_stall_ms_total", |s| s.gap_stall_ms_total),
    row("preemptions", |s| s.preemptions as f64),
    row("token_gap_ms_p99", |s| s.token_gap_ms_p99),
    row("token_gap_ms_p999", |s| s.token_gap_ms_p999),
    row("longest_gap_ms_p99", |s| s.longest_gap_ms_p99),
    row("first_token_ms_p95", |s| s.first_token_ms_p95),
    row("goodput_tokens_per_s", |s| s.goodput_tokens_per_s),
    row("refused", |s| s.refused as f64),
    row("completed", |s| s.completed as f64),
    row("failed", |s| s.failed as f64),
    row("incomplete", |s| s.incomplete as f64),
];

const fn row(name: &'static str, value: fn(&Summary) -> f64) -> Row {
    Row { name, value }
}

/// The table as text.
pub fn render(comparison: &Comparison) -> String {
    let mut builder = Builder::default();
    let policies = comparison.policies.keys().cloned();
    builder.push_record(std::iter::once("metric".to_owned()).chain(policies));
    for row in &ROWS {
        let values = comparison.policies.values();
        let cells = values.map(|summary| format!("{:.1}", (row.value)(summary)));
        builder.push_record(std::iter::once(row.name.to_owned()).chain(cells));
    }
    for service in services(comparison) {
        let cells = comparison.policies.values().map(|summary| {
            let percent = summary.memory_percent.get(&service);
            percent.map_or("-".to_owned(), |percent| format!("{percent:.1}"))
        });
        builder.push_record(std::iter::once(format!("memory_percent.{service}")).chain(cells));
    }
    let mut table = builder.build();
    table
        .with(Style::blank())
        .modify(Columns::new(1..), Alignment::right());
    table.to_string()
}

fn services(comparison: &Comparison) -> Vec<String> {
    let first = comparison.policies.values().next();
    first.map_or(Vec::new(), |summary| {
        summary.memory_percent.keys().cloned().collect()
    })
}
