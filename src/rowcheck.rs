//! Checks of rows, shared by the fold and the administration API.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use serde::Deserialize;
use serde::Serialize;

use crate::record::RowKey;
use crate::record::RowKind;
use crate::row::Backing;
use crate::row::ClassRow;
use crate::row::CustomerRow;
use crate::row::PoolRow;
use crate::row::Row;
use crate::row::ServiceRow;
use crate::table::Table;

const WEIGHT: RangeInclusive<u64> = 1..=1_000;
const PERCENT: RangeInclusive<u64> = 1..=100;
const BUDGET_PERCENT: RangeInclusive<u64> = 0..=100;
const LIMIT: RangeInclusive<u64> = 1..=1_000_000_000;
const DURATION_MS: RangeInclusive<u64> = 1..=86_400_000;
const OUTPUT_TOKENS: RangeInclusive<u64> = 1..=10_000_000;
const NAME_LENGTH_MAX: usize = 64;
const KEYS_MAX: usize = 16;

/// A bad value of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The row.
    pub row: RowKey,
    /// The column, or `row` if it concerns the row as a whole.
    pub column: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.row, self.column, self.message)
    }
}

/// Every fault of `row`, looked at by itself.
pub fn check_row(row: &Row) -> Vec<Fault> {
    let mut check = Check::new(RowKey::of(row));
    check.name();
    match row {
        Row::Customer(row) => check.customer(row),
        Row::Class(row) => check.class(row),
        Row::Service(row) => check.service(row),
        Row::Pool(row) => check.pool(row),
    }
    check.faults
}

/// Every fault of `row` against the table it is to be written to: references and shared keys.
pub(crate) fn check_references(row: &Row, table: &Table) -> Vec<Fault> {
    let mut check = Check::new(RowKey::of(row));
    match row {
        Row::Customer(row) => check.customer_references(row, table),
        Row::Service(row) if !table.pools.contains_key(&row.pool) => {
            check.fault("pool", format!("no pool {}", row.pool));
        }
        Row::Service(_) | Row::Class(_) | Row::Pool(_) => {}
    }
    check.faults
}

/// The faults of deleting the row `key`, which `table` no longer holds.
pub(crate) fn check_deleted(key: &RowKey, table: &Table) -> Vec<Fault> {
    let mut check = Check::new(key.clone());
    let mut customers = table.customers.values().map(|found| &found.row);
    let mut services = table.services.values().map(|found| &found.row);
    let user = match key.kind {
        RowKind::Class => customers
            .find(|row| row.classes.iter().any(|class| class.as_str() == key.name))
            .map(|row| format!("customer/{}", row.customer)),
        RowKind::Pool => services
            .find(|row| row.pool.as_str() == key.name)
            .map(|row| format!("service/{}", row.service)),
        RowKind::Customer | RowKind::Service => None,
    };
    if let Some(user) = user {
        check.fault("row", format!("still used by {user}"));
    }
    check.faults
}

/// Collects the faults of one row.
struct Check {
    row: RowKey,
    faults: Vec<Fault>,
}

impl Check {
    fn new(row: RowKey) -> Self {
        Check {
            row,
            faults: Vec::new(),
        }
    }

    fn fault(&mut self, column: &str, message: impl Into<String>) {
        self.faults.push(Fault {
            row: self.row.clone(),
            column: column.to_owned(),
            message: message.into(),
        });
    }

    fn range(&mut self, column: &str, value: impl Into<u64>, allowed: RangeInclusive<u64>) {
        let value = value.into();
        if !allowed.contains(&value) {
            let (least, most) = allowed.into_inner();
            self.fault(column, format!("{value} is not in {least} to {most}"));
        }
    }

    fn name(&mut self) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
        let name = &self.row.name;
        if name.is_empty() || name.len() > NAME_LENGTH_MAX || !name.chars().all(allowed) {
            let message = format!(
                "{name:?} is not 1 to {NAME_LENGTH_MAX} of the characters a-z A-Z 0-9 . _ -"
            );
            self.fault("name", message);
        }
    }

    fn customer(&mut self, row: &CustomerRow) {
        self.range("weight", row.weight, WEIGHT);
        self.range("requests_per_s", row.requests_per_s, LIMIT);
        self.range("tokens_per_s", row.tokens_per_s, LIMIT);
        self.range("concurrent_generations", row.concurrent_generations, LIMIT);
        self.range("queue_length", row.queue_length, LIMIT);
        self.keys(row);
        if row.classes.is_empty() {
            self.fault("classes", "at least one class is needed");
        }
        let distinct: BTreeSet<_> = row.classes.iter().collect();
        if distinct.len() != row.classes.len() {
            self.fault("classes", "a class is named twice");
        }
    }

    fn keys(&mut self, row: &CustomerRow) {
        if row.key_sha256.len() > KEYS_MAX {
            self.fault("key_sha256", format!("more than {KEYS_MAX} keys"));
        }
        for hash in &row.key_sha256 {
            let allowed = |c: char| matches!(c, '0'..='9' | 'a'..='f');
            if hash.len() != 64 || !hash.chars().all(allowed) {
                self.fault("key_sha256", format!("{hash:?} is not 64 digits 0-9 a-f"));
            }
        }
        let distinct: BTreeSet<_> = row.key_sha256.iter().collect();
        if distinct.len() != row.key_sha256.len() {
            self.fault("key_sha256", "a key is named twice");
        }
    }

    fn customer_references(&mut self, row: &CustomerRow, table: &Table) {
        for class in &row.classes {
            if !table.classes.contains_key(class) {
                self.fault("classes", format!("no class {class}"));
            }
        }
        for hash in &row.key_sha256 {
            let holder = table.customer_by_key_hash(hash);
            if holder.is_none_or(|holder| holder.customer != row.customer) {
                self.fault("key_sha256", "another customer holds the key");
            }
        }
    }

    fn class(&mut self, row: &ClassRow) {
        self.range("weight", row.weight, WEIGHT);
        self.range("max_wait_ms", row.max_wait_ms, DURATION_MS);
    }

    fn service(&mut self, row: &ServiceRow) {
        self.range(
            "retry_budget_percent",
            row.retry_budget_percent,
            BUDGET_PERCENT,
        );
        self.range("deadline_ms", row.deadline_ms, DURATION_MS);
        let Backing::Generation {
            model,
            max_output_tokens,
        } = &row.backing
        else {
            return;
        };
        self.range("max_output_tokens", *max_output_tokens, OUTPUT_TOKENS);
        let named = model.split_once('@');
        if !named.is_some_and(|(name, version)| !name.is_empty() && !version.is_empty()) {
            self.fault("model", format!("{model:?} is not NAME@VERSION"));
        }
    }

    fn pool(&mut self, row: &PoolRow) {
        self.range("high_water_percent", row.high_water_percent, PERCENT);
        self.range(
            "ejected_percent_max",
            row.ejected_percent_max,
            BUDGET_PERCENT,
        );
        let mut seen = BTreeSet::new();
        for upstream in &row.upstreams {
            let address = upstream.upstream.as_str();
            if address.parse::<SocketAddr>().is_err() {
                self.fault("upstreams", format!("{address:?} is not ADDRESS:PORT"));
            }
            if !seen.insert(address) {
                self.fault("upstreams", format!("{address} is named twice"));
            }
        }
    }
}
