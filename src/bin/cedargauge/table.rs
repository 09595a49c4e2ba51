//! `cedargauge table`: reads and edits the table through the administration API.

use std::env;
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::bail;
use argh::FromArgs;

use crate::EXIT_BAD;
use crate::EXIT_NO_ANSWER;
use cedargauge::adminapi::EditRequest;
use cedargauge::adminapi::EditResult;
use cedargauge::adminclient::AdminClient;
use cedargauge::config::HistoryEntry;
use cedargauge::fold::Outcome;
use cedargauge::fold::Rejection;
use cedargauge::id::Offset;
use cedargauge::output::Cell;
use cedargauge::output::Grid;
use cedargauge::output::Tone;
use cedargauge::output::print_json;
use cedargauge::record::RowKey;
use cedargauge::sheet;

/// Address of the administration API.
const ADDRESS_VARIABLE: &str = "CEDARGAUGE_ADMIN";

/// Token of the administration API.
const TOKEN_VARIABLE: &str = "CEDARGAUGE_ADMIN_TOKEN";

/// Reads and edits the table of weights and limits.
///
/// The administration API is found by --admin or the variable CEDARGAUGE_ADMIN; the token is taken
/// from the variable CEDARGAUGE_ADMIN_TOKEN.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "table",
    example = "$ {command_name} get",
    example = "$ {command_name} set customer/anna weight 5",
    example = "Many rows as one edit:
$ {command_name} get --json > table.json; vi table.json; {command_name} edit table.json",
    error_code(1, "The edit was rejected."),
    error_code(3, "The API did not answer, or the edit's fate is not known.")
)]
pub(crate) struct Table {
    /// address and port of cedargauge-admin
    #[argh(option)]
    admin: Option<String>,

    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Get(Get),
    Set(Set),
    Edit(EditRows),
    History(History),
    InForce(InForce),
}

/// Prints the table: aligned, as CSV or as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct Get {
    /// print CSV
    #[argh(switch)]
    csv: bool,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Sets one column of one row.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
struct Set {
    /// row, as KIND/NAME
    #[argh(positional)]
    row: RowKey,

    /// column; a customer's `key` is stored hashed
    #[argh(positional)]
    column: String,

    /// value, as JSON or plain text
    #[argh(positional)]
    value: String,

    /// only tell what would come of it
    #[argh(switch)]
    dry_run: bool,
}

/// Writes and deletes many rows as one edit.
///
/// FILE holds a JSON list of rows, or an object with `rows` and `deletes`, or what `table get
/// --json` printed; rows with a version are refused if they were changed since.
#[derive(FromArgs)]
#[argh(subcommand, name = "edit")]
struct EditRows {
    /// file of rows
    #[argh(positional)]
    file: PathBuf,

    /// only tell what would come of it
    #[argh(switch)]
    dry_run: bool,
}

