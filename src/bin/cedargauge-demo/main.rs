//! `cedargauge-demo`: see the README.

fn main() {}
