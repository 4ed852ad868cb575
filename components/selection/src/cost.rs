//! What a call would cost at each target: its load, hall and health, and for engines the tokens that it
//! has to read, in requests at work.

use std::time::Instant;

use crate::choice::{CallSize, SelectionRequest, TargetKey};
use crate::targets::Targets;

/// Cost of a call to another hall, in parts of a slot in use.
const OTHER_HALL: f64 = 0.25;
/// Prompt tokens to which a request at work is equal: it slows each step by a few hundredths, which
/// over an answer is the time in which so many tokens are read. With 40, engines that stand nearly empty read
/// a tenth less of shared parts again, and a deployment of busy ones loses 0.015 of its loaded days.
const TOKENS_PER_REQUEST: f64 = 120.0;
/// Weight of tokens that others have yet to read there against own ones: they cost a wait, but no
/// work that would be done twice.
const QUEUED_PART: f64 = 0.3;
/// Tokens to which a megabyte of results that lie in another hall is equal.
const TOKENS_PER_FAR_MB: f64 = 500.0;
/// Part of a prompt's shared tokens that its home by hashing is believed to keep.
const HOME_BELIEF: f64 = 1.0;
/// Bytes of a megabyte.
const BYTES_PER_MB: f64 = 1e6;
/// What a target that fails all its calls costs, in requests at work.
const FAILING_COST: f64 = 200.0;

impl Targets {
    pub(crate) fn cheapest(
        &self,
        among: &[TargetKey],
        wanted: &SelectionRequest<'_>,
        now: Instant,
    ) -> Option<TargetKey> {
        let home = self.home_of(among, wanted);
        let costs = among.iter().map(|key| (*key, self.cost(*key, home, wanted, now)));
        costs.min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(key, _)| key)
    }

    /// The home of a call's prompt, found once for all that are compared: 7 us a choice among 240
    /// targets, not 1,151 (`saddlerail-load choice`).
    pub(crate) fn home_of(
        &self,
        among: &[TargetKey],
        wanted: &SelectionRequest<'_>,
    ) -> Option<TargetKey> {
        self.home(among, wanted.size?)
    }

    pub(crate) fn cost(
        &self,
        key: TargetKey,
        home: Option<TargetKey>,
        wanted: &SelectionRequest<'_>,
        now: Instant,
    ) -> f64 {
        let known = &self.arena[key];
        let calls = known.calls_known(now);
        let failing = known.failing * FAILING_COST;
        match wanted.size {
            None => {
                let far = if known.target.hall == self.own_hall { 0.0 } else { OTHER_HALL };
                let full = (calls + 1.0) / f64::from(known.target.slots);
                // Nothing waits below one call a slot, so only then load goes before the hall.
                full.max(far) + far + known.failing
            }
            Some(size) => {
                let believed = if home == Some(key) { HOME_BELIEF } else { 0.0 };
                let shared = shared_tokens(size) as f64 * believed;
                let unread = (known.unread_of(size) as f64 - shared).max(0.0);
                let far: u64 =
                    size.inputs.iter().filter(|(h, _)| *h != known.target.hall).map(|i| i.1).sum();
                let tokens = unread
                    + known.unread_known(now) as f64 * QUEUED_PART
                    + far as f64 / BYTES_PER_MB * TOKENS_PER_FAR_MB;
                tokens / TOKENS_PER_REQUEST + calls + failing
            }
        }
    }

    /// The target to which the prompt's shared start belongs by rendezvous hashing.
    pub(crate) fn home(&self, among: &[TargetKey], size: &CallSize) -> Option<TargetKey> {
        let shared = size.chain.len().checked_sub(2)?;
        let (start, _) = size.chain[shared];
        among.iter().copied().max_by_key(|key| hashing::combine(start, self.arena[*key].id_hash))
    }
}

/// Tokens of the prompt before its last part, which is the request's own.
fn shared_tokens(size: &CallSize) -> u64 {
    let before_last = size.chain.len().checked_sub(2);
    before_last.map_or(0, |index| size.chain[index].1)
}
