//! Token buckets that enforce the rate limit which a target announced for all VMs together.
//!
//! One VM holds the bucket of a target, and the others ask that VM for permits to send one request
//! each. A bucket refills at the limit, whoever asks. A new bucket starts with a debt, so that a VM
//! that takes it over from another one does not grant the same permits again.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::{Lifetime, RateLimit};

/// Permits that a bucket accumulates, so that bursts of requests can use what the target allows.
/// This constant part serves low rates, [`BURST_TIME`] high ones.
const BURST: f64 = 2.0;
/// Time over which a bucket accumulates permits at its rate, in addition to [`BURST`].
const BURST_TIME: Duration = Duration::from_millis(250);
/// Time for which a new bucket grants nothing. Another VM may still hold the target's bucket, or no
/// VM has asked for a permit yet. A silent peer is considered gone after the same time.
const HANDOVER: Duration = Duration::from_secs(1);
/// Time after which an unused bucket is removed. A bucket that is created again starts with its
/// debt, so the next request has to wait.
const IDLE_TTL: Duration = Duration::from_secs(60);

/// Decision on a permit to send one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitDecision {
    /// It may be sent after this time. The permit is reserved for it.
    Granted(Duration),
    /// It may not be sent in the time that it can wait. Another attempt after this time may
    /// succeed.
    Denied(Duration),
}

#[derive(Debug)]
struct TokenBucket {
    /// Permits that are available; negative if some were granted in advance.
    permits: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn refill(&mut self, limit: RateLimit, now: Instant) {
        let time = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        let capacity = BURST + limit.per_s() * BURST_TIME.as_secs_f64();
        self.permits = (self.permits + limit.per_s() * time).min(capacity);
        self.refilled_at = now;
    }

    /// Returns the time until one whole permit is available.
    fn wait(&self, limit: RateLimit) -> Duration {
        Duration::from_secs_f64((1.0 - self.permits).max(0.0) / limit.per_s())
    }
}

/// The token buckets that this VM holds, by lifetime of the target.
#[derive(Debug, Default)]
pub struct TokenBuckets(HashMap<Lifetime, TokenBucket>);

impl TokenBuckets {
    /// Requests a permit for a request that can wait for `within`.
    pub fn acquire(
        &mut self,
        lifetime: &Lifetime,
        limit: RateLimit,
        within: Duration,
        now: Instant,
    ) -> PermitDecision {
        let bucket = self.refilled(lifetime, limit, now);
        let wait = bucket.wait(limit);
        if wait > within {
            return PermitDecision::Denied(wait - within);
        }
        bucket.permits -= 1.0;
        PermitDecision::Granted(wait)
    }

    /// Counts a request that is sent without a permit; returns the time until the next permit is
    /// available.
    pub fn consume(&mut self, lifetime: &Lifetime, limit: RateLimit, now: Instant) -> Duration {
        let bucket = self.refilled(lifetime, limit, now);
        bucket.permits -= 1.0;
        bucket.wait(limit)
    }

    /// Returns the time until a permit is available.
    pub fn time_until_permit(
        &mut self,
        lifetime: &Lifetime,
        limit: RateLimit,
        now: Instant,
    ) -> Duration {
        self.refilled(lifetime, limit, now).wait(limit)
    }

    /// Removes the bucket of a lifetime. A new one starts with its debt.
    pub fn remove(&mut self, lifetime: &Lifetime) {
        self.0.remove(lifetime);
    }

    /// Removes the buckets that are no longer used.
    pub fn remove_expired(&mut self, now: Instant) {
        self.0.retain(|_, bucket| now.saturating_duration_since(bucket.refilled_at) < IDLE_TTL);
    }

    fn refilled(
        &mut self,
        lifetime: &Lifetime,
        limit: RateLimit,
        now: Instant,
    ) -> &mut TokenBucket {
        let new_bucket =
            || TokenBucket { permits: -limit.per_s() * HANDOVER.as_secs_f64(), refilled_at: now };
        let bucket = self.0.entry(lifetime.clone()).or_insert_with(new_bucket);
        bucket.refill(limit, now);
        bucket
    }
}
