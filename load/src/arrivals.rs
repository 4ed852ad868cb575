//! Open-loop arrivals: the intended send time of each request, determined by a seed. Requests are
//! sent at these times whether or not earlier ones have been answered.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::{Distribution, Exp};

/// A kind of request, and its arrival rate.
#[derive(Debug, Clone)]
pub(crate) struct RequestKind {
    /// Name in reports.
    pub(crate) label: &'static str,
    pub(crate) service: &'static str,
    pub(crate) customer: &'static str,
    pub(crate) deadline_ms: u64,
    /// Whether the request may run more than once.
    pub(crate) repeatable: bool,
    /// Tokens to generate; 0 for a service without an engine.
    pub(crate) tokens: u64,
    /// Number of different prompt prefixes; 0 for none.
    pub(crate) prefixes: u64,
    /// Requests per second during the phase.
    pub(crate) rate: f64,
    /// Start and end of the phase in seconds; `None` for the whole run.
    pub(crate) phase: Option<(f64, f64)>,
}

/// One request to send.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    /// Intended send time since the start of the run.
    pub(crate) at: Duration,
    /// Index of the kind.
    pub(crate) kind: usize,
    /// Position in the order of send times.
    pub(crate) number: u64,
}

/// Generates Poisson arrivals of all kinds for `seconds`, sorted by time.
pub(crate) fn arrivals(kinds: &[RequestKind], seconds: f64, seed: u64) -> Vec<Arrival> {
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
