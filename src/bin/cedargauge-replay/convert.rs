//! `cedargauge-replay convert`.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use argh::FromArgs;

use cedargauge::event::Event;
use cedargauge::id::ServiceId;
use cedargauge::model::ModelOptions;
use cedargauge::recorded;
use cedargauge::schedule::Weights;
use cedargauge::timeline::Moment;
use cedargauge::trace::Trace;
use cedargauge::trace::TraceHeader;
use cedargauge::trace::TraceService;

/// Turn a recorded time line (cedargauge-timeline --format json) into a trace.
#[derive(FromArgs)]
#[argh(subcommand, name = "convert")]
pub(crate) struct Arguments {
    /// time line, as JSON lines
    #[argh(positional)]
    timeline: PathBuf,
    /// file to write
    #[argh(option)]
    out: PathBuf,
    /// engines of each service in the trace; 4 by default
    #[argh(option, default = "4")]
    engines: u32,
    /// file with the size and speed of an engine, in JSON
    #[argh(option)]
    engine: Option<PathBuf>,
    /// file with the weights of classes and customers, in JSON
    #[argh(option)]
    weights: Option<PathBuf>,
}

pub(crate) fn run(arguments: &Arguments) -> Result<ExitCode> {
    let requests = recorded::requests(&read(arguments)?);
    ensure!(
        !requests.is_empty(),
        "{}: no request completed in it",
        arguments.timeline.display()
    );
    let engine: ModelOptions = crate::read_or_default(arguments.engine.as_deref())?;
    let weights: Weights = crate::read_or_default(arguments.weights.as_deref())?;
    let services: BTreeSet<&ServiceId> = requests.iter().map(|r| &r.service).collect();
    let services = services.into_iter().map(|service| TraceService {
        service: service.clone(),
        engines: arguments.engines,
        high_water_percent: 95,
        engine: engine.clone(),
    });
    let header = TraceHeader {
        name: arguments.timeline.display().to_string(),
        seed: 1,
        load: 0.0,
        duration_ms: requests.last().map_or(0, |request| request.at_ms) + 1,
        weights,
        services: services.collect(),
    };
    let trace = Trace {
        header,
        requests,
        outcomes: Vec::new(),
    };
    trace.write(&arguments.out)?;
    println!(
        "{}: {} requests",
        arguments.out.display(),
        trace.requests.len()
    );
    Ok(ExitCode::SUCCESS)
}

fn read(arguments: &Arguments) -> Result<Vec<(u64, Event)>> {
    let name = arguments.timeline.display().to_string();
    let file = File::open(&arguments.timeline).with_context(|| name.clone())?;
    let mut moments = Vec::new();
    for (number, line) in BufReader::new(file).lines().enumerate() {
        let place = || format!("{name}, line {}", number + 1);
        let line = line.with_context(place)?;
        let moment: Moment = serde_json::from_str(&line).with_context(place)?;
        moments.push((moment.at_ms, moment.event));
    }
    Ok(moments)
}
