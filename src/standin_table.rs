//! The table of a small deployment, as tests and the demo use it.

use crate::id::ClassId;
use crate::id::CustomerId;
use crate::id::PoolId;
use crate::row::Backing;
use crate::row::ClassRow;
use crate::row::CustomerRow;
use crate::row::PoolRow;
use crate::row::Row;
use crate::row::ServiceRow;
use crate::row::UpstreamRow;
use crate::table::key_sha256;

/// The service that generates.
pub const INSPECTION: &str = "inspection";

/// The plain service.
pub const CREW_APP: &str = "crew-app";

/// The model that [`INSPECTION`] runs.
pub const INSPECTION_MODEL: &str = "inspection@1";

/// Key of the customer `demo`, who has bought every class.
pub const DEMO_KEY: &str = "demo-key";

/// Key of the customer `village`, who has bought the class `batch` only.
pub const VILLAGE_KEY: &str = "village-key";

/// Two customers, three classes and two services over the upstreams that are given.
pub fn small_table(engines: Vec<UpstreamRow>, services: Vec<UpstreamRow>) -> Vec<Row> {
    vec![
        class("urgent", 8, 200, 60_000),
        class("standard", 4, 100, 60_000),
        class("batch", 1, 0, 120_000),
        customer("demo", DEMO_KEY, 4, &["standard", "urgent", "batch"]),
        customer("village", VILLAGE_KEY, 1, &["batch"]),
        pool(INSPECTION, engines),
        pool(CREW_APP, services),
        service(
            INSPECTION,
            Backing::Generation {
                model: INSPECTION_MODEL.to_owned(),
                max_output_tokens: 32_768,
            },
        ),
        service(CREW_APP, Backing::Plain),
    ]
}

fn class(name: &str, weight: u32, engine_priority: u8, max_wait_ms: u64) -> Row {
    Row::Class(ClassRow {
        class: ClassId::new(name),
        weight,
        engine_priority,
        max_wait_ms,
    })
}

fn customer(name: &str, key: &str, weight: u32, classes: &[&str]) -> Row {
    Row::Customer(CustomerRow {
        customer: CustomerId::new(name),
        key_sha256: vec![key_sha256(key)],
        weight,
        classes: classes.iter().map(|class| ClassId::new(*class)).collect(),
        requests_per_s: 5_000,
        tokens_per_s: 1_000_000,
        concurrent_generations: 2_000,
        queue_length: 5_000,
    })
}

fn pool(name: &str, upstreams: Vec<UpstreamRow>) -> Row {
    Row::Pool(PoolRow {
        pool: PoolId::new(name),
        upstreams,
        high_water_percent: 90,
        ejected_percent_max: 50,
    })
}

fn service(name: &str, backing: Backing) -> Row {
    Row::Service(ServiceRow {
        service: name.into(),
        backing,
        pool: PoolId::new(name),
        repeatable: true,
        retry_budget_percent: 20,
        deadline_ms: 600_000,
    })
}

#[cfg(test)]
mod tests;