/// Prints what came of the last records of the configuration stream.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct History {
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Prints which entry hosts have an offset in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "in-force")]
struct InForce {
    /// offset of an edit
    #[argh(positional)]
    offset: u64,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Table {
    pub(crate) async fn run(self) -> anyhow::Result<ExitCode> {
        let address = self.admin.or_else(|| env::var(ADDRESS_VARIABLE).ok());
        let address = address.with_context(|| {
            format!("name the API by --admin ADDRESS:PORT or {ADDRESS_VARIABLE}")
        })?;
        let token = env::var(TOKEN_VARIABLE)
            .with_context(|| format!("give the token in {TOKEN_VARIABLE}"))?;
        let client = AdminClient::new(address, token);
        match self.command {
            Command::Get(get) => get.run(&client).await,
            Command::Set(set) => set.run(&client).await,
            Command::Edit(edit) => edit.run(&client).await,
            Command::History(history) => history.run(&client).await,
            Command::InForce(in_force) => in_force.run(&client).await,
        }
    }
}

impl Get {
    async fn run(self, client: &AdminClient) -> anyhow::Result<ExitCode> {
        let view = client.table().await?;
        if self.json {
            print_json(&view)?;
        } else if self.csv {
            print!("{}", sheet::csv(&view)?);
        } else {
            for kind in sheet::KINDS {
                sheet::grid(&view, kind).print();
                println!();
            }
            println!("as of offset {}", view.offset);
        }
        Ok(ExitCode::SUCCESS)
    }
}

impl Set {
    async fn run(self, client: &AdminClient) -> anyhow::Result<ExitCode> {
        let view = client.table().await?;
        let mut edit = sheet::set_column(&view, &self.row, &self.column, &self.value)?;
        edit.dry_run = self.dry_run;
        make(client, &edit).await
    }
}

impl EditRows {
    async fn run(self, client: &AdminClient) -> anyhow::Result<ExitCode> {
        let path = self.file.display().to_string();
        let text = fs::read_to_string(&self.file).with_context(|| path)?;
        let view = client.table().await?;
        let mut edit = sheet::edit_of_file(&view, &text)?;
        edit.dry_run = self.dry_run;
        make(client, &edit).await
    }
}

impl History {
    async fn run(self, client: &AdminClient) -> anyhow::Result<ExitCode> {
        let history = client.history().await?;
        if self.json {
            print_json(&history)?;
            return Ok(ExitCode::SUCCESS);
        }
        let mut grid = Grid::new(&["offset", "appended_at_ms", "outcome", "author", "detail"]);
        history
            .iter()
            .for_each(|entry| grid.push(history_row(entry)));
        grid.print();
        Ok(ExitCode::SUCCESS)
    }
}

impl InForce {
    async fn run(self, client: &AdminClient) -> anyhow::Result<ExitCode> {
        let answer = client.in_force(Offset(self.offset)).await?;
        if self.json {
            print_json(&answer)?;
            return Ok(ExitCode::SUCCESS);
        }
        let mut grid = Grid::new(&["host", "data_centre", "next"]);
        for host in &answer.hosts {
            let next = match host.next {
                Some(next) if next > answer.offset => Cell::toned(next, Tone::Good),
                Some(next) => Cell::toned(next, Tone::Watch),
                None => Cell::toned("no answer", Tone::Bad),
            };
            grid.push(vec![
                Cell::from(&host.address),
                Cell::from(&host.data_centre),
                next,
            ]);
        }
        grid.print();
        println!(
            "in force on {} of {} hosts",
            answer.in_force,
            answer.hosts.len()
        );
        Ok(ExitCode::SUCCESS)
    }
}

/// Makes an edit and prints what came of it.
async fn make(client: &AdminClient, edit: &EditRequest) -> anyhow::Result<ExitCode> {
    if edit.rows.is_empty() && edit.deletes.is_empty() {
        bail!("nothing differs from the table in force");
    }
    match client.edit(edit).await? {
        EditResult::Accepted { edit_id, offset } => {
            println!("accepted at offset {offset}: edit {edit_id}");
            Ok(ExitCode::SUCCESS)
        }
        EditResult::WouldApply { offset } => {
            println!("would apply to the table as of offset {offset}");
            Ok(ExitCode::SUCCESS)
        }
        EditResult::Rejected { rejection, .. } => {
            print_rejection(&rejection);
            Ok(ExitCode::from(EXIT_BAD))
        }
        EditResult::NotAppended { edit_id } => {
            eprintln!("the log did not take the edit; it is not in force: edit {edit_id}");
            Ok(ExitCode::from(EXIT_NO_ANSWER))
        }
        EditResult::Unsettled { edit_id } => {
            eprintln!("it is not known yet whether the edit is in force: edit {edit_id}");
            Ok(ExitCode::from(EXIT_NO_ANSWER))
        }
    }
}

fn print_rejection(rejection: &Rejection) {
    let mut grid = Grid::new(&["rejected", "why"]);
    for conflict in &rejection.conflicts {
        let version = |at: Option<Offset>| at.map_or("no row".to_owned(), |at| at.to_string());
        let (base, found) = (version(conflict.base), version(conflict.found));
        let why = format!("changed since: made from {base}, in force is {found}");
        grid.push(vec![Cell::toned(&conflict.row, Tone::Bad), Cell::from(why)]);
    }
    for fault in &rejection.faults {
        let why = format!("{}: {}", fault.column, fault.message);
        grid.push(vec![Cell::toned(&fault.row, Tone::Bad), Cell::from(why)]);
    }
    grid.print();
}

fn history_row(entry: &HistoryEntry) -> Vec<Cell> {
    let (outcome, author, detail) = match &entry.outcome {
        Outcome::Applied(edit) => {
            let rows: Vec<String> = edit.rows.iter().map(RowKey::to_string).collect();
            let outcome = Cell::toned("applied", Tone::Good);
            (outcome, edit.author.clone(), rows.join(" "))
        }
        Outcome::Rejected { edit, rejection } => {
            let conflicts = rejection.conflicts.len();
            let detail = format!("{conflicts} conflicts, {} faults", rejection.faults.len());
            (
                Cell::toned("rejected", Tone::Watch),
                edit.author.clone(),
                detail,
            )
        }
        Outcome::Snapshot(header) => {
            let detail = format!("as of {}", header.as_of);
            (Cell::from("snapshot"), String::new(), detail)
        }
        Outcome::Skipped { reason } => (
            Cell::toned("skipped", Tone::Bad),
            String::new(),
            reason.clone(),
        ),
    };
    vec![
        Cell::from(entry.offset),
        Cell::from(entry.appended_at_ms),
        outcome,
        Cell::from(author),
        Cell::from(detail),
    ]
}
