//! `cedargauge-standin`: the fakes of platform, engine and plain service, each as a process.

use std::io::Write;
use std::path::PathBuf;

use anyhow::Context;
use argh::FromArgs;

use cedargauge::model::ModelOptions;
use cedargauge::settings;
use cedargauge::standin::Served;
use cedargauge::standin_engine;
use cedargauge::standin_engine::EngineOptions;
use cedargauge::standin_platform;
use cedargauge::standin_platform::PlatformOptions;
use cedargauge::standin_service;

/// A stand-in for the platform, an engine or a plain service, for tests and demos. It prints
/// `ready address=ADDRESS:PORT` once it listens and serves until it is stopped.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    standin: Standin,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Standin {
    Platform(PlatformArguments),
    Engine(EngineArguments),
    Service(ServiceArguments),
}

/// Log streams, host list and weight store, in memory.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArguments {
    /// address and port; port 0, the default, takes a free one
    #[argh(option, default = "any_port()")]
    listen: String,
    /// file with the first table, a JSON array of rows
    #[argh(option)]
    table: Option<PathBuf>,
    /// appends accepted a second; 500 by default
    #[argh(option, default = "500.0")]
    appends_per_s: f64,
    /// permits to load weights a minute; 600 by default
    #[argh(option, default = "600.0")]
    weight_permits_per_min: f64,
    /// drop records older than this, in milliseconds
    #[argh(option)]
    retention_ms: Option<u64>,
    /// keep this many records of a stream
    #[argh(option)]
    retention_records: Option<usize>,
    /// show changes of the host list this much later, in milliseconds
    #[argh(option, default = "0")]
    list_lag_ms: u64,
}

/// A model engine with continuous batching, paced by a model.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArguments {
    /// address and port; port 0, the default, takes a free one
    #[argh(option, default = "any_port()")]
    listen: String,
    /// loaded model as NAME@VERSION; by default every model is accepted
    #[argh(option, default = "String::new()")]
    model: String,
    /// memory for sequences, in tokens
    #[argh(option)]
    memory_tokens: Option<u64>,
    /// run this many times as fast as real time; 1 by default
    #[argh(option, default = "1.0")]
    speed: f64,
    /// seed of the variation of steps and of lost cache events; 1 by default
    #[argh(option, default = "1")]
    seed: u64,
    /// age of load reports, in milliseconds; 0 by default
    #[argh(option, default = "0")]
    report_lag_ms: u64,
    /// delay of cache events, in milliseconds; 0 by default
    #[argh(option, default = "0")]
    cache_event_delay_ms: u64,
    /// cache events lost, in percent; 0 by default
    #[argh(option, default = "0")]
    cache_event_loss_percent: u32,
    /// accept orders with an old fencing number
    #[argh(switch)]
    ignores_fence: bool,
    /// time to load a model, in milliseconds; 200 by default
    #[argh(option, default = "200")]
    order_load_ms: u64,
}

/// A plain HTTP service that echoes and counts.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArguments {
    /// address and port; port 0, the default, takes a free one
    #[argh(option, default = "any_port()")]
    listen: String,
}

fn any_port() -> String {
    "127.0.0.1:0".to_owned()
}

impl TryFrom<PlatformArguments> for PlatformOptions {
    type Error = cedargauge::error::Error;

    fn try_from(arguments: PlatformArguments) -> cedargauge::error::Result<Self> {
        let rows = match &arguments.table {
            Some(path) => settings::read(path)?,
            None => Vec::new(),
        };
        Ok(PlatformOptions {
            listen: arguments.listen,
            rows,
            appends_per_s: arguments.appends_per_s,
            weight_permits_per_min: arguments.weight_permits_per_min,
            retention_ms: arguments.retention_ms,
            retention_records: arguments.retention_records,
            list_lag_ms: arguments.list_lag_ms,
        })
    }
}

impl From<EngineArguments> for EngineOptions {
    fn from(arguments: EngineArguments) -> Self {
        let defaults = ModelOptions::default();
        EngineOptions {
            listen: arguments.listen,
            model: ModelOptions {
                model: arguments.model,
                memory_tokens: arguments.memory_tokens.unwrap_or(defaults.memory_tokens),
                ..defaults
            },
            speed: arguments.speed,
            seed: arguments.seed,
            report_lag_ms: arguments.report_lag_ms,
            cache_event_delay_ms: arguments.cache_event_delay_ms,
            cache_event_loss_percent: arguments.cache_event_loss_percent,
            checks_fence: !arguments.ignores_fence,
            order_load_ms: arguments.order_load_ms,
        }
    }
}

#[actix_web::main]
async fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    let served = serve(arguments.standin).context("cannot start the stand-in")?;
    println!("ready address={}", served.address);
    std::io::stdout().flush()?;
    served.server.await.context("the stand-in stopped")
}

fn serve(standin: Standin) -> cedargauge::error::Result<Served> {
    match standin {
        Standin::Platform(arguments) => standin_platform::serve(arguments.try_into()?),
        Standin::Engine(arguments) => standin_engine::serve(arguments.into()),
        Standin::Service(arguments) => standin_service::serve(&arguments.listen),
    }
}
