//! Permits: never more than a rate allows, whoever asks, and nearly all that it allows.

// A fixture that can't be set up fails its test.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use eligibility::{Decision, Lifetime, RateLimit, TokenBuckets};
use ids::TargetName;
use proptest::prelude::{ProptestConfig, prop_assert, proptest};

/// The span in which what a target gets is counted.
const SPAN: Duration = Duration::from_secs(4);
/// For how long requests come.
const LOAD: Duration = Duration::from_secs(40);
/// For how long two VMs may hold an account after one fell silent, or a link was lost.
const BOTH: Duration = Duration::from_secs(1);

fn lifetime() -> Lifetime {
    Lifetime { target: TargetName::new("t").unwrap(), born: None }
}

fn rate(per_s: f64) -> RateLimit {
    RateLimit::new(per_s).unwrap()
}

/// What a target bears within the span.
fn borne(per_s: f64) -> usize {
    (1.5 * per_s * SPAN.as_secs_f64() + 5.0) as usize
}

fn most_within(span: Duration, sent: &[Instant]) -> usize {
    let within =
        |first: &Instant| sent.iter().filter(|at| (*first..*first + span).contains(at)).count();
    sent.iter().map(within).max().unwrap_or(0)
}

#[test]
fn an_account_starts_with_a_debt_and_fills_by_the_rate() {
    let start = Instant::now();
    let mut accounts = TokenBuckets::default();
    let mut ask = |after: u64| {
        let at = start + Duration::from_millis(after);
        accounts.acquire(&lifetime(), rate(2.0), Duration::ZERO, at)
    };

    assert_eq!(ask(0), Decision::Denied(Duration::from_millis(1500)));
    assert_eq!(ask(1500), Decision::Granted(Duration::ZERO));
    assert!(matches!(ask(1600), Decision::Denied(_)));
    // Two and a half are saved up, however long nobody asked.
    assert_eq!(ask(30_000), Decision::Granted(Duration::ZERO));
    assert_eq!(ask(30_000), Decision::Granted(Duration::ZERO));
    assert_eq!(ask(30_250), Decision::Granted(Duration::ZERO));
    assert!(matches!(ask(30_300), Decision::Denied(_)));
}

#[test]
fn a_request_that_can_wait_gets_the_next_permit_for_itself() {
    let start = Instant::now();
    let mut accounts = TokenBuckets::default();
    let mut ask =
        |within| accounts.acquire(&lifetime(), rate(2.0), Duration::from_millis(within), start);

    assert_eq!(ask(2200), Decision::Granted(Duration::from_millis(1500)));
    assert_eq!(ask(2200), Decision::Granted(Duration::from_secs(2)));
    assert_eq!(ask(2200), Decision::Denied(Duration::from_millis(300)));
}

#[test]
fn what_is_sent_without_asking_is_counted() {
    let now = Instant::now();
    let mut accounts = TokenBuckets::default();

    assert_eq!(accounts.consume(&lifetime(), rate(1.0), now), Duration::from_secs(3));
    assert_eq!(accounts.wait(&lifetime(), rate(1.0), now), Duration::from_secs(3));
    accounts.remove_expired(now + LOAD * 2);
    assert_eq!(accounts.wait(&lifetime(), rate(1.0), now), Duration::from_secs(2));
}

/// When each VM begins to hold the account, and until when it is asked: for a while also by those who have not heard
/// of the next one.
fn holders(pauses: &[u64]) -> Vec<(Duration, Duration)> {
    let mut begins = vec![Duration::ZERO];
    for pause in pauses {
        let last = begins[begins.len() - 1];
        begins.push(last + Duration::from_millis(*pause));
    }
    let ends = begins.iter().skip(1).map(|next| *next + BOTH).chain([LOAD * 2]);
    begins.iter().copied().zip(ends).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// VMs ask in any order while the account goes from one VM to the next, each time with a while in which some
    /// ask the one before.
    #[test]
    fn a_target_gets_what_it_bears_and_nearly_all_that_it_takes(
        per_s in 0.2f64..60.0,
        pauses in proptest::collection::vec(1u64..2000, 64),
        handovers in proptest::collection::vec(1000u64..15_000, 0..8),
        patience in 0u64..500,
    ) {
        let start = Instant::now();
        let (limit, within) = (rate(per_s), Duration::from_millis(patience));
        let holders = holders(&handovers);
        let mut accounts: Vec<TokenBuckets> = holders.iter().map(|_| TokenBuckets::default()).collect();
        let mut sent = Vec::new();
        // Twice as many ask as are allowed.
        let mean = Duration::from_secs_f64(0.5 / per_s);
        let (mut at, mut asked) = (Duration::ZERO, 0);
        while at < LOAD {
            at += mean.mul_f64(pauses[asked % pauses.len()] as f64 / 1000.0);
            asked += 1;
            let asks = |(begin, end): &(Duration, Duration)| (*begin..*end).contains(&at);
            let held: Vec<usize> = (0..holders.len()).filter(|n| asks(&holders[*n])).collect();
            let holder = held[asked % held.len()];
            let decision = accounts[holder].acquire(&lifetime(), limit, within, start + at);
            if let Decision::Granted(wait) = decision {
                sent.push(start + at + wait);
            }
        }
        sent.sort_unstable();

        let most = most_within(SPAN, &sent);
        prop_assert!(most <= borne(per_s), "{most} where {} are borne", borne(per_s));
        // Each handover costs the debt of a new account, and what had been saved up at the one before.
        let handed_over = handovers.len() as f64;
        let held = LOAD.as_secs_f64() - 1.0 - handed_over;
        let allowed = (per_s * held.max(0.0) * 0.85 - handed_over - 2.0).max(0.0);
        prop_assert!(sent.len() as f64 >= allowed, "{} of {allowed}", sent.len());
    }
}
