//! `cedargauge`: see the README.

fn main() {}
