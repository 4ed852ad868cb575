//! Random answers of two versions, drawn from a seed.

// A fixture that can't be set up fails its test; not every test file uses all of them.
#![allow(clippy::unwrap_used, dead_code)]

use std::time::Duration;

use rollout::Observation;

/// Numbers from 0 to 1 that follow from a seed.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(hashing::combine(seed, 7))
    }

    pub fn next(&mut self) -> f64 {
        self.0 = hashing::combine(self.0, 1);
        hashing::unit_fraction(self.0)
    }
}

/// How the targets of a version answer.
#[derive(Debug, Clone, Copy)]
pub struct Quality {
    /// Fraction of the answers that are failures.
    pub failures: f64,
    /// Factor on the usual time of an answer.
    pub slowdown: f64,
}

/// A version like those before it: a few answers in a hundred are failures.
pub const GOOD: Quality = Quality { failures: 0.03, slowdown: 1.0 };
/// A version that fails a part of its requests.
pub const FAILING: Quality = Quality { failures: 0.4, slowdown: 1.0 };
/// A version that takes several times as long.
pub const SLOW: Quality = Quality { failures: 0.03, slowdown: 5.0 };

/// Draws an answer: a failure, or a time that varies by a factor of four.
pub fn answer(quality: Quality, random: &mut Random) -> Observation {
    if random.next() < quality.failures {
        return Observation::Failed;
    }
    let usual = 40.0 * 4.0_f64.powf(random.next());
    Observation::Took(Duration::from_secs_f64(usual * quality.slowdown / 1e3))
}
