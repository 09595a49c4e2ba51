//! Runs the scenarios in `tests/scenarios/limits`: shared limits over a fake network.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write;
use std::time::Duration;

use fleet::Fleet;
use fleet::Load;
use goldenscript::Command;
use goldenscript::Context;
use goldenscript::Runner;

use cedargauge::id::HostId;
use cedargauge::row::CustomerRow;

mod fleet;

/// A command of a scenario.
#[derive(Command)]
enum Step {
    /// Starts hosts h1, h2 and so on, with a seed.
    Hosts {
        count: usize,
        #[arg(key)]
        seed: u64,
    },
    /// A customer whose callers ask each host for so many requests a second; one generation a
    /// request.
    Load {
        customer: String,
        #[arg(key)]
        requests_per_s: u32,
        #[arg(key)]
        generations: u32,
        #[arg(key)]
        hold_ms: u64,
        /// Requests a second at h1, h2 and so on, separated by commas.
        #[arg(key)]
        offered: String,
    },
    /// Time passes; tells what is used of each limit.
    Run { ms: u64 },
    /// Cuts a host off from the others, but not from its callers.
    Cut { host: String },
    /// Connects it again.
    Heal { host: String },
    /// Ends a host.
    Kill { host: String },
    /// Names the host that lends a customer's limits.
    Owner { customer: String },
}

#[derive(Default)]
struct LimitsRunner {
    fleet: Option<Fleet>,
    rows: BTreeMap<String, CustomerRow>,
}

impl Runner for LimitsRunner {
    type Command = Step;

    fn run(&mut self, step: &Step, _: &Context) -> Result<String, Box<dyn Error>> {
        let mut output = String::new();
        if let Step::Hosts { count, seed } = step {
            self.fleet = Some(Fleet::new(*count, *seed));
            return Ok(output);
        }
        let fleet = self.fleet.as_mut().ok_or("no hosts yet")?;
        match step {
            Step::Hosts { .. } => {}
            Step::Load {
                customer,
                requests_per_s,
                generations,
                hold_ms,
                offered,
            } => {
                let row = row(customer, *requests_per_s, *generations);
                self.rows.insert(customer.clone(), row.clone());
                fleet.load(Load {
                    row,
                    requests_per_s: rates(offered)?,
                    hold: Duration::from_millis(*hold_ms),
                    tokens: 1,
                });
            }
            Step::Run { ms } => tell(&mut output, fleet, &self.rows, *ms)?,
            Step::Cut { host } => fleet.cut(&HostId::new(host.as_str())),
            Step::Heal { host } => fleet.heal(&HostId::new(host.as_str())),
            Step::Kill { host } => fleet.kill(&HostId::new(host.as_str())),
            Step::Owner { customer } => {
                let owner = fleet.owner(&customer.as_str().into());
                writeln!(output, "{owner}")?;
            }
        }
        Ok(output)
    }
}

fn row(customer: &str, requests_per_s: u32, generations: u32) -> CustomerRow {
    CustomerRow {
        customer: customer.into(),
        key_sha256: Vec::new(),
        weight: 1,
        classes: Vec::new(),
        requests_per_s,
        tokens_per_s: 1_000_000,
        concurrent_generations: generations,
        queue_length: 64,
    }
}

fn rates(offered: &str) -> Result<BTreeMap<HostId, f64>, Box<dyn Error>> {
    let mut rates = BTreeMap::new();
    for (index, rate) in offered.split(',').enumerate() {
        rates.insert(HostId::new(format!("h{}", index + 1)), rate.parse()?);
    }
    Ok(rates)
}

fn tell(
    output: &mut String,
    fleet: &mut Fleet,
    rows: &BTreeMap<String, CustomerRow>,
    ms: u64,
) -> Result<(), Box<dyn Error>> {
    for (customer, measured) in fleet.run(Duration::from_millis(ms)) {
        let Some(row) = rows.get(customer.as_str()) else {
            continue;
        };
        let limit = f64::from(row.requests_per_s) * ms as f64 / 1_000.0;
        let percent = measured.admitted as f64 / limit * 100.0;
        writeln!(
            output,
            "{customer} requests={percent:.0}% of the limit, generations at most {} of {}",
            measured.running_max, row.concurrent_generations
        )?;
    }
    Ok(())
}

#[test]
fn one_host_cut_off() -> Result<(), Box<dyn Error>> {
    goldenscript::run(
        &mut LimitsRunner::default(),
        "tests/scenarios/limits/one_host_cut_off",
    )?;
    Ok(())
}

#[test]
fn owner_killed() -> Result<(), Box<dyn Error>> {
    goldenscript::run(
        &mut LimitsRunner::default(),
        "tests/scenarios/limits/owner_killed",
    )?;
    Ok(())
}
