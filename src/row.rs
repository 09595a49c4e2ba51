//! The rows of the table of weights and limits, as operators write them.

use serde::Deserialize;
use serde::Serialize;

use crate::id::ClassId;
use crate::id::CustomerId;
use crate::id::DataCentre;
use crate::id::PoolId;
use crate::id::ServiceId;
use crate::id::UpstreamId;

/// A row, by kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Row {
    /// A customer.
    Customer(CustomerRow),
    /// A priority class.
    Class(ClassRow),
    /// A service.
    Service(ServiceRow),
    /// A pool of upstreams.
    Pool(PoolRow),
}

/// A customer: its keys, its weight and its limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerRow {
    /// Its name.
    pub customer: CustomerId,
    /// SHA-256 of each key, in hexadecimal. Keys are never stored.
    pub key_sha256: Vec<String>,
    /// Its share against other customers of a class; 1 to 1,000.
    pub weight: u32,
    /// The priority classes it has bought; the first is its default.
    pub classes: Vec<ClassId>,
    /// Requests a second over all hosts.
    pub requests_per_s: u32,
    /// Generated tokens a second over all hosts.
    pub tokens_per_s: u32,
    /// Generations running at once over all hosts.
    pub concurrent_generations: u32,
    /// Requests waiting at once over all hosts.
    pub queue_length: u32,
}

/// A priority class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassRow {
    /// Its name.
    pub class: ClassId,
    /// Its share against the other classes; 1 to 1,000.
    pub weight: u32,
    /// Priority at the engines; higher runs first.
    pub engine_priority: u8,
    /// A request that cannot start within this time is refused, in milliseconds.
    pub max_wait_ms: u64,
}

/// A service that callers name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRow {
    /// Its name.
    pub service: ServiceId,
    /// What it runs.
    pub backing: Backing,
    /// The pool that serves it.
    pub pool: PoolId,
    /// Whether its calls may be repeated where the caller doesn't say.
    pub repeatable: bool,
    /// Retries allowed as a share of successes, in percent.
    pub retry_budget_percent: u32,
    /// Deadline for a whole request where the caller gives none, in milliseconds.
    pub deadline_ms: u64,
}

/// What a service runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum Backing {
    /// Generations of a model.
    Generation {
        /// Wanted model as `name@version`.
        model: String,
        /// Longest output that a caller may ask for, in tokens.
        max_output_tokens: u32,
    },
    /// A plain HTTP service.
    Plain,
}

/// A pool of upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolRow {
    /// Its name.
    pub pool: PoolId,
    /// Its upstreams.
    pub upstreams: Vec<UpstreamRow>,
    /// Predicted memory may rise to this share of an engine's memory, in percent.
    pub high_water_percent: u32,
    /// At most this share of the pool is ejected at once, in percent.
    pub ejected_percent_max: u32,
}

/// An upstream of a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamRow {
    /// Its address and port.
    pub upstream: UpstreamId,
    /// Where it is.
    pub data_centre: DataCentre,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fence: bool,
}
