//! Measures how the state and the work of each role grow, and fits a line to each.
//!
//! `cargo bench --bench slopes` prints every point and every fit; `docs/CAPACITY.md` computes the
//! two-year size from them. Memory is counted by the allocator, time by the monotonic clock.

mod claims;
mod configuration;
mod fit;
mod fleet;
mod limit;
mod membership;
mod scheduling;

use std::alloc::System;

use stats_alloc::INSTRUMENTED_SYSTEM;
use stats_alloc::StatsAlloc;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() {
    claims::measure();
    configuration::measure();
    fleet::measure();
    limit::measure();
    membership::measure();
    scheduling::measure();
}
