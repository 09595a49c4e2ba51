//! The table of weights and limits: one state, the fold of the configuration stream.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::id::ClassId;
use crate::id::CustomerId;
use crate::id::Offset;
use crate::id::PoolId;
use crate::id::ServiceId;
use crate::row::ClassRow;
use crate::row::CustomerRow;
use crate::row::PoolRow;
use crate::row::ServiceRow;

/// The table as of an offset of the configuration stream.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The offset that the next record to fold must have.
    pub next: Offset,
    /// Customers by name.
    pub customers: BTreeMap<CustomerId, Versioned<CustomerRow>>,
    /// Priority classes by name.
    pub classes: BTreeMap<ClassId, Versioned<ClassRow>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Versioned<ServiceRow>>,
    /// Pools by name.
    pub pools: BTreeMap<PoolId, Versioned<PoolRow>>,
}

/// A row with the offset of the edit that wrote it, which is its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Versioned<R> {
    /// Offset of the edit that wrote the row.
    pub version: Offset,
    /// The row.
    pub row: R,
}

impl Table {
    /// The customer whose keys hold `key`.
    pub fn customer_by_key(&self, key: &str) -> Option<&CustomerRow> {
        let hash = key_sha256(key);
        self.customers
            .values()
            .map(|versioned| &versioned.row)
            .find(|row| row.key_sha256.contains(&hash))
    }
}

/// SHA-256 of a customer's key in hexadecimal, as rows store it.
pub fn key_sha256(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}
