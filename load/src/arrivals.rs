//! Open-loop arrivals: when each request is meant to be sent, fixed by a seed.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::{Distribution, Exp};

/// One kind of requests.
#[derive(Debug, Clone)]
pub(crate) struct Kind {
    pub(crate) label: &'static str,
    pub(crate) service: &'static str,
    pub(crate) customer: &'static str,
    pub(crate) deadline_ms: u64,
    pub(crate) repeatable: bool,
    /// Tokens that the request generates; 0 for a plain service.
    pub(crate) tokens: u64,
    /// Prompt prefixes to draw from; 0 for none.
    pub(crate) prefixes: u64,
    /// Requests a second while the phase lasts.
    pub(crate) rate: f64,
    /// First and last second of the phase; `None` means from the begin to the end.
    pub(crate) phase: Option<(f64, f64)>,
}

/// One request to send.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) kind: usize,
    pub(crate) number: u64,
}

/// Poisson arrivals of all kinds, by time.
pub(crate) fn arrivals(kinds: &[Kind], seconds: f64, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (index, kind) in kinds.iter().enumerate() {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1000) + index as u64);
        let Ok(gaps) = Exp::new(kind.rate) else {
            continue;
        };
        let (from, to) = kind.phase.unwrap_or((0.0, seconds));
        let mut at = from + gaps.sample(&mut rng);
        while at < to.min(seconds) {
            all.push(Arrival { at: Duration::from_secs_f64(at), kind: index, number: 0 });
            at += gaps.sample(&mut rng);
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    for (number, arrival) in all.iter_mut().enumerate() {
        arrival.number = number as u64;
    }
    all
}
