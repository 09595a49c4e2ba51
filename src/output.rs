//! How the operators' programs print: aligned tables, coloured on a terminal, plain in a pipe.

use std::env;
use std::io;
use std::io::IsTerminal;

use owo_colors::OwoColorize;
use serde::Serialize;
use tabled::builder::Builder;
use tabled::settings::Padding;
use tabled::settings::Style;
use tabled::settings::object::Columns;

use crate::error::Result;

/// How a cell is to stand out on a terminal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Tone {
    /// As it is.
    #[default]
    Plain,
    /// All is well.
    Good,
    /// To be watched.
    Watch,
    /// To be looked into.
    Bad,
}

/// A cell of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cell {
    text: String,
    tone: Tone,
}

impl Cell {
    /// A cell that stands out.
    pub fn toned(text: impl ToString, tone: Tone) -> Self {
        Cell {
            text: text.to_string(),
            tone,
        }
    }

    fn render(&self, is_coloured: bool) -> String {
        if !is_coloured {
            return self.text.clone();
        }
        match self.tone {
            Tone::Plain => self.text.clone(),
            Tone::Good => self.text.green().to_string(),
            Tone::Watch => self.text.yellow().to_string(),
            Tone::Bad => self.text.red().to_string(),
        }
    }
}

impl<T: ToString> From<T> for Cell {
    fn from(value: T) -> Self {
        Cell::toned(value, Tone::Plain)
    }
}

/// A table with a heading for each column.
#[derive(Debug, Clone, Default)]
pub struct Grid {
    headings: Vec<&'static str>,
    rows: Vec<Vec<Cell>>,
}

impl Grid {
    /// An empty table.
    pub fn new(headings: &[&'static str]) -> Self {
        Grid {
            headings: headings.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn push(&mut self, row: Vec<Cell>) {
        self.rows.push(row);
    }

    /// Whether it has no row.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The table as text, aligned in columns.
    pub fn render(&self, is_coloured: bool) -> String {
        let mut builder = Builder::default();
        builder.push_record(self.headings.iter().map(|heading| match is_coloured {
            true => heading.bold().to_string(),
            false => (*heading).to_owned(),
        }));
        for row in &self.rows {
            builder.push_record(row.iter().map(|cell| cell.render(is_coloured)));
        }
        let mut table = builder.build();
        table.with(Style::blank());
        table.modify(Columns::first(), Padding::new(0, 1, 0, 0));
        let text = table.to_string();
        text.lines()
            .map(str::trim_end)
            .collect::<Vec<&str>>()
            .join("\n")
    }

    /// Prints the table to standard output.
    pub fn print(&self) {
        println!("{}", self.render(is_coloured()));
    }
}

/// Whether standard output is a terminal whose user wants colour (`NO_COLOR` unset).
pub fn is_coloured() -> bool {
    io::stdout().is_terminal() && env::var_os("NO_COLOR").is_none()
}

/// Prints a value to standard output as JSON.
///
/// # Errors
///
/// If the value cannot be encoded.
pub fn print_json(value: &impl Serialize) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}
