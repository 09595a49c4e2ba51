//! `cedargauge-replay`: see the README.

fn main() {}
