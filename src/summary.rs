//! Figures of a replay under one policy, whole and by service, class and customer.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::observe::Fate;
use crate::observe::Recorder;
use crate::observe::RequestRecord;
use crate::observe::gap_histogram;
use crate::synth::FLOODER;

/// What a replay measured under one policy.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// 99th percentile over requests of the stall time, in milliseconds.
    pub stall_ms_p99: f64,
    /// Stall time of all requests, in milliseconds.
    pub stall_ms_total: f64,
    /// Preemptions by engines.
    pub preemptions: u64,
    /// 99th percentile over all gaps between two tokens, in milliseconds.
    pub token_gap_ms_p99: f64,
    /// 99.9th percentile over all gaps between two tokens, in milliseconds.
    pub token_gap_ms_p999: f64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_token_ms_p95: f64,
    /// Tokens a second of completed requests, while requests arrived.
    pub goodput_tokens_per_s: f64,
    /// Requests refused; none of them ran.
    pub refused: u64,
    /// Requests whose whole answer came.
    pub completed: u64,
    /// Requests whose upstream was lost while they ran.
    pub failed: u64,
    /// Requests that had not ended when the replay stopped.
    pub incomplete: u64,
    /// Requests moved to another engine before their first token.
    pub relocations: u64,
    /// 99th percentile of the part of the stall before the first token, in milliseconds.
    pub first_stall_ms_p99: f64,
    /// 99th percentile of the part of the stall after the first token, in milliseconds.
    pub gap_stall_ms_p99: f64,
    /// Part of the stall after the first token, of all requests, in milliseconds.
    pub gap_stall_ms_total: f64,
    /// 99th percentile over requests of the longest gap between two tokens, in milliseconds.
    pub longest_gap_ms_p99: f64,
    /// 99th percentile of the stall time of all customers but the one that floods, in
    /// milliseconds.
    pub others_stall_ms_p99: f64,
    /// 99th percentile of the time from arrival to refusal, in milliseconds.
    pub refusal_ms_p99: f64,
    /// Mean share of memory in use while requests arrived, in percent, by service.
    pub memory_percent: BTreeMap<String, f64>,
    /// The same by service.
    pub by_service: BTreeMap<String, GroupSummary>,
    /// The same by priority class.
    pub by_class: BTreeMap<String, GroupSummary>,
    /// The same by customer.
    pub by_customer: BTreeMap<String, GroupSummary>,
}

/// Figures of a group of requests.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct GroupSummary {
    /// 99th percentile over requests of the stall time, in milliseconds.
    pub stall_ms_p99: f64,
    /// Stall time of all requests, in milliseconds.
    pub stall_ms_total: f64,
    /// 99th percentile of the part of the stall after the first token, in milliseconds.
    pub gap_stall_ms_p99: f64,
    /// Preemptions by engines.
    pub preemptions: u64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_token_ms_p95: f64,
    /// Tokens a second of completed requests, while requests arrived.
    pub goodput_tokens_per_s: f64,
    /// Requests that arrived.
    pub requests: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests whose whole answer came.
    pub completed: u64,
    /// Requests whose upstream was lost while they ran.
    pub failed: u64,
    /// Requests that had not ended when the replay stopped.
    pub incomplete: u64,
}

impl Summary {
    /// Sums a record up.
    pub fn of(recorder: &Recorder) -> Self {
        let records: Vec<&RequestRecord> = recorder.requests.iter().collect();
        let whole = GroupSummary::of(&records, recorder);
        let gaps = all_gaps(recorder);
        Summary {
            stall_ms_p99: whole.stall_ms_p99,
            stall_ms_total: whole.stall_ms_total,
            preemptions: whole.preemptions,
            token_gap_ms_p99: gap_ms(&gaps, 0.99),
            token_gap_ms_p999: gap_ms(&gaps, 0.999),
            first_token_ms_p95: whole.first_token_ms_p95,
            goodput_tokens_per_s: whole.goodput_tokens_per_s,
            refused: whole.refused,
            completed: whole.completed,
            failed: whole.failed,
            incomplete: whole.incomplete,
            relocations: records.iter().map(|r| u64::from(r.relocations)).sum(),
            first_stall_ms_p99: percentile_ms(&records, 0.99, |r| Some(r.first_stall_us)),
            gap_stall_ms_p99: whole.gap_stall_ms_p99,
            gap_stall_ms_total: total_ms(&records, |r| r.gap_stall_us),
            longest_gap_ms_p99: percentile_ms(&records, 0.99, |r| Some(r.longest_gap_us)),
            others_stall_ms_p99: percentile_ms(&records, 0.99, others_stall_us),
            refusal_ms_p99: percentile_ms(&records, 0.99, refusal_us),
            memory_percent: recorder
                .memory_share
                .iter()
                .map(|(service, share)| (service.to_string(), share * 100.0))
                .collect(),
            by_service: grouped(recorder, |record| record.service.to_string()),
            by_class: grouped(recorder, |record| record.class.to_string()),
            by_customer: grouped(recorder, |record| record.customer.to_string()),
        }
    }
}

