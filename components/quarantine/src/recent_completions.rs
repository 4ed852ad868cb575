//! Requests that recently completed at a target and so are not suspected of crashing targets.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::RequestDigest;

/// Most completions that are remembered, which takes 80 KB. The oldest is evicted first.
const MAX_COMPLETIONS: usize = 2048;
/// Time for which a completion is remembered. It is longer than the time limits of requests, so
/// that a request that is sent repeatedly is always present, and short enough that one which starts
/// to crash targets is not exempt for long.
const TTL: Duration = Duration::from_secs(30);

/// Requests of this VM that recently completed.
#[derive(Debug, Default)]
pub(crate) struct RecentCompletions {
    /// When each request last completed.
    at: HashMap<RequestDigest, Instant>,
    /// All completions, the earliest first.
    order: VecDeque<(Instant, RequestDigest)>,
}

impl RecentCompletions {
    /// Records that a request completed.
    pub(crate) fn record(&mut self, digest: RequestDigest, now: Instant) {
        self.at.insert(digest, now);
        self.order.push_back((now, digest));
        while self.order.len() > MAX_COMPLETIONS {
            self.drop_oldest();
        }
    }

    /// Whether a request completed recently.
    pub(crate) fn contains(&self, digest: &RequestDigest, now: Instant) -> bool {
        self.at.get(digest).is_some_and(|at| now.saturating_duration_since(*at) < TTL)
    }

    fn drop_oldest(&mut self) {
        let Some((at, digest)) = self.order.pop_front() else { return };
        // A later completion of the same request replaced this one.
        if self.at.get(&digest) == Some(&at) {
            self.at.remove(&digest);
        }
    }
}
