//! `cedargauge-entry`: serves callers, decides, relays, talks to the other entry hosts.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use simplelog::ColorChoice;
use simplelog::Config;
use simplelog::LevelFilter;
use simplelog::TermLogger;
use simplelog::TerminalMode;

use cedargauge::check;
use cedargauge::controller::EntryHost;
use cedargauge::settings::EntrySettings;
use cedargauge::shutdown::Signals;
use cedargauge::shutdown::Stopped;

/// Entry host of cedargauge: serves callers and relays from upstreams.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// settings file, JSON
    #[argh(option)]
    settings: PathBuf,

    /// log level: off, error, warn, info, debug or trace; default info
    #[argh(option, default = "LevelFilter::Info")]
    log_level: LevelFilter,
}

fn main() -> anyhow::Result<ExitCode> {
    let arguments: Arguments = argh::from_env();
    TermLogger::init(
        arguments.log_level,
        Config::default(),
        TerminalMode::Stderr,
        ColorChoice::Auto,
    )?;
    let settings = check::read_entry(&arguments.settings)?;
    actix_rt::System::new().block_on(run(settings))
}

async fn run(settings: EntrySettings) -> anyhow::Result<ExitCode> {
    let signals = Signals::listen()?;
    let host = EntryHost::start(settings).await?;
    println!(
        "ready caller={} peer={}",
        host.caller_address(),
        host.peer_address()
    );
    match host.run(signals).await {
        Stopped::Drained => Ok(ExitCode::SUCCESS),
        Stopped::Forced => Ok(ExitCode::FAILURE),
    }
}
