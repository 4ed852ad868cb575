//! Placeholder until arrivals are sent.

fn main() {}
