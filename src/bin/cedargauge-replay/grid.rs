//! `cedargauge-replay grid`.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use argh::FromArgs;
use indicatif::ProgressBar;

use cedargauge::compare::PolicyName;
use cedargauge::grid;
use cedargauge::grid::GridOptions;
use cedargauge::preset::Preset;

/// Compare policies over presets, loads and seeds; prints Markdown tables.
#[derive(FromArgs)]
#[argh(subcommand, name = "grid")]
pub(crate) struct Arguments {
    /// workload; may be given more than once
    #[argh(option)]
    preset: Vec<Preset>,
    /// shares of the engines' memory-time, with commas between; 0.7,0.95,1.2 by default
    #[argh(option, default = "Loads(vec![0.7, 0.95, 1.2])", from_str_fn(loads))]
    loads: Loads,
    /// seeds 1 to this; 5 by default
    #[argh(option, default = "5")]
    seeds: u64,
    /// requests arrive for this long, in minutes; 20 by default
    #[argh(option, default = "20.0")]
    minutes: f64,
    /// file of faults, in JSON
    #[argh(option)]
    faults: Option<PathBuf>,
    /// load that one more customer adds in the middle third; none by default
    #[argh(option, default = "0.0")]
    flood: f64,
    /// file of the scheduler's options, in JSON
    #[argh(option)]
    scheduler: Option<PathBuf>,
}

struct Loads(Vec<f64>);

pub(crate) fn run(arguments: &Arguments) -> Result<ExitCode> {
    let options = GridOptions {
        presets: arguments.preset.clone(),
        loads: arguments.loads.0.clone(),
        seeds: arguments.seeds,
        duration_ms: (arguments.minutes * 60_000.0) as u64,
        faults: crate::read_or_default(arguments.faults.as_deref())?,
        flood: arguments.flood,
        scheduler: crate::read_or_default(arguments.scheduler.as_deref())?,
        ..GridOptions::default()
    };
    let runs = options.presets.len() * options.loads.len() * options.seeds as usize;
    let bar = ProgressBar::new(runs as u64);
    let cells = grid::run(&options, || bar.inc(1));
    bar.finish_and_clear();
    println!(
        "Medians over {} seeds:\n\n{}",
        options.seeds,
        grid::medians(&cells)
    );
    for to in [PolicyName::LeastRequests, PolicyName::Oracle] {
        let ratios = grid::ratios(&cells, PolicyName::Cedargauge, to);
        println!("Ratio of cedargauge to {to}, median (lowest–highest):\n\n{ratios}");
    }
    println!("{}", grid::shares(&cells));
    Ok(ExitCode::SUCCESS)
}

fn loads(text: &str) -> Result<Loads, String> {
    let loads = text.split(',').map(|load| load.trim().parse::<f64>());
    let loads: Result<Vec<f64>, _> = loads.collect();
    loads.map(Loads).map_err(|error| error.to_string())
}
