//! Permits to send one request to a target that named the rate which it takes from all VMs together.
//!
//! One VM holds the account of a target, and the others ask it. An account fills by the rate, whoever asks. It
//! starts with a debt, so that a VM that takes an account over from another one hands out nothing twice.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::{Lifetime, RateLimit};

/// Permits that are saved up, so that requests which come in bunches use what the target allows; the part by time
/// serves high rates, the other one low ones.
const SAVED: f64 = 2.0;
/// Time for which the rate is saved up beside these.
const SAVED_FOR: Duration = Duration::from_millis(250);
/// A new account hands out nothing for this long: another VM may hold it still, or none asked yet. A peer that says
/// nothing is taken for gone after as long.
const TAKEN_OVER: Duration = Duration::from_secs(1);
/// An account that nobody asked for this long is forgotten: it starts anew, which costs a wait.
const LIFE: Duration = Duration::from_secs(60);

/// Whether one request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It may be, after this time; nobody else gets the same permit.
    Granted(Duration),
    /// It may not be in the time that it can wait; asked again after this time it might.
    Denied(Duration),
}

#[derive(Debug)]
struct Account {
    /// Permits that are left; below nothing for those that were promised.
    permits: f64,
    at: Instant,
}

impl Account {
    fn fill(&mut self, limit: RateLimit, now: Instant) {
        let time = now.saturating_duration_since(self.at).as_secs_f64();
        let most = SAVED + limit.per_s() * SAVED_FOR.as_secs_f64();
        self.permits = (self.permits + limit.per_s() * time).min(most);
        self.at = now;
    }

    /// Time until one whole permit is left.
    fn wait(&self, limit: RateLimit) -> Duration {
        Duration::from_secs_f64((1.0 - self.permits).max(0.0) / limit.per_s())
    }
}

/// The accounts that this VM holds, by lifetime.
#[derive(Debug, Default)]
pub struct TokenBuckets(HashMap<Lifetime, Account>);

impl TokenBuckets {
    /// Asks for a permit for a request that can wait for `within`.
    pub fn acquire(
        &mut self,
        lifetime: &Lifetime,
        limit: RateLimit,
        within: Duration,
        now: Instant,
    ) -> Decision {
        let account = self.filled(lifetime, limit, now);
        let wait = account.wait(limit);
        if wait > within {
            return Decision::Denied(wait - within);
        }
        account.permits -= 1.0;
        Decision::Granted(wait)
    }

    /// Counts what is sent without asking; gives the time until the next permit is left.
    pub fn consume(&mut self, lifetime: &Lifetime, limit: RateLimit, now: Instant) -> Duration {
        let account = self.filled(lifetime, limit, now);
        account.permits -= 1.0;
        account.wait(limit)
    }

    /// Time until a permit is left.
    pub fn wait(&mut self, lifetime: &Lifetime, limit: RateLimit, now: Instant) -> Duration {
        self.filled(lifetime, limit, now).wait(limit)
    }

    /// Forgets the account of a lifetime: the next one starts with its debt.
    pub fn remove(&mut self, lifetime: &Lifetime) {
        self.0.remove(lifetime);
    }

    /// Forgets accounts that nobody asks for.
    pub fn remove_expired(&mut self, now: Instant) {
        self.0.retain(|_, account| now.saturating_duration_since(account.at) < LIFE);
    }

    fn filled(&mut self, lifetime: &Lifetime, limit: RateLimit, now: Instant) -> &mut Account {
        let begun = || Account { permits: -limit.per_s() * TAKEN_OVER.as_secs_f64(), at: now };
        let account = self.0.entry(lifetime.clone()).or_insert_with(begun);
        account.fill(limit, now);
        account
    }
}
