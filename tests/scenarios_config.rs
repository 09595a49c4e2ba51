//! Runs the scenarios of `tests/scenarios/config`: replicas, followers and appenders as pure
//! decisions against a fake log.
mod fakelog;

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write;
use std::time::Duration;

use fakelog::Answers;
use fakelog::FakeLog;
use goldenscript::ArgumentConsumer;
use goldenscript::Command;
use goldenscript::Context;
use goldenscript::Runner;

use cedargauge::appender;
use cedargauge::appender::Appender;
use cedargauge::appender::AppenderOptions;
use cedargauge::appender::Entry;
use cedargauge::clock::Time;
use cedargauge::fold::Outcome;
use cedargauge::follower;
use cedargauge::follower::Follower;
use cedargauge::follower::StreamEvent;
use cedargauge::id::EditId;
use cedargauge::id::Offset;
use cedargauge::platform::ReadAnswer;
use cedargauge::quota::Quota;
use cedargauge::record::ConfigRecord;
use cedargauge::record::Edit;
use cedargauge::record::RowEdit;
use cedargauge::record::Snapshot;
use cedargauge::replica::Action;
use cedargauge::replica::Input;
use cedargauge::replica::Replica;
use cedargauge::row::ClassRow;
use cedargauge::row::Row;
use cedargauge::snapshot::SnapshotOptions;

#[test]
fn scenarios_of_the_configuration() {
    for entry in std::fs::read_dir("tests/scenarios/config").unwrap() {
        let path = entry.unwrap().path();
        println!("{}", path.display());
        goldenscript::run(&mut World::default(), path).unwrap();
    }
}

#[derive(Default)]
struct World {
    now: Time,
    log: FakeLog,
    hosts: BTreeMap<String, Host>,
    editors: BTreeMap<String, Editor>,
    edits: u128,
}

struct Host {
    replica: Replica,
    follower: Follower,
    is_cut: bool,
}

struct Editor {
    appender: Appender,
    quota: Quota,
}

type Output = Result<String, Box<dyn Error>>;

impl Runner for World {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Output {
        let mut args = command.consume_args();
        let output = match command.name.as_str() {
            "start" => self.start(&mut args),
            "edit" => self.edit(&mut args),
            "submit" => self.submit(&mut args),
            "record" => self.append(args.next_pos().ok_or("text?")?.to_owned()),
            "snapshot" => self.snapshot(&mut args),
            "retain" => self.retain(&mut args),
            "log" => self.fault(&mut args),
            "time" => self.time(&mut args),
            "cut" => self.cut(&mut args, true),
            "heal" => self.cut(&mut args, false),
            "read" => self.read(&mut args),
            "ask" => self.ask(&mut args),
            "show" => self.show(&mut args),
            "due" => self.due(&mut args),
            name => Err(format!("no command {name}").into()),
        };
        args.reject_next()?;
        output
    }
}

impl World {
    fn start(&mut self, args: &mut ArgumentConsumer) -> Output {
        while let Some(name) = args.next_pos() {
            let host = Host {
                replica: Replica::new(SnapshotOptions {
                    retention_ms: 4_000,
                    ..SnapshotOptions::default()
                }),
                follower: Follower::new(AppenderOptions::default(), Offset(0), 1).checking_always(),
                is_cut: false,
            };
            self.hosts.insert(name.to_owned(), host);
        }
        Ok(String::new())
    }

    fn edit(&mut self, args: &mut ArgumentConsumer) -> Output {
        let text = self.edit_text(args)?;
        self.append(text)
    }

    fn submit(&mut self, args: &mut ArgumentConsumer) -> Output {
        let name = args.next_pos().ok_or("editor?")?.to_owned();
        let data = self.edit_text(args)?;
        let entry = Entry {
            id: EditId::from_u128(self.edits).0,
            data,
            expires_at: None,
        };
        self.pump(&name, appender::Input::Submit(entry))
    }

    fn edit_text(&mut self, args: &mut ArgumentConsumer) -> Output {
        let row = ClassRow {
            class: args.take_key("class").ok_or("class?")?.into(),
            weight: args.take_key("weight").ok_or("weight?")?.parse()?,
            engine_priority: 1,
            max_wait_ms: 1_000,
        };
        let base = args.take_key("base").map(str::parse).transpose()?;
        self.edits += 1;
        let edit = Edit {
            edit_id: EditId::from_u128(self.edits),
            author: args.take_key("by").unwrap_or("olga").to_owned(),
            rows: vec![RowEdit {
                base: base.map(Offset),
                row: Row::Class(row),
            }],
            deletes: Vec::new(),
        };
        Ok(ConfigRecord::Edit(edit).to_text()?)
    }

