//! The table of weights and limits: one state, the fold of the configuration stream.

use imbl::OrdMap;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::ClassId;
use crate::id::CustomerId;
use crate::id::Offset;
use crate::id::PoolId;
use crate::id::ServiceId;
use crate::platform::Record;
use crate::record::RowKey;
use crate::record::RowKind;
use crate::row::ClassRow;
use crate::row::CustomerRow;
use crate::row::PoolRow;
use crate::row::Row;
use crate::row::ServiceRow;

/// The table as of an offset of the configuration stream.
///
/// The maps are persistent, so a clone shares all rows and an edit copies only the path to the
/// rows it writes. Rows are written by [`Table::apply`] and [`Table::from_rows`], which keep the
/// index of keys and the digest; the maps are public for reading.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredTable")]
pub struct Table {
    /// The offset that the next record to fold must have.
    pub next: Offset,
    /// Hash of the stream's first record, which identifies the stream; 0 before any record.
    pub origin: u64,
    /// Hash chained over every record folded or skipped so far.
    pub history: u64,
    /// Customers by name.
    pub customers: OrdMap<CustomerId, Versioned<CustomerRow>>,
    /// Priority classes by name.
    pub classes: OrdMap<ClassId, Versioned<ClassRow>>,
    /// Services by name.
    pub services: OrdMap<ServiceId, Versioned<ServiceRow>>,
    /// Pools by name.
    pub pools: OrdMap<PoolId, Versioned<PoolRow>>,
    #[serde(skip)]
    keys: OrdMap<KeyHash, CustomerId>,
    #[serde(skip)]
    rows_digest: u64,
}

/// SHA-256 of a key.
type KeyHash = [u8; 32];

/// A row with the offset of the edit that wrote it, which is its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Versioned<R> {
    /// Offset of the edit that wrote the row.
    pub version: Offset,
    /// The row.
    pub row: R,
}

/// Hashes of a table's past and of its rows: equal at equal offsets on every host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Hash of the stream's first record.
    pub origin: u64,
    /// Hash chained over every record so far.
    pub history: u64,
    /// Sum of the hashes of all rows with their versions.
    pub rows: u64,
}

/// The part of a table that is stored; index and digest are computed from it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StoredTable {
    next: Offset,
    origin: u64,
    history: u64,
    customers: OrdMap<CustomerId, Versioned<CustomerRow>>,
    classes: OrdMap<ClassId, Versioned<ClassRow>>,
    services: OrdMap<ServiceId, Versioned<ServiceRow>>,
    pools: OrdMap<PoolId, Versioned<PoolRow>>,
}

impl From<StoredTable> for Table {
    fn from(stored: StoredTable) -> Self {
        let mut table = Table {
            next: stored.next,
            origin: stored.origin,
            history: stored.history,
            customers: stored.customers,
            classes: stored.classes,
            services: stored.services,
            pools: stored.pools,
            keys: OrdMap::new(),
            rows_digest: 0,
        };
        table.index();
        table
    }
}

impl Table {
    /// A table that holds `rows`, all of version 0.
    pub fn from_rows(rows: impl IntoIterator<Item = Row>) -> Self {
        let mut table = Table::default();
        for row in rows {
            table.put(row, Offset(0));
        }
        table
    }

