//! Ways to hold a fleet to the rate that a target names: what the target gets in the worst four seconds, and how much
//! of the rate is used. Decisions only, in a time of their own.

use std::time::{Duration, Instant};

use eligibility::{Lifetime, PermitDecision, RateLimit, TokenBuckets};
use ids::TargetName;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};

/// VMs of a fleet: today's small ones, larger ones, and the size that is expected.
const VMS: [usize; 5] = [3, 12, 60, 295, 370];
/// Requests a second that the target takes.
const RATES: [f64; 4] = [0.5, 1.0, 5.0, 50.0];
/// Requests that come for each one that the target takes.
const PRESSURE: f64 = 2.0;
/// For how long they come.
const LOAD: Duration = Duration::from_secs(120);
/// The span in which the rule counts.
const SPAN: Duration = Duration::from_secs(4);

/// How a fleet shares the rate.
#[derive(Debug, Clone, Copy)]
enum Way {
    /// Each VM has the same part.
    Even,
    /// As many VMs as the target takes requests a second, found by hashing, have the same part.
    Few,
    /// One VM holds the account, and the others ask it.
    Account,
}

/// Where requests come in.
#[derive(Debug, Clone, Copy)]
enum Entry {
    AllVms,
    /// One that is not among the first by hashing, unless there are no others.
    OneVm,
}

/// A part of the rate.
struct Part {
    per_s: f64,
    permits: f64,
    at: Duration,
}

impl Part {
    fn take(&mut self, at: Duration) -> bool {
        let time = (at - self.at).as_secs_f64();
        self.permits = (self.permits + self.per_s * time).min(1.0);
        self.at = at;
        let takes = self.permits >= 1.0;
        self.permits -= f64::from(u8::from(takes));
        takes
    }
}

/// Prints a table of all ways, sizes and rates.
pub(crate) fn measure(seed: u64) -> errors::Result<()> {
    println!("way, requests come in at, VMs, rate a second: worst 4 s of those borne, part used");
    for way in [Way::Even, Way::Few, Way::Account] {
        for entry in [Entry::AllVms, Entry::OneVm] {
            for vms in VMS {
                for per_s in RATES {
                    let sent = play(way, entry, vms, per_s, seed)?;
                    let borne = 1.5 * per_s * SPAN.as_secs_f64() + 5.0;
                    let used = sent.len() as f64 / (per_s * LOAD.as_secs_f64());
                    println!(
                        "{way:?}, {entry:?}, {vms}, {per_s}: {} of {borne}, {used:.2}",
                        most_within_span(&sent)
                    );
                }
            }
        }
    }
    Ok(())
}

fn play(
    way: Way,
    entry: Entry,
    vms: usize,
    per_s: f64,
    seed: u64,
) -> errors::Result<Vec<Duration>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let pause =
        Exp::new(PRESSURE * per_s).map_err(|e| errors::Error::bad_input("rate", e.to_string()))?;
    let senders = match way {
        Way::Few => (per_s.round() as usize).clamp(1, vms),
        Way::Even | Way::Account => vms,
    };
    let part = |_| Part { per_s: per_s / senders as f64, permits: 0.0, at: Duration::ZERO };
    let mut parts: Vec<Part> = (0..senders).map(part).collect();
    let (mut account, start) = (TokenBuckets::default(), Instant::now());
    let lifetime = Lifetime { target: TargetName::new("target")?, born: None };
    let limit = RateLimit::new(per_s);
    let mut ask = |vm: usize, at: Duration| match (way, limit) {
        (Way::Account, Some(limit)) => {
            let decision = account.acquire(&lifetime, limit, Duration::ZERO, start + at);
            matches!(decision, PermitDecision::Granted(_))
        }
        _ => parts.get_mut(vm).is_some_and(|part| part.take(at)),
    };
    let (mut at, mut sent) = (Duration::ZERO, Vec::new());
    while at < LOAD {
        at += Duration::from_secs_f64(pause.sample(&mut rng));
        let vm = match entry {
            Entry::AllVms => rng.random_range(0..vms),
            Entry::OneVm => vms - 1,
        };
        if ask(vm, at) {
            sent.push(at);
        }
    }
    Ok(sent)
}

fn most_within_span(sent: &[Duration]) -> usize {
    let within =
        |first: &Duration| sent.iter().filter(|at| (*first..*first + SPAN).contains(at)).count();
    sent.iter().map(within).max().unwrap_or(0)
}
