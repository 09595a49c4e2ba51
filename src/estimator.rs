//! How long generations of a service get: survival curves by priority class and customer.
//!
//! The output lengths are cut into bins, four an octave. Each bin counts the generations that ended
//! in it and those that passed it; the ratio is the bin's hazard, and the product over the bins is
//! the survival curve (the Kaplan-Meier estimator). A generation that still runs counts in every
//! bin it has passed, so that the curve follows a shift to longer outputs before the first of them
//! has ended. A table with few samples is shrunk towards its parent: customer, class, service, and
//! at last a long-tailed prior. Each bin forgets: its counts are halved when they reach a bound.

use std::collections::BTreeMap;

use crate::clock::Time;
use crate::id::ClassId;
use crate::id::CustomerId;

/// Outputs shorter than this share the first bin.
const FIRST_BIN_TOKENS: u32 = 16;
/// Octaves above the first bin; the last one ends at 2^18 tokens.
const OCTAVES: usize = 14;
/// Bins an octave.
const BINS_PER_OCTAVE: usize = 4;
/// Number of bins.
const BINS: usize = 1 + OCTAVES * BINS_PER_OCTAVE;
/// A bin's counts are halved when they reach this.
const BIN_SAMPLES_MAX: f32 = 256.0;
/// Weight of the parent's hazard, in samples.
const PARENT_SAMPLES: f32 = 16.0;
/// Weight of the prior at the service, in samples.
const PRIOR_SAMPLES: f32 = 2.0;
/// Tail index of the prior: the share that outlives x falls as x to this power.
const PRIOR_TAIL: f32 = 1.5;
/// Curves are at most this old when used, in milliseconds.
const CURVE_AGE_MS: u64 = 500;
/// Customers remembered in a class; the least recently used is forgotten.
const CUSTOMERS_MAX: usize = 1_024;

/// The bin of an output length.
fn bin(tokens: u32) -> usize {
    if tokens < FIRST_BIN_TOKENS {
        return 0;
    }
    let octave = tokens.ilog2();
    let quarter = (tokens >> (octave - 2)) & 3;
    let index = 1 + (octave - FIRST_BIN_TOKENS.ilog2()) as usize * BINS_PER_OCTAVE;
    (index + quarter as usize).min(BINS - 1)
}

/// The shortest output of a bin, in tokens.
fn bin_start(bin: usize) -> u32 {
    let Some(above) = bin.checked_sub(1) else {
        return 0;
    };
    let octave = FIRST_BIN_TOKENS.ilog2() + (above / BINS_PER_OCTAVE) as u32;
    let quarter = (above % BINS_PER_OCTAVE) as u32;
    (4 + quarter) << (octave - 2)
}

/// The share of generations that outlive each length.
#[derive(Debug, Clone)]
pub(crate) struct Curve {
    ln_survival: [f32; BINS + 1],
}

impl Curve {
    fn from_hazards(hazards: &[f32; BINS]) -> Self {
        let mut ln_survival = [0.0; BINS + 1];
        for (index, hazard) in hazards.iter().enumerate() {
            let passed = (1.0 - hazard).max(f32::MIN_POSITIVE);
            ln_survival[index + 1] = ln_survival[index] + passed.ln();
        }
        Curve { ln_survival }
    }

    /// The chance that a generation which has produced `produced` tokens produces `ahead` more.
    pub(crate) fn survival(&self, produced: u32, ahead: u32) -> f32 {
        let later = self.ln_at(produced.saturating_add(ahead));
        (later - self.ln_at(produced)).exp()
    }

    fn ln_at(&self, tokens: u32) -> f32 {
        let bin = bin(tokens);
        let start = bin_start(bin);
        let width = (bin_start(bin + 1) - start) as f32;
        let share = (tokens - start) as f32 / width;
        let low = self.ln_survival[bin];
        low + share * (self.ln_survival[bin + 1] - low)
    }
}

/// Counts of one service, class or customer.
#[derive(Debug, Clone)]
struct Table {
    ended: [f32; BINS],
    passed: [f32; BINS],
    curve: Curve,
    built: Option<Time>,
    used: Time,
}

impl Table {
    fn new() -> Self {
        Table {
            ended: [0.0; BINS],
            passed: [0.0; BINS],
            curve: Curve::from_hazards(&[0.0; BINS]),
            built: None,
            used: Time::ZERO,
        }
    }

    fn pass(&mut self, from: u32, to: u32) {
        for bin in bin(from)..bin(to) {
            self.passed[bin] += 1.0;
            self.forget(bin);
        }
    }

    fn end(&mut self, tokens: u32) {
        let bin = bin(tokens);
        self.ended[bin] += 1.0;
        self.forget(bin);
    }

    fn forget(&mut self, bin: usize) {
        if self.ended[bin] + self.passed[bin] >= BIN_SAMPLES_MAX {
            self.ended[bin] /= 2.0;
            self.passed[bin] /= 2.0;
        }
    }

