//! Simulation of ways to share a target's rate limit among the VMs of a fleet: how many requests
//! the target receives in the worst four seconds, and how much of the rate is used. Only the
//! decisions are simulated, on a virtual clock; nothing is sent.

use std::time::{Duration, Instant};

use eligibility::{Lifetime, PermitDecision, RateLimit, TokenBuckets};
use ids::TargetName;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};

/// Numbers of VMs: small fleets as in use, larger ones, and the expected size.
const VMS: [usize; 5] = [3, 12, 60, 295, 370];
/// Rate limits of the target, in requests per second.
const RATES: [f64; 4] = [0.5, 1.0, 5.0, 50.0];
/// Offered load as a multiple of the rate limit.
const OVERLOAD_FACTOR: f64 = 2.0;
/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(120);
/// Window in which the requests to the target are counted.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// How the VMs of a fleet share the rate.
#[derive(Debug, Clone, Copy)]
enum SharingScheme {
    /// Every VM has an equal share.
    Even,
    /// As many VMs as the target accepts requests per second, selected by hashing, have equal
    /// shares; the others send nothing.
    Few,
    /// One VM holds the token bucket, and the others request tokens from it.
    Account,
}

/// VMs at which requests arrive.
#[derive(Debug, Clone, Copy)]
enum EntryPoint {
    /// All VMs with equal probability.
    AllVms,
    /// One VM, which has no share under `Few` unless every VM has one.
    OneVm,
}

/// Token bucket of capacity 1 for a share of the rate.
struct RateShare {
    /// Refill rate in tokens per second.
    per_s: f64,
    tokens: f64,
    /// Time of the last refill, counted from the start of the simulation.
    refilled_at: Duration,
}

impl RateShare {
    /// Takes a token if there is one.
    fn try_take(&mut self, at: Duration) -> bool {
        let time = (at - self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + self.per_s * time).min(1.0);
        self.refilled_at = at;
        let granted = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(granted));
        granted
    }
}

/// Prints a line for each scheme, entry point, number of VMs and rate.
pub(crate) fn measure(seed: u64) -> errors::Result<()> {
    println!(
        "sharing scheme, requests arrive at, VMs, requests/s: most in 4 s of those allowed, fraction of the rate used"
    );
    for scheme in [SharingScheme::Even, SharingScheme::Few, SharingScheme::Account] {
        for entry in [EntryPoint::AllVms, EntryPoint::OneVm] {
            for vms in VMS {
                for per_s in RATES {
                    let sent = simulate(scheme, entry, vms, per_s, seed)?;
                    // What the tests tolerate: 1.5 times the rate, and 5 requests more.
                    let allowed = 1.5 * per_s * RATE_WINDOW.as_secs_f64() + 5.0;
                    let used = sent.len() as f64 / (per_s * LOAD_DURATION.as_secs_f64());
                    println!(
                        "{scheme:?}, {entry:?}, {vms}, {per_s}: {} of {allowed}, {used:.2}",
                        max_in_window(&sent)
                    );
                }
            }
        }
    }
    Ok(())
}

/// Simulates the load and returns the send times of the requests that the scheme lets through.
fn simulate(
    scheme: SharingScheme,
    entry: EntryPoint,
    vms: usize,
    per_s: f64,
    seed: u64,
) -> errors::Result<Vec<Duration>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let gaps = Exp::new(OVERLOAD_FACTOR * per_s)
        .map_err(|e| errors::Error::bad_input("rate", e.to_string()))?;
    let senders = match scheme {
        SharingScheme::Few => (per_s.round() as usize).clamp(1, vms),
        SharingScheme::Even | SharingScheme::Account => vms,
    };
    let share =
        |_| RateShare { per_s: per_s / senders as f64, tokens: 0.0, refilled_at: Duration::ZERO };
    let mut shares: Vec<RateShare> = (0..senders).map(share).collect();
    let (mut buckets, start) = (TokenBuckets::default(), Instant::now());
    let lifetime = Lifetime { target: TargetName::new("target")?, born: None };
    let limit = RateLimit::new(per_s);
    let mut try_send = |vm: usize, at: Duration| match (scheme, limit) {
        (SharingScheme::Account, Some(limit)) => {
            let decision = buckets.acquire(&lifetime, limit, Duration::ZERO, start + at);
            matches!(decision, PermitDecision::Granted(_))
        }
        _ => shares.get_mut(vm).is_some_and(|share| share.try_take(at)),
    };
    let (mut at, mut sent) = (Duration::ZERO, Vec::new());
    while at < LOAD_DURATION {
        at += Duration::from_secs_f64(gaps.sample(&mut rng));
        let vm = match entry {
            EntryPoint::AllVms => rng.random_range(0..vms),
            EntryPoint::OneVm => vms - 1,
        };
        if try_send(vm, at) {
            sent.push(at);
        }
    }
    Ok(sent)
}

/// Largest number of requests sent within any `RATE_WINDOW`.
fn max_in_window(sent: &[Duration]) -> usize {
    let within = |first: &Duration| {
        sent.iter().filter(|at| (*first..*first + RATE_WINDOW).contains(at)).count()
    };
    sent.iter().map(within).max().unwrap_or(0)
}
