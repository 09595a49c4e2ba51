//! `cedargauge-admin`: the administration API over the table.

use std::path::PathBuf;

use argh::FromArgs;
use simplelog::ColorChoice;
use simplelog::Config;
use simplelog::LevelFilter;
use simplelog::TermLogger;
use simplelog::TerminalMode;

use cedargauge::admin::Admin;
use cedargauge::admin::AdminSettings;
use cedargauge::settings;

/// Administration API of cedargauge: reads and edits the table of weights and limits.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// settings file, JSON
    #[argh(option)]
    settings: PathBuf,

    /// log level: off, error, warn, info, debug or trace; default info
    #[argh(option, default = "LevelFilter::Info")]
    log_level: LevelFilter,
}

fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    TermLogger::init(
        arguments.log_level,
        Config::default(),
        TerminalMode::Stderr,
        ColorChoice::Auto,
    )?;
    let settings: AdminSettings = settings::read(&arguments.settings)?;
    actix_rt::System::new().block_on(run(settings))
}

async fn run(settings: AdminSettings) -> anyhow::Result<()> {
    let admin = Admin::start(settings)?;
    println!("ready address={}", admin.address);
    Ok(admin.run().await?)
}
