//! Cost of a call at each candidate target, from load, hall and recent failures, and for inference
//! engines from the tokens to process.
//!
//! The unit is one slot in use, or for engines one request in progress.

use std::time::Instant;

use crate::choice::{CallSize, SelectionRequest, TargetKey};
use crate::targets::Targets;

/// Cost of a call to another hall, as a fraction of a slot in use.
const OTHER_HALL_COST: f64 = 0.25;
/// Prompt tokens that cost as much as one request in progress. Such a request slows each step of
/// the engine by a few percent; over a whole answer this adds up to the time to process this many
/// tokens. A smaller number reprocesses fewer shared prompt tokens while engines are nearly idle, and
/// loses requests while they are busy.
const TOKENS_PER_REQUEST: f64 = 120.0;
/// Weight of a token that the target still has to process for other calls, relative to one of this
/// call. It costs waiting time, but no repeated work.
const QUEUED_WEIGHT: f64 = 0.3;
/// Tokens that cost as much as fetching one megabyte of inputs from another hall.
const TOKENS_PER_REMOTE_MB: f64 = 500.0;
/// Fraction of a prompt's shared tokens that is assumed to be cached at its home, the target to
/// which rendezvous hashing assigns it.
const HOME_CACHED: f64 = 1.0;
const BYTES_PER_MB: f64 = 1e6;
/// Cost of a target that fails all its calls, in requests in progress.
const FAILURE_COST: f64 = 200.0;

impl Targets {
    /// Returns the target with the lowest cost.
    pub(crate) fn cheapest(
        &self,
        candidates: &[TargetKey],
        request: &SelectionRequest<'_>,
        now: Instant,
    ) -> Option<TargetKey> {
        let home = self.prompt_home(candidates, request);
        let costs = candidates.iter().map(|key| (*key, self.cost(*key, home, request, now)));
        costs.min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(key, _)| key)
    }

    /// Returns the home of a call's prompt. It is computed once for all candidates, so that the
    /// time of a selection grows with their number only (`saddlerail-load choice`).
    pub(crate) fn prompt_home(
        &self,
        candidates: &[TargetKey],
        request: &SelectionRequest<'_>,
    ) -> Option<TargetKey> {
        self.home(candidates, request.size?)
    }

    /// Returns the cost of a call at the target `key`; `home` is the home of its prompt.
    pub(crate) fn cost(
        &self,
        key: TargetKey,
        home: Option<TargetKey>,
        request: &SelectionRequest<'_>,
        now: Instant,
    ) -> f64 {
        let state = &self.states[key];
        let calls = state.total_calls(now);
        let failure_cost = state.failure_rate * FAILURE_COST;
        match request.size {
            None => {
                let remote_cost =
                    if state.target.hall == self.own_hall { 0.0 } else { OTHER_HALL_COST };
                let utilization = (calls + 1.0) / f64::from(state.target.slots);
                // Nothing waits below one call per slot, so the hall outweighs the load at low
                // utilization.
                utilization.max(remote_cost) + remote_cost + state.failure_rate
            }
            Some(size) => {
                let cached_fraction = if home == Some(key) { HOME_CACHED } else { 0.0 };
                let shared = shared_tokens(size) as f64 * cached_fraction;
                let unread = (state.uncached_tokens(size) as f64 - shared).max(0.0);
                let remote_bytes: u64 = size
                    .inputs
                    .iter()
                    .filter(|(hall, _)| *hall != state.target.hall)
                    .map(|input| input.1)
                    .sum();
                let tokens = unread
                    + state.total_unread(now) as f64 * QUEUED_WEIGHT
                    + remote_bytes as f64 / BYTES_PER_MB * TOKENS_PER_REMOTE_MB;
                tokens / TOKENS_PER_REQUEST + calls + failure_cost
            }
        }
    }

    /// Returns the target to which rendezvous hashing assigns the shared prefix of the prompt;
    /// `None` if it has none.
    pub(crate) fn home(&self, candidates: &[TargetKey], size: &CallSize) -> Option<TargetKey> {
        let last_shared = size.chain.len().checked_sub(2)?;
        let (prefix_hash, _) = size.chain[last_shared];
        candidates
            .iter()
            .copied()
            .max_by_key(|key| hashing::combine(prefix_hash, self.states[*key].id_hash))
    }
}

/// Returns the tokens of the prompt before its last part. That part belongs to this request alone.
fn shared_tokens(size: &CallSize) -> u64 {
    let before_last = size.chain.len().checked_sub(2);
    before_last.map_or(0, |index| size.chain[index].1)
}
