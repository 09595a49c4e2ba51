//! The enforcement of limits on one host: by number of active customers.

use crate::configuration::customer;
use crate::fit::Series;
use crate::fit::bytes_held;
use crate::fit::nanos_each;
use cedargauge::clock::Time;
use cedargauge::limits::LimitOptions;
use cedargauge::limits::Limits;
use cedargauge::share::Share;

const ACTIVE: [usize; 4] = [100, 400, 1_200, 3_600];
const REQUESTS: usize = 5_000;

/// Prints the slopes of limit enforcement.
pub fn measure() {
    Series::measure("limits, held by active customers", &ACTIVE, |active| {
        bytes_held(|| limits(active))
    })
    .print("bytes");
    Series::measure("admit and release one request", &ACTIVE, |active| {
        let mut limits = limits(active);
        nanos_each(REQUESTS, |index| admit(&mut limits, index % active, index))
    })
    .print("ns");
}

fn limits(active: usize) -> Limits {
    let mut limits = Limits::new(LimitOptions::default());
    for index in 0..active {
        admit(&mut limits, index, 0);
    }
    limits
}

fn admit(limits: &mut Limits, customer_index: usize, step: usize) {
    let row = customer(customer_index);
    let now = Time::from_ms(step as u64);
    let share = Share::whole(&row);
    if let Ok((id, _)) = limits.admit(now, &row, &share) {
        limits.release(now, &row.customer, id);
    }
}
