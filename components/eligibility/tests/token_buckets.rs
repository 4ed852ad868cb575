//! Token buckets grant no more permits than the rate limit allows, whoever asks, and nearly all of
//! these.

// A fixture that can't be set up fails its test.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use eligibility::{Lifetime, PermitDecision, RateLimit, TokenBuckets};
use ids::TargetName;
use proptest::prelude::{ProptestConfig, prop_assert, proptest};

/// Window in which the requests to a target are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time for which requests arrive.
const LOAD_TIME: Duration = Duration::from_secs(40);
/// Time for which two VMs may both hold a bucket after one became silent or a link was lost.
const OVERLAP: Duration = Duration::from_secs(1);

fn lifetime() -> Lifetime {
    Lifetime { target: TargetName::new("t").unwrap(), born: None }
}

fn rate(per_s: f64) -> RateLimit {
    RateLimit::new(per_s).unwrap()
}

/// Requests that a target tolerates within the window.
fn tolerated(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

fn most_within(window: Duration, sent: &[Instant]) -> usize {
    let within =
        |first: &Instant| sent.iter().filter(|at| (*first..*first + window).contains(at)).count();
    sent.iter().map(within).max().unwrap_or(0)
}

#[test]
fn bucket_starts_with_a_debt_and_refills_at_the_rate() {
    let start = Instant::now();
    let mut buckets = TokenBuckets::default();
    let mut ask = |after: u64| {
        let at = start + Duration::from_millis(after);
        buckets.acquire(&lifetime(), rate(2.0), Duration::ZERO, at)
    };

    assert_eq!(ask(0), PermitDecision::Denied(Duration::from_millis(1500)));
    assert_eq!(ask(1500), PermitDecision::Granted(Duration::ZERO));
    assert!(matches!(ask(1600), PermitDecision::Denied(_)));
    // The bucket holds at most two and a half permits, however long nobody asked.
    assert_eq!(ask(30_000), PermitDecision::Granted(Duration::ZERO));
    assert_eq!(ask(30_000), PermitDecision::Granted(Duration::ZERO));
    assert_eq!(ask(30_250), PermitDecision::Granted(Duration::ZERO));
    assert!(matches!(ask(30_300), PermitDecision::Denied(_)));
}

#[test]
fn request_that_can_wait_reserves_the_next_permit() {
    let start = Instant::now();
    let mut buckets = TokenBuckets::default();
    let mut ask =
        |within| buckets.acquire(&lifetime(), rate(2.0), Duration::from_millis(within), start);

    assert_eq!(ask(2200), PermitDecision::Granted(Duration::from_millis(1500)));
    assert_eq!(ask(2200), PermitDecision::Granted(Duration::from_secs(2)));
    assert_eq!(ask(2200), PermitDecision::Denied(Duration::from_millis(300)));
}

#[test]
fn requests_sent_without_a_permit_are_counted() {
    let now = Instant::now();
    let mut buckets = TokenBuckets::default();

    assert_eq!(buckets.consume(&lifetime(), rate(1.0), now), Duration::from_secs(3));
    assert_eq!(buckets.time_until_permit(&lifetime(), rate(1.0), now), Duration::from_secs(3));
    buckets.remove_expired(now + LOAD_TIME * 2);
    assert_eq!(buckets.time_until_permit(&lifetime(), rate(1.0), now), Duration::from_secs(2));
}

/// When each VM begins to hold the bucket, and until when it is asked. After a handover it is still
/// asked for a while by VMs that have not learned of the next holder. `handovers` gives the
/// milliseconds from one handover to the next.
fn holders(handovers: &[u64]) -> Vec<(Duration, Duration)> {
    let mut begins = vec![Duration::ZERO];
    for handover in handovers {
        let last = begins[begins.len() - 1];
        begins.push(last + Duration::from_millis(*handover));
    }
    let ends = begins.iter().skip(1).map(|next| *next + OVERLAP).chain([LOAD_TIME * 2]);
    begins.iter().copied().zip(ends).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// VMs ask in any order while the bucket is handed over from one VM to the next. After each
    /// handover some VMs ask the previous holder for a while.
    #[test]
    fn target_never_gets_more_than_it_tolerates_and_nearly_its_full_rate(
        per_s in 0.2f64..60.0,
        gaps in proptest::collection::vec(1u64..2000, 64),
        handovers in proptest::collection::vec(1000u64..15_000, 0..8),
        max_wait_ms in 0u64..500,
    ) {
        let start = Instant::now();
        let (limit, within) = (rate(per_s), Duration::from_millis(max_wait_ms));
        let holders = holders(&handovers);
        let mut buckets: Vec<TokenBuckets> =
            holders.iter().map(|_| TokenBuckets::default()).collect();
        let mut sent = Vec::new();
        // Requests arrive at twice the rate limit.
        let mean_gap = Duration::from_secs_f64(0.5 / per_s);
        let (mut at, mut asked) = (Duration::ZERO, 0);
        while at < LOAD_TIME {
            at += mean_gap.mul_f64(gaps[asked % gaps.len()] as f64 / 1000.0);
            asked += 1;
            let is_asked = |(begin, end): &(Duration, Duration)| (*begin..*end).contains(&at);
            let current: Vec<usize> =
                (0..holders.len()).filter(|n| is_asked(&holders[*n])).collect();
            let holder = current[asked % current.len()];
            let decision = buckets[holder].acquire(&lifetime(), limit, within, start + at);
            if let PermitDecision::Granted(wait) = decision {
                sent.push(start + at + wait);
            }
        }
        sent.sort_unstable();

        let most = most_within(WINDOW, &sent);
        prop_assert!(most <= tolerated(per_s), "{most} sent, {} tolerated", tolerated(per_s));
        // Each handover costs the debt of a new bucket and the permits accumulated in the previous
        // one.
        let handed_over = handovers.len() as f64;
        let held_s = LOAD_TIME.as_secs_f64() - 1.0 - handed_over;
        let expected = (per_s * held_s.max(0.0) * 0.85 - handed_over - 2.0).max(0.0);
        prop_assert!(sent.len() as f64 >= expected, "{} sent, {expected} expected", sent.len());
    }
}