    fn append(&mut self, text: String) -> Output {
        let offset = self.log.append(self.now, text);
        Ok(format!("at {offset}\n"))
    }

    /// Appends a snapshot of a host's table, if wanted with a class's weight falsified.
    fn snapshot(&mut self, args: &mut ArgumentConsumer) -> Output {
        let name = args.next_pos().ok_or("host?")?;
        let host = self.hosts.get(name).ok_or("no such host")?;
        let table = host.replica.table().ok_or("no table")?;
        let mut snapshot = Snapshot::of(table);
        if let Some(weight) = args.take_key("lie") {
            let text = serde_json::to_string(table)?;
            let weight: u32 = weight.parse()?;
            let first = table.classes.values().next().ok_or("no class")?;
            let honest = format!("\"weight\":{}", first.row.weight);
            let lie = text.replace(&honest, &format!("\"weight\":{weight}"));
            snapshot = Snapshot::of(&serde_json::from_str(&lie)?);
        }
        self.append(ConfigRecord::Snapshot(snapshot).to_text()?)
    }

    fn retain(&mut self, args: &mut ArgumentConsumer) -> Output {
        self.log.first_retained = args.take_key("from").ok_or("from?")?.parse()?;
        Ok(String::new())
    }

    fn fault(&mut self, args: &mut ArgumentConsumer) -> Output {
        match args.next_pos().ok_or("fault?")? {
            "down" => self.log.is_down = true,
            "up" => self.log.is_down = false,
            "loses-answers" => self.log.answers = Answers::Lost,
            "appends-late" => self.log.answers = Answers::Late,
            "answers" => self.log.answers = Answers::Kept,
            "wiped" => {
                self.log.records.clear();
                self.log.first_retained = 0;
            }
            fault => return Err(format!("no fault {fault}").into()),
        }
        Ok(String::new())
    }

    /// Moves the clock and wakes the editors.
    fn time(&mut self, args: &mut ArgumentConsumer) -> Output {
        let ms: u64 = args.take_key("ms").ok_or("ms?")?.parse()?;
        self.now = Time::from_ms(ms);
        let names: Vec<_> = self.editors.keys().cloned().collect();
        let woken = names
            .iter()
            .map(|name| self.pump(name, appender::Input::Wake));
        woken.collect()
    }

    fn cut(&mut self, args: &mut ArgumentConsumer, is_cut: bool) -> Output {
        while let Some(name) = args.next_pos() {
            self.hosts.get_mut(name).ok_or("no such host")?.is_cut = is_cut;
        }
        Ok(String::new())
    }

    /// Lets hosts read until they wait for a new record or pause.
    fn read(&mut self, args: &mut ArgumentConsumer) -> Output {
        let mut output = String::new();
        while let Some(name) = args.next_pos() {
            let host = self.hosts.get_mut(name).ok_or("no such host")?;
            host.read(name, &self.log, &mut output)?;
        }
        Ok(output)
    }

    fn ask(&mut self, args: &mut ArgumentConsumer) -> Output {
        let name = args.next_pos().ok_or("host?")?;
        let from = args.take_key("from").ok_or("from?")?;
        let next = self
            .hosts
            .get(name)
            .ok_or("no such host")?
            .replica
            .next_offset();
        let tail = self
            .hosts
            .get(from)
            .ok_or("no such host")?
            .replica
            .tail(next);
        self.step(name, Input::Offer(tail))
    }

    fn step(&mut self, name: &str, input: Input) -> Output {
        let mut output = String::new();
        let host = self.hosts.get_mut(name).ok_or("no such host")?;
        for action in host.replica.step(input) {
            print_action(name, action, &mut output)?;
        }
        Ok(output)
    }

    fn show(&self, args: &mut ArgumentConsumer) -> Output {
        let mut output = String::new();
        while let Some(name) = args.next_pos() {
            let replica = &self.hosts.get(name).ok_or("no such host")?.replica;
            write!(output, "{name}: next={}", replica.next_offset())?;
            write!(
                output,
                " {}",
                if replica.is_ready() {
                    "ready"
                } else {
                    "not ready"
                }
            )?;
            for found in replica
                .table()
                .iter()
                .flat_map(|table| table.classes.values())
            {
                write!(
                    output,
                    " {}={}@{}",
                    found.row.class, found.row.weight, found.version
                )?;
            }
            if !replica.reason().is_empty() {
                write!(output, " ({})", replica.reason())?;
            }
            writeln!(output)?;
        }
        Ok(output)
    }

