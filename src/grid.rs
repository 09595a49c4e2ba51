//! Compares policies over presets, loads and seeds, and prints the figures as Markdown.

use std::collections::BTreeMap;

use derive_builder::Builder;

use crate::compare::Comparison;
use crate::compare::PolicyName;
use crate::compare::compare;
use crate::faultscript::Faults;
use crate::preset::Preset;
use crate::scheduler::SchedulerOptions;
use crate::synth::Amount;
use crate::synth::add_flood;
use crate::synth::synthesise;

/// What is compared.
#[derive(Debug, Clone, Builder)]
#[builder(default)]
pub struct GridOptions {
    /// Workloads.
    pub presets: Vec<Preset>,
    /// Shares of the engines' memory-time that requests need.
    pub loads: Vec<f64>,
    /// Seeds 1 to this. Default 5.
    pub seeds: u64,
    /// Requests arrive for this long, in milliseconds. Default 20 minutes.
    pub duration_ms: u64,
    /// What goes wrong.
    pub faults: Faults,
    /// Load that one more customer adds in the middle third. Default 0.
    pub flood: f64,
    /// Policies to compare.
    pub policies: Vec<PolicyName>,
    /// Options of the scheduler.
    pub scheduler: SchedulerOptions,
}

impl Default for GridOptions {
    fn default() -> Self {
        GridOptions {
            presets: Vec::new(),
            loads: vec![0.7, 0.95, 1.2],
            seeds: 5,
            duration_ms: 1_200_000,
            faults: Faults::default(),
            flood: 0.0,
            policies: PolicyName::ALL.to_vec(),
            scheduler: SchedulerOptions::default(),
        }
    }
}

/// All seeds of one preset at one load.
#[derive(Debug, Clone)]
pub struct Cell {
    /// The preset's name.
    pub preset: String,
    /// The load.
    pub load: f64,
    /// One comparison a seed.
    pub comparisons: Vec<Comparison>,
}

/// A column: a metric by its name in JSON, with the divisor of its unit.
struct Column {
    title: &'static str,
    metric: &'static str,
    divisor: f64,
    decimals: usize,
}

const COLUMNS: [Column; 13] = [
    column("preemptions", "preemptions", 1.0, 0),
    column("stall p99 s", "stall_ms_p99", 1e3, 2),
    column("stall total s", "stall_ms_total", 1e3, 0),
    column("stall after first token p99 s", "gap_stall_ms_p99", 1e3, 2),
    column("gap p99 ms", "token_gap_ms_p99", 1.0, 1),
    column("gap p99.9 ms", "token_gap_ms_p999", 1.0, 1),
    column("longest gap p99 ms", "longest_gap_ms_p99", 1.0, 0),
    column("first token p95 s", "first_token_ms_p95", 1e3, 2),
    column("goodput tokens/s", "goodput_tokens_per_s", 1.0, 0),
    column("refused", "refused", 1.0, 0),
    column("failed", "failed", 1.0, 0),
    column("urgent stall p99 s", "by_class.urgent.stall_ms_p99", 1e3, 2),
    column(
        "stall p99 s but the flooder's",
        "others_stall_ms_p99",
        1e3,
        2,
    ),
];

const fn column(
    title: &'static str,
    metric: &'static str,
    divisor: f64,
    decimals: usize,
) -> Column {
    Column {
        title,
        metric,
        divisor,
        decimals,
    }
}

/// Runs the whole grid; `done` is called after each comparison.
pub fn run(options: &GridOptions, done: impl Fn()) -> Vec<Cell> {
    let mut cells = Vec::new();
    for preset in &options.presets {
        for load in &options.loads {
            let comparisons = (1..=options.seeds).map(|seed| {
                let comparison = compare_one(options, preset, *load, seed);
                done();
                comparison
            });
            cells.push(Cell {
                preset: preset.name.clone(),
                load: *load,
                comparisons: comparisons.collect(),
            });
        }
    }
    cells
}

