//! A service's pool as one data centre sees it, taken from the table.

use crate::id::DataCentre;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::row::Backing;
use crate::schedule::ClassWeight;
use crate::schedule::CustomerWeight;
use crate::schedule::Weights;
use crate::table::Table;

/// A service with its upstreams in one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePool {
    /// The service.
    pub service: ServiceId,
    /// Its upstreams in the data centre.
    pub upstreams: Vec<UpstreamId>,
    /// Whether it is a plain service, whose upstreams offer no load reports.
    pub plain: bool,
    /// Predicted memory may rise to this share of an engine's memory, in percent.
    pub high_water_percent: u32,
    /// At most this share of the pool is ejected at once, in percent.
    pub ejected_percent_max: u32,
}

/// The services of `table` with their upstreams in `data_centre`.
pub fn service_pools(table: &Table, data_centre: &DataCentre) -> Vec<ServicePool> {
    let services = table.services.values().map(|service| &service.row);
    services
        .filter_map(|service| {
            let pool = &table.pools.get(&service.pool)?.row;
            let here = pool
                .upstreams
                .iter()
                .filter(|upstream| upstream.data_centre == *data_centre);
            Some(ServicePool {
                service: service.service.clone(),
                upstreams: here.map(|upstream| upstream.upstream.clone()).collect(),
                plain: service.backing == Backing::Plain,
                high_water_percent: pool.high_water_percent,
                ejected_percent_max: pool.ejected_percent_max,
            })
        })
        .collect()
}

/// The weights of `table` for schedulers.
pub fn weights(table: &Table) -> Weights {
    let classes = table.classes.values().map(|class| ClassWeight {
        class: class.row.class.clone(),
        weight: class.row.weight,
        engine_priority: class.row.engine_priority,
        max_wait_ms: class.row.max_wait_ms,
    });
    let customers = table.customers.values().map(|customer| &customer.row);
    let weighted = customers.filter(|customer| customer.weight != 1);
    Weights {
        classes: classes.collect(),
        customers: weighted
            .map(|customer| CustomerWeight {
                customer: customer.customer.clone(),
                weight: customer.weight,
            })
            .collect(),
    }
}
