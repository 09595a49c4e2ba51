//! `cedargauge-timeline`: see the README.

fn main() {}
