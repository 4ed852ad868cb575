//! Targets for the tests of this crate.

// A fixture that can't be set up fails its test.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use ids::{HallName, ServiceName, TargetName};
use intent::Target;

/// Returns a target in the given hall. The target has announced nothing.
pub fn target(hall: &str) -> Target {
    Target {
        id: TargetName::new("t").unwrap(),
        born: None,
        service: ServiceName::new("s").unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        hall: HallName::new(hall).unwrap(),
        version: None,
        slots: 1,
        leaving: false,
        backoff_until: None,
        rate_limited_until: None,
        request_interval: None,
        cold_start_remaining: Duration::ZERO,
    }
}
