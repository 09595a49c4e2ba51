//! `cedargauge-admin`: see the README.

fn main() {}