impl GroupSummary {
    fn of(records: &[&RequestRecord], recorder: &Recorder) -> Self {
        let window_s = recorder.window_end.as_ms() as f64 / 1e3;
        let completed = records.iter().filter(|r| r.fate == Fate::Completed);
        let good_tokens: u64 = completed.map(|r| r.tokens_in_window).sum();
        GroupSummary {
            stall_ms_p99: percentile_ms(records, 0.99, |r| Some(r.stall_us())),
            stall_ms_total: total_ms(records, RequestRecord::stall_us),
            gap_stall_ms_p99: percentile_ms(records, 0.99, |r| Some(r.gap_stall_us)),
            preemptions: records.iter().map(|r| u64::from(r.preemptions)).sum(),
            first_token_ms_p95: percentile_ms(records, 0.95, first_token_us),
            goodput_tokens_per_s: good_tokens as f64 / window_s,
            requests: records.len() as u64,
            refused: count(records, Fate::Refused),
            completed: count(records, Fate::Completed),
            failed: count(records, Fate::Failed),
            incomplete: count(records, Fate::Incomplete),
        }
    }
}

fn grouped(
    recorder: &Recorder,
    key: impl Fn(&RequestRecord) -> String,
) -> BTreeMap<String, GroupSummary> {
    let mut groups: BTreeMap<String, Vec<&RequestRecord>> = BTreeMap::new();
    for record in &recorder.requests {
        groups.entry(key(record)).or_default().push(record);
    }
    groups
        .into_iter()
        .map(|(name, records)| (name, GroupSummary::of(&records, recorder)))
        .collect()
}

fn all_gaps(recorder: &Recorder) -> Histogram<u64> {
    let mut all = gap_histogram();
    for (_, gaps) in &recorder.gaps {
        all += gaps;
    }
    all
}

fn gap_ms(gaps: &Histogram<u64>, quantile: f64) -> f64 {
    gaps.value_at_quantile(quantile) as f64 / 1e3
}

fn first_token_us(record: &RequestRecord) -> Option<u64> {
    let first = record.first_token?;
    Some(first.as_us().saturating_sub(record.arrived.as_us()))
}

fn refusal_us(record: &RequestRecord) -> Option<u64> {
    let waited_us = record.last_seen.as_us() - record.arrived.as_us();
    (record.fate == Fate::Refused).then_some(waited_us)
}

fn others_stall_us(record: &RequestRecord) -> Option<u64> {
    (record.customer.as_str() != FLOODER).then(|| record.stall_us())
}

fn count(records: &[&RequestRecord], fate: Fate) -> u64 {
    records.iter().filter(|record| record.fate == fate).count() as u64
}

fn total_ms(records: &[&RequestRecord], value_us: impl Fn(&RequestRecord) -> u64) -> f64 {
    let total_us: u64 = records.iter().map(|record| value_us(record)).sum();
    total_us as f64 / 1e3
}

/// The smallest value that a share `quantile` of the values doesn't exceed; 0 if there is none.
fn percentile_ms(
    records: &[&RequestRecord],
    quantile: f64,
    value_us: impl Fn(&RequestRecord) -> Option<u64>,
) -> f64 {
    let mut values: Vec<u64> = records.iter().filter_map(|r| value_us(r)).collect();
    values.sort_unstable();
    let rank = (values.len() as f64 * quantile).ceil() as usize;
    let value_us = values.get(rank.saturating_sub(1)).copied();
    value_us.unwrap_or(0) as f64 / 1e3
}

#[cfg(test)]
mod tests;