    fn due(&self, args: &mut ArgumentConsumer) -> Output {
        let mut output = String::new();
        while let Some(name) = args.next_pos() {
            let replica = &self.hosts.get(name).ok_or("no such host")?.replica;
            let due = match replica.snapshot_due(self.now.as_ms()) {
                Some(table) => format!("as of {}", table.next),
                None => "no snapshot due".to_owned(),
            };
            writeln!(output, "{name}: {due}")?;
        }
        Ok(output)
    }

    /// Steps an editor's appender and carries out what it wants.
    fn pump(&mut self, name: &str, input: appender::Input) -> Output {
        let editor = self
            .editors
            .entry(name.to_owned())
            .or_insert_with(Editor::new);
        let mut output = String::new();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for action in editor.appender.step(self.now, &mut editor.quota, input) {
                match action {
                    appender::Action::Append(records) => {
                        writeln!(output, "{name}: append {}", records.len())?;
                        inputs.push(self.log.take(self.now, records));
                    }
                    appender::Action::Read(from) => {
                        inputs.push(match self.log.read(from) {
                            Some(answer) => appender::Input::Read(answer),
                            None => appender::Input::ReadFailed,
                        });
                        self.log.land_late(self.now);
                    }
                    appender::Action::Wake(_) => {}
                    appender::Action::Settled(id, offset) => {
                        writeln!(output, "{name}: edit {} settled at {offset}", id.as_u128())?;
                    }
                    other => writeln!(output, "{name}: {other:?}")?,
                }
            }
        }
        Ok(output)
    }
}

impl Editor {
    fn new() -> Self {
        Editor {
            appender: Appender::new(AppenderOptions::default(), 1),
            quota: Quota::new(Time::ZERO, 100.0, 1e6, Duration::from_secs(1)),
        }
    }
}

impl Host {
    /// Reads until a long poll comes back empty or the log can't be read.
    fn read(
        &mut self,
        name: &str,
        log: &FakeLog,
        output: &mut String,
    ) -> Result<(), Box<dyn Error>> {
        let mut input = follower::Input::Wake;
        let mut is_reading = true;
        while is_reading {
            is_reading = false;
            let mut next = follower::Input::Wake;
            for action in self.follower.step(Time::ZERO, input) {
                match action {
                    follower::Action::Tell(event) => {
                        for action in self.replica.step(Input::Stream(event)) {
                            print_action(name, action, output)?;
                        }
                    }
                    follower::Action::Read { from, wait } => {
                        let answer = log.read(from).filter(|_| !self.is_cut);
                        let is_empty = answer.as_ref().is_some_and(|a| a.records.is_empty());
                        is_reading = !(wait && is_empty);
                        self.hear_empty_poll(&answer, is_reading);
                        next = answer.map_or(follower::Input::Failed, follower::Input::Read);
                    }
                    follower::Action::Wake(_) => {}
                }
            }
            input = next;
        }
        Ok(())
    }

    /// The last poll of a reading tells the replica what is retained, and nothing else.
    fn hear_empty_poll(&mut self, answer: &Option<ReadAnswer>, is_reading: bool) {
        if let Some(answer) = answer.clone().filter(|_| !is_reading) {
            self.replica.step(Input::Stream(StreamEvent::Read(answer)));
        }
    }
}

fn print_action(name: &str, action: Action, output: &mut String) -> std::fmt::Result {
    match action {
        Action::Publish => Ok(()),
        Action::Record {
            code,
            offset,
            detail,
        } => writeln!(
            output,
            "{name}: E{} {} at {offset} {detail}",
            code.number(),
            code.name()
        ),
        Action::Follow(from) => writeln!(output, "{name}: follow anew from {from}"),
        Action::Folded {
            offset, outcome, ..
        } => writeln!(output, "{name}: {offset} {}", outcome_text(&outcome)),
    }
}

fn outcome_text(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Applied(edit) => format!("applied, by {}", edit.author),
        Outcome::Rejected { edit, rejection } => {
            let conflicts = rejection.conflicts.iter().map(|conflict| {
                let version =
                    |at: Option<Offset>| at.map_or("none".to_owned(), |at| at.to_string());
                let (base, found) = (version(conflict.base), version(conflict.found));
                format!("; {} made from {base}, found {found}", conflict.row)
            });
            let faults = rejection.faults.iter().map(|fault| format!("; {fault}"));
            let reasons: String = conflicts.chain(faults).collect();
            format!("rejected, by {}{reasons}", edit.author)
        }
        Outcome::Snapshot(header) => format!("snapshot as of {}", header.as_of),
        Outcome::Skipped { .. } => "skipped".to_owned(),
    }
}
