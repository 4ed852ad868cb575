//! Contents that a target ran to a good end of late.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::RequestDigest;

/// Contents that are remembered, 80 KB; the oldest goes first.
const MOST: usize = 2048;
/// Time for which they are remembered: longer than the time limits of requests, so that one that is sent
/// again and again is always among them, and short, so that one that begins to end targets is not spared.
const LIFE: Duration = Duration::from_secs(30);

/// Contents that ended well of late, at this VM.
#[derive(Debug, Default)]
pub(crate) struct RecentCompletions {
    at: HashMap<RequestDigest, Instant>,
    order: VecDeque<(Instant, RequestDigest)>,
}

impl RecentCompletions {
    /// Notes that one ended well.
    pub(crate) fn note(&mut self, content: RequestDigest, now: Instant) {
        self.at.insert(content, now);
        self.order.push_back((now, content));
        while self.order.len() > MOST {
            self.drop_oldest();
        }
    }

    /// Whether one ended well of late.
    pub(crate) fn has(&self, content: &RequestDigest, now: Instant) -> bool {
        self.at.get(content).is_some_and(|at| now.saturating_duration_since(*at) < LIFE)
    }

    fn drop_oldest(&mut self) {
        let Some((at, content)) = self.order.pop_front() else { return };
        // It may have ended well again since.
        if self.at.get(&content) == Some(&at) {
            self.at.remove(&content);
        }
    }
}
