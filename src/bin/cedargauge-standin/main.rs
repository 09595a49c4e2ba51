//! `cedargauge-standin`: see the README.

fn main() {}
