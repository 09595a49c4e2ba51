//! Runs the scenarios in `tests/scenarios/claims`: several claimants over one fake log.

use std::error::Error;
use std::fs;

use claimworld::Fate;
use claimworld::Happened;
use claimworld::What;
use claimworld::World;
use goldenscript::Command;
use goldenscript::Context;
use goldenscript::Runner;

use cedargauge::claim::ClaimEnd;
use cedargauge::claim::ClaimRecord;
use cedargauge::claim::Summary;
use cedargauge::claimstep::ClaimAnswer;
use cedargauge::claimstep::Input;
use cedargauge::id::ClaimId;
use cedargauge::platform::ReadAnswer;
use cedargauge::platform::Record;

mod claimworld;

const DEADLINE_MS: u64 = 60_000;

/// A command of a scenario.
#[derive(Command)]
enum Step {
    /// Starts a host, or starts it anew with nothing remembered.
    Start {
        host: String,
        #[arg(key, optional)]
        clock_offset_ms: i64,
    },
    /// Makes a key; a negative age is a key from the future.
    Key {
        key: String,
        #[arg(key, optional)]
        age_ms: i64,
    },
    /// A caller asks a host.
    Ask { host: String, key: String },
    /// What becomes of a host's append: settled, refused, answer-lost, dropped, late or doubled.
    Append { host: String, fate: String },
    /// The log can no longer be read by who appends.
    Down,
    /// It can again.
    Up,
    /// A late append of a host arrives.
    Arrive { host: String },
    /// A host reads to the head.
    Read { host: String },
    /// A host sends a read whose answer is late.
    SendRead { host: String },
    /// The late answer of a host's read arrives; it can arrive more than once.
    AnswerRead { host: String },
    /// The request under a claim is written to an upstream.
    Dispatch { claim: String },
    /// The request under a claim ended: done, failed or released.
    End { claim: String, end: String },
    /// Time passes, at a paused host unnoticed.
    Advance {
        ms: u64,
        #[arg(key)]
        paused: Option<String>,
    },
    /// Retention drops the records before an offset.
    Retain { first: usize },
    /// Prints the log.
    Log,
    /// Prints how often a key ran.
    Runs { key: String },
}

struct Scenario {
    world: World,
    late_read: Option<ReadAnswer>,
}

impl Runner for Scenario {
    type Command = Step;

    fn run(&mut self, step: &Step, _: &Context) -> Result<String, Box<dyn Error>> {
        let world = &mut self.world;
        let happened = match step {
            Step::Start {
                host,
                clock_offset_ms,
            } => {
                world.start(host, *clock_offset_ms);
                Vec::new()
            }
            Step::Key { key, age_ms } => {
                world.make_key(key, *age_ms);
                Vec::new()
            }
            Step::Ask { host, key } => world.ask(host, key, DEADLINE_MS).1,
            Step::Append { host, fate } => world.append(host, fate_named(fate)?),
            Step::Down => {
                world.log_is_up = false;
                Vec::new()
            }
            Step::Up => {
                world.log_is_up = true;
                Vec::new()
            }
            Step::Arrive { host } => {
                world.arrive(host);
                Vec::new()
            }
            Step::Read { host } => world.read(host),
            Step::SendRead { host } => {
                self.late_read = Some(world.read_answer(host));
                Vec::new()
            }
            Step::AnswerRead { host } => {
                let read = self.late_read.clone().ok_or("no read was sent")?;
                world.step(host, Input::Read(read))
            }
            Step::Dispatch { claim } => {
                world.dispatch(claim_named(claim)?);
                Vec::new()
            }
            Step::End { claim, end } => world.conclude(claim_named(claim)?, end_named(end)?),
            Step::Advance { ms, paused } => world.advance_but(*ms, paused.as_deref()),
            Step::Retain { first } => {
                world.first_retained = *first;
                Vec::new()
            }
            Step::Log => return Ok(world.log.iter().map(log_line).collect()),
            Step::Runs { key } => return Ok(format!("{key} ran {} times", world.runs(key))),
        };
        Ok(happened.iter().map(happened_line).collect())
    }
}

fn fate_named(name: &str) -> Result<Fate, String> {
    match name {
        "settled" => Ok(Fate::Settled),
        "refused" => Ok(Fate::Refused),
        "answer-lost" => Ok(Fate::AnswerLost),
        "dropped" => Ok(Fate::Dropped),
        "late" => Ok(Fate::Late),
        "doubled" => Ok(Fate::Doubled),
        _ => Err(format!("no such fate: {name}")),
    }
}

fn end_named(name: &str) -> Result<ClaimEnd, String> {
    match name {
        "done" => Ok(ClaimEnd::Done(Summary {
            status: 200,
            output_tokens: 12,
            body_bytes: 96,
        })),
        "failed" => Ok(ClaimEnd::Failed),
        "released" => Ok(ClaimEnd::Released),
        _ => Err(format!("no such end: {name}")),
    }
}

fn claim_named(name: &str) -> Result<ClaimId, Box<dyn Error>> {
    Ok(ClaimId::from_u128(name.trim_start_matches('c').parse()?))
}

fn claim_name(claim: ClaimId) -> String {
    format!("c{}", claim.0.as_u128())
}

fn happened_line(happened: &Happened) -> String {
    let host = &happened.host;
    match &happened.what {
        What::Appends(records) => {
            let records = records.iter().map(|data| record_text(data));
            let records = records.collect::<Vec<_>>().join(", ");
            format!("{host} appends: {records}\n")
        }
        What::Answers(claim, answer) => {
            let claim = claim_name(*claim);
            format!("{host} answers {claim}: {}\n", answer_text(answer))
        }
        What::Notes(code, offset) => {
            format!(
                "{host} notes {} {} at {offset}\n",
                code.number(),
                code.name()
            )
        }
    }
}

fn answer_text(answer: &ClaimAnswer) -> String {
    match answer {
        ClaimAnswer::Won => "won, may run once".to_owned(),
        ClaimAnswer::Lost(holding) => {
            let refusal = holding.refusal();
            format!(
                "{:?}, ran {:?}: {}",
                refusal.code, refusal.ran, refusal.message
            )
        }
        ClaimAnswer::Refused(refusal) => {
            format!(
                "{:?}, ran {:?}: {}",
                refusal.code, refusal.ran, refusal.message
            )
        }
    }
}

fn log_line(record: &Record) -> String {
    format!("{} {}\n", record.offset, record_text(&record.data))
}

fn record_text(data: &str) -> String {
    match serde_json::from_str(data) {
        Ok(ClaimRecord::Claim { claim, host, .. }) => format!("{} by {host}", claim_name(claim)),
        Ok(ClaimRecord::Outcome { claim, end, .. }) => {
            let end = match end {
                ClaimEnd::Done(_) => "done",
                ClaimEnd::Failed => "failed",
                ClaimEnd::Released => "released",
            };
            format!("{} {end}", claim_name(claim))
        }
        Ok(ClaimRecord::Mark { .. }) => "mark".to_owned(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn every_scenario_plays_as_written() {
    let files = fs::read_dir("tests/scenarios/claims").unwrap();
    let mut paths = files.map(|file| file.unwrap().path()).collect::<Vec<_>>();
    paths.sort();
    assert!(!paths.is_empty());

    for path in paths {
        let mut scenario = Scenario {
            world: World::new(),
            late_read: None,
        };

        goldenscript::run(&mut scenario, &path)
            .unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    }
}