    fn hazards(&self, parent: &[f32; BINS], parent_samples: f32) -> [f32; BINS] {
        std::array::from_fn(|bin| {
            let samples = self.ended[bin] + self.passed[bin] + parent_samples;
            (self.ended[bin] + parent_samples * parent[bin]) / samples
        })
    }

    fn stale(&self, now: Time) -> bool {
        self.built
            .is_none_or(|built| now.since(built).as_millis() >= u128::from(CURVE_AGE_MS))
    }
}

/// A class's own counts and those of its customers.
#[derive(Debug)]
struct ClassTables {
    table: Table,
    customers: BTreeMap<CustomerId, Table>,
}

impl ClassTables {
    fn new() -> Self {
        ClassTables {
            table: Table::new(),
            customers: BTreeMap::new(),
        }
    }

    fn customer(&mut self, now: Time, customer: &CustomerId) -> &mut Table {
        if !self.customers.contains_key(customer) {
            self.make_room();
            self.customers.insert(customer.clone(), Table::new());
        }
        let table = self
            .customers
            .get_mut(customer)
            .expect("the table was just inserted");
        table.used = now;
        table
    }

    fn make_room(&mut self) {
        if self.customers.len() < CUSTOMERS_MAX {
            return;
        }
        let oldest = self
            .customers
            .iter()
            .min_by_key(|(_, table)| table.used)
            .map(|(customer, _)| customer.clone());
        if let Some(oldest) = oldest {
            self.customers.remove(&oldest);
        }
    }
}

/// The lengths of one service.
#[derive(Debug)]
pub(crate) struct Estimator {
    prior: [f32; BINS],
    service: Table,
    classes: BTreeMap<ClassId, ClassTables>,
}

impl Estimator {
    /// An estimator that knows nothing but a typical length.
    pub(crate) fn new(prior_output_tokens: u32) -> Self {
        Estimator {
            prior: prior_hazards(prior_output_tokens),
            service: Table::new(),
            classes: BTreeMap::new(),
        }
    }

    /// A generation that had produced `from` tokens has now produced `to`.
    pub(crate) fn passed(
        &mut self,
        now: Time,
        class: &ClassId,
        customer: &CustomerId,
        from: u32,
        to: u32,
    ) {
        if bin(from) == bin(to) {
            return;
        }
        self.service.pass(from, to);
        let tables = self.class_tables(class);
        tables.table.pass(from, to);
        tables.customer(now, customer).pass(from, to);
    }

    /// A generation ended by itself after `tokens`.
    pub(crate) fn ended(&mut self, now: Time, class: &ClassId, customer: &CustomerId, tokens: u32) {
        self.service.end(tokens);
        let tables = self.class_tables(class);
        tables.table.end(tokens);
        tables.customer(now, customer).end(tokens);
    }

    /// The survival curve of a customer's generations in a class.
    pub(crate) fn curve(&mut self, now: Time, class: &ClassId, customer: &CustomerId) -> &Curve {
        let stale = self.class_tables(class).customer(now, customer).stale(now);
        if stale {
            self.rebuild(now, class, customer);
        }
        &self.class_tables(class).customer(now, customer).curve
    }

    fn rebuild(&mut self, now: Time, class: &ClassId, customer: &CustomerId) {
        let service = self.service.hazards(&self.prior, PRIOR_SAMPLES);
        let tables = self.class_tables(class);
        let parent = tables.table.hazards(&service, PARENT_SAMPLES);
        let table = tables.customer(now, customer);
        let hazards = table.hazards(&parent, PARENT_SAMPLES);
        table.curve = Curve::from_hazards(&hazards);
        table.built = Some(now);
    }

    /// The survival curve of the service, for generations whose customer is not known.
    pub(crate) fn service_curve(&mut self, now: Time) -> &Curve {
        if self.service.stale(now) {
            let hazards = self.service.hazards(&self.prior, PRIOR_SAMPLES);
            self.service.curve = Curve::from_hazards(&hazards);
            self.service.built = Some(now);
        }
        &self.service.curve
    }

    fn class_tables(&mut self, class: &ClassId) -> &mut ClassTables {
        if !self.classes.contains_key(class) {
            self.classes.insert(class.clone(), ClassTables::new());
        }
        self.classes
            .get_mut(class)
            .expect("the tables were just inserted")
    }
}

/// Hazards of a Lomax distribution with the given median.
fn prior_hazards(median_tokens: u32) -> [f32; BINS] {
    let scale = median_tokens.max(1) as f32 / (2f32.powf(1.0 / PRIOR_TAIL) - 1.0);
    let survival = |tokens: u32| (1.0 + tokens as f32 / scale).powf(-PRIOR_TAIL);
    std::array::from_fn(|bin| 1.0 - survival(bin_start(bin + 1)) / survival(bin_start(bin)))
}

#[cfg(test)]
mod tests;