fn compare_one(options: &GridOptions, preset: &Preset, load: f64, seed: u64) -> Comparison {
    let mut trace = synthesise(preset, seed, Amount::Load(load), options.duration_ms);
    if options.flood > 0.0 {
        add_flood(&mut trace, preset, options.flood);
    }
    compare(
        &trace,
        &options.policies,
        &options.faults,
        &options.scheduler,
    )
}

/// Medians over seeds as a Markdown table: one row a preset, load and policy.
pub fn medians(cells: &[Cell]) -> String {
    let mut text = header();
    for cell in cells {
        for policy in policies(cell) {
            let values = COLUMNS.iter().map(|column| {
                let values = values(cell, &policy, column.metric);
                let median = median(values) / column.divisor;
                format!("{median:.*}", column.decimals)
            });
            let values: Vec<String> = values.collect();
            text += &format!(
                "| {} | {} | {policy} | {} |\n",
                cell.preset,
                cell.load,
                values.join(" | ")
            );
        }
    }
    text
}

/// Medians over seeds of `policy`'s ratio to another policy on the same trace, lowest and highest
/// in brackets.
pub fn ratios(cells: &[Cell], policy: PolicyName, to: PolicyName) -> String {
    let metrics = [
        "preemptions",
        "stall_ms_p99",
        "stall_ms_total",
        "token_gap_ms_p99",
        "longest_gap_ms_p99",
        "goodput_tokens_per_s",
    ];
    let mut text = format!("| preset | load | {} |\n", metrics.join(" | "));
    text += &format!("|---|---|{}\n", "---|".repeat(metrics.len()));
    for cell in cells {
        let ratios = metrics.map(|metric| {
            let own = values(cell, policy.as_str(), metric);
            let other = values(cell, to.as_str(), metric);
            let mut ratios: Vec<f64> = own.iter().zip(&other).map(|(a, b)| a / b).collect();
            ratios.sort_by(f64::total_cmp);
            match (ratios.first(), ratios.last()) {
                (Some(low), Some(high)) => {
                    format!("{:.3} ({low:.3}–{high:.3})", median(ratios.clone()))
                }
                _ => "-".to_owned(),
            }
        });
        text += &format!(
            "| {} | {} | {} |\n",
            cell.preset,
            cell.load,
            ratios.join(" | ")
        );
    }
    text
}

/// Where every customer waited: shares of the tokens by customer, as a Markdown table.
pub fn shares(cells: &[Cell]) -> String {
    let mut text = String::new();
    for cell in cells {
        for (seed, comparison) in (1..).zip(&cell.comparisons) {
            for (policy, fairness) in &comparison.fairness {
                let shares: Vec<String> = fairness
                    .share_percent
                    .iter()
                    .map(|(customer, percent)| format!("{customer} {percent:.2}%"))
                    .collect();
                text += &format!(
                    "| {} | {} | {seed} | {policy} | {} | {:.2} | {:.2} | {} |\n",
                    cell.preset,
                    cell.load,
                    fairness.windows,
                    fairness.worst_error_percent,
                    fairness.mean_error_percent,
                    shares.join(", ")
                );
            }
        }
    }
    let header = "| preset | load | seed | policy | windows | worst error % | mean error % | shares |\n|---|---|---|---|---|---|---|---|\n";
    match text.is_empty() {
        true => text,
        false => format!("{header}{text}"),
    }
}

fn header() -> String {
    let titles: Vec<&str> = COLUMNS.iter().map(|column| column.title).collect();
    let rule = "---|".repeat(COLUMNS.len() + 3);
    format!(
        "| preset | load | policy | {} |\n|{rule}\n",
        titles.join(" | ")
    )
}

fn policies(cell: &Cell) -> Vec<String> {
    let first = cell.comparisons.first();
    let policies: Option<&BTreeMap<_, _>> = first.map(|comparison| &comparison.policies);
    policies.map_or(Vec::new(), |policies| policies.keys().cloned().collect())
}

fn values(cell: &Cell, policy: &str, metric: &str) -> Vec<f64> {
    cell.comparisons
        .iter()
        .filter_map(|comparison| comparison.metric(policy, metric))
        .collect()
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

#[cfg(test)]
mod tests;
