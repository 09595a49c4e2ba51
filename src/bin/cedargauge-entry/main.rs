//! `cedargauge-entry`: see the README.

fn main() {}