    /// Whether it holds no row at all.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
            && self.classes.is_empty()
            && self.services.is_empty()
            && self.pools.is_empty()
    }

    /// The customer whose keys hold `key`.
    pub fn customer_by_key(&self, key: &str) -> Option<&CustomerRow> {
        let hash: KeyHash = Sha256::digest(key.as_bytes()).into();
        self.customer_of_hash(&hash)
    }

    /// The customer that holds a key, by the key's hash in hexadecimal.
    pub(crate) fn customer_by_key_hash(&self, hash: &str) -> Option<&CustomerRow> {
        self.customer_of_hash(&decode_hash(hash)?)
    }

    /// The version of a row, if the row exists.
    pub fn version(&self, key: &RowKey) -> Option<Offset> {
        let name = key.name.as_str();
        match key.kind {
            RowKind::Customer => self
                .customers
                .get(&CustomerId::from(name))
                .map(|row| row.version),
            RowKind::Class => self
                .classes
                .get(&ClassId::from(name))
                .map(|row| row.version),
            RowKind::Service => self
                .services
                .get(&ServiceId::from(name))
                .map(|row| row.version),
            RowKind::Pool => self.pools.get(&PoolId::from(name)).map(|row| row.version),
        }
    }

    /// A row by its key.
    pub fn row(&self, key: &RowKey) -> Option<Row> {
        let name = key.name.as_str();
        match key.kind {
            RowKind::Customer => self
                .customers
                .get(&CustomerId::from(name))
                .map(|found| Row::Customer(found.row.clone())),
            RowKind::Class => self
                .classes
                .get(&ClassId::from(name))
                .map(|found| Row::Class(found.row.clone())),
            RowKind::Service => self
                .services
                .get(&ServiceId::from(name))
                .map(|found| Row::Service(found.row.clone())),
            RowKind::Pool => self
                .pools
                .get(&PoolId::from(name))
                .map(|found| Row::Pool(found.row.clone())),
        }
    }

    /// Every row with its version: classes, pools, services, then customers, each by name.
    pub fn rows(&self) -> Vec<Versioned<Row>> {
        let classes = self.classes.values().map(|row| row.map(Row::Class));
        let pools = self.pools.values().map(|row| row.map(Row::Pool));
        let services = self.services.values().map(|row| row.map(Row::Service));
        let customers = self.customers.values().map(|row| row.map(Row::Customer));
        classes
            .chain(pools)
            .chain(services)
            .chain(customers)
            .collect()
    }

    /// Hashes of the table's past and of its rows.
    pub fn digest(&self) -> Digest {
        Digest {
            origin: self.origin,
            history: self.history,
            rows: self.rows_digest,
        }
    }

    /// Moves past `record`: the chain of hashes and the next offset.
    pub(crate) fn pass(&mut self, record: &Record) {
        if self.next == Offset(0) {
            self.origin = origin_of(record);
        }
        self.history = xxh3_64_with_seed(record.data.as_bytes(), self.history ^ record.offset.0);
        self.next = record.offset.next();
    }

    /// Writes a row, with its index and digest.
    pub(crate) fn put(&mut self, row: Row, version: Offset) {
        self.remove(&RowKey::of(&row));
        match row {
            Row::Customer(row) => {
                self.add_keys(&row);
                let name = row.customer.clone();
                let stored = self.counted(RowKind::Customer, Versioned { version, row });
                self.customers.insert(name, stored);
            }
            Row::Class(row) => {
                let name = row.class.clone();
                let stored = self.counted(RowKind::Class, Versioned { version, row });
                self.classes.insert(name, stored);
            }
            Row::Service(row) => {
                let name = row.service.clone();
                let stored = self.counted(RowKind::Service, Versioned { version, row });
                self.services.insert(name, stored);
            }
            Row::Pool(row) => {
                let name = row.pool.clone();
                let stored = self.counted(RowKind::Pool, Versioned { version, row });
                self.pools.insert(name, stored);
            }
        }
    }

    /// Removes a row, with its index and digest.
    pub(crate) fn remove(&mut self, key: &RowKey) {
        let name = key.name.as_str();
        let removed = match key.kind {
            RowKind::Customer => self.customers.remove(&CustomerId::from(name)).map(|old| {
                self.remove_keys(&old.row);
                row_digest(RowKind::Customer, &old)
            }),
            RowKind::Class => self
                .classes
                .remove(&ClassId::from(name))
                .map(|old| row_digest(RowKind::Class, &old)),
            RowKind::Service => self
                .services
                .remove(&ServiceId::from(name))
                .map(|old| row_digest(RowKind::Service, &old)),
            RowKind::Pool => self
                .pools
                .remove(&PoolId::from(name))
                .map(|old| row_digest(RowKind::Pool, &old)),
        };
        self.rows_digest = self.rows_digest.wrapping_sub(removed.unwrap_or(0));
    }

    fn customer_of_hash(&self, hash: &KeyHash) -> Option<&CustomerRow> {
        let customer = self.keys.get(hash)?;
        self.customers.get(customer).map(|found| &found.row)
    }

    fn counted<R: Serialize>(&mut self, kind: RowKind, row: Versioned<R>) -> Versioned<R> {
        self.rows_digest = self.rows_digest.wrapping_add(row_digest(kind, &row));
        row
    }

    fn add_keys(&mut self, row: &CustomerRow) {
        for hash in row.key_sha256.iter().filter_map(|text| decode_hash(text)) {
            // A key that another customer holds stays there; the check of the row reports it.
            self.keys
                .entry(hash)
                .or_insert_with(|| row.customer.clone());
        }
    }

    fn remove_keys(&mut self, row: &CustomerRow) {
        for hash in row.key_sha256.iter().filter_map(|text| decode_hash(text)) {
            if self.keys.get(&hash) == Some(&row.customer) {
                self.keys.remove(&hash);
            }
        }
    }

    /// Computes the index of keys and the digest from the rows.
    fn index(&mut self) {
        let customers = self.customers.clone();
        customers
            .values()
            .for_each(|found| self.add_keys(&found.row));
        self.rows_digest = sum(RowKind::Customer, self.customers.values())
            .wrapping_add(sum(RowKind::Class, self.classes.values()))
            .wrapping_add(sum(RowKind::Service, self.services.values()))
            .wrapping_add(sum(RowKind::Pool, self.pools.values()));
    }
}

impl<R: Clone> Versioned<R> {
    fn map<T>(&self, wrap: impl FnOnce(R) -> T) -> Versioned<T> {
        Versioned {
            version: self.version,
            row: wrap(self.row.clone()),
        }
    }
}

/// SHA-256 of a customer's key in hexadecimal, as rows store it.
pub fn key_sha256(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// The hash of a stream's first record; never 0, which stands for "no record yet".
pub(crate) fn origin_of(first: &Record) -> u64 {
    xxh3_64(first.data.as_bytes()).max(1)
}

fn decode_hash(text: &str) -> Option<KeyHash> {
    let mut hash = KeyHash::default();
    hex::decode_to_slice(text, &mut hash).ok()?;
    Some(hash)
}

fn sum<'a, R: Serialize + 'a>(kind: RowKind, rows: impl Iterator<Item = &'a Versioned<R>>) -> u64 {
    rows.fold(0, |sum, row| sum.wrapping_add(row_digest(kind, row)))
}

fn row_digest<R: Serialize>(kind: RowKind, row: &Versioned<R>) -> u64 {
    // Rows are plain structs, whose serialization cannot fail.
    let text = serde_json::to_vec(row).unwrap_or_default();
    xxh3_64_with_seed(&text, kind as u64)
}

#[cfg(test)]
mod tests;
