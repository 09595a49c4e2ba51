//! How far the tokens served to customers were from their weights while all of them waited.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::id::CustomerId;
use crate::observe::Recorder;
use crate::schedule::Weights;

/// Length of the windows over which tokens are counted, in seconds.
const WINDOW_S: usize = 60;

/// Shares of the tokens served, over all windows of 60 s in which every customer waited.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Fairness {
    /// Windows, one a second.
    pub windows: usize,
    /// Largest distance of a customer's share from its weight's, in percent of the latter.
    pub worst_error_percent: f64,
    /// Mean distance over windows and customers, in percent.
    pub mean_error_percent: f64,
    /// Share of all tokens of those windows by customer, in percent.
    pub share_percent: BTreeMap<String, f64>,
}

/// The shares of a record, or `None` if there is no window in which every customer waited.
pub fn fairness(recorder: &Recorder, weights: &Weights) -> Option<Fairness> {
    let end = (recorder.window_end.as_ms() / 1_000) as usize;
    let waited = waited_seconds(recorder, end);
    let windows: Vec<usize> = (0..end.saturating_sub(WINDOW_S))
        .filter(|from| (*from..from + WINDOW_S).all(|second| waited[second]))
        .collect();
    let customers: Vec<(&CustomerId, f64)> = recorder
        .served
        .iter()
        .map(|(customer, _)| (customer, weight(customer, weights)))
        .collect();
    let weight_sum: f64 = customers.iter().map(|(_, weight)| weight).sum();
    let mut errors = Vec::new();
    let mut totals = vec![0.0; customers.len()];
    for from in &windows {
        let tokens: Vec<f64> = (0..customers.len())
            .map(|customer| served(recorder, customer, *from))
            .collect();
        let sum: f64 = tokens.iter().sum();
        for (index, (_, weight)) in customers.iter().enumerate() {
            let due = weight / weight_sum;
            errors.push((tokens[index] / sum.max(1.0) / due - 1.0).abs() * 100.0);
            totals[index] += tokens[index];
        }
    }
    if errors.is_empty() {
        return None;
    }
    let total: f64 = totals.iter().sum();
    Some(Fairness {
        windows: windows.len(),
        worst_error_percent: errors.iter().copied().fold(0.0, f64::max),
        mean_error_percent: errors.iter().sum::<f64>() / errors.len() as f64,
        share_percent: customers
            .iter()
            .zip(&totals)
            .map(|((customer, _), tokens)| (customer.to_string(), tokens / total * 100.0))
            .collect(),
    })
}

/// For each second whether every customer had a request that waited through all of it.
fn waited_seconds(recorder: &Recorder, end: usize) -> Vec<bool> {
    let mut waited: BTreeMap<&CustomerId, Vec<bool>> = recorder
        .served
        .iter()
        .map(|(customer, _)| (customer, vec![false; end]))
        .collect();
    for record in &recorder.requests {
        let until = record.first_token.unwrap_or(record.last_seen);
        let from = record.arrived.as_ms().div_ceil(1_000) as usize;
        let until = (until.as_ms() / 1_000) as usize;
        if let Some(seconds) = waited.get_mut(&record.customer) {
            let covered = seconds.get_mut(from..until.min(end));
            covered.into_iter().for_each(|covered| covered.fill(true));
        }
    }
    (0..end)
        .map(|second| waited.values().all(|seconds| seconds[second]))
        .collect()
}

fn served(recorder: &Recorder, customer: usize, from: usize) -> f64 {
    let seconds = recorder.served[customer].1.iter();
    seconds
        .skip(from)
        .take(WINDOW_S)
        .map(|n| f64::from(*n))
        .sum()
}

fn weight(customer: &CustomerId, weights: &Weights) -> f64 {
    let mut rows = weights.customers.iter();
    let row = rows.find(|row| row.customer == *customer);
    f64::from(row.map_or(1, |row| row.weight))
}

#[cfg(test)]
mod tests;
