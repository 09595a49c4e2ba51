//! `cedargauge-demo`: the whole path in one process, to be called with curl.

use std::io::Write;
use std::process::ExitCode;

use anyhow::Context;
use argh::FromArgs;

use cedargauge::demo::Demo;
use cedargauge::shutdown::Signals;
use cedargauge::shutdown::Stopped;

/// The whole path in one process: platform, engines, a plain service and one entry host.
#[derive(FromArgs)]
struct Arguments {
    /// port for callers on 127.0.0.1, 8080 by default; 0 takes a free one
    #[argh(option, default = "8080")]
    port: u16,
}

#[actix_web::main]
async fn main() -> anyhow::Result<ExitCode> {
    let arguments: Arguments = argh::from_env();
    let signals = Signals::listen()?;
    let address = format!("127.0.0.1:{}", arguments.port);
    let demo = Demo::start(&address)
        .await
        .with_context(|| format!("cannot start on {address}; --port chooses another port"))?;
    println!("ready caller={}", demo.caller_address());
    println!("{}", demo.curl_line());
    std::io::stdout().flush()?;
    match demo.run(signals).await {
        Stopped::Drained => Ok(ExitCode::SUCCESS),
        Stopped::Forced => Ok(ExitCode::FAILURE),
    }
}
