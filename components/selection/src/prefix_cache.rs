//! Estimate of the prompt prefixes that an engine has in its cache, from the prompts that this VM
//! sent to it.

use std::collections::HashMap;
use std::time::Instant;

/// Most prefixes that are kept for a target. It bounds those that add few tokens or none.
const MAX_PREFIXES: usize = 4096;

/// The prefixes of a prompt, shortest first: for each, the hash of its parts and its length in
/// tokens.
pub type Chain = Vec<(u64, u64)>;

/// Returns the prefixes of a prompt for `model`, shortest first. `parts` gives the id and the
/// number of tokens of each part of the prompt.
pub fn prefix_chain(model: &str, parts: impl Iterator<Item = (u64, u32)>) -> Chain {
    let mut hash = hashing::hash_text(model);
    let mut tokens = 0;
    parts
        .map(|(id, length)| {
            hash = hashing::combine(hash, id);
            tokens += u64::from(length);
            (hash, tokens)
        })
        .collect()
}

/// Prompt prefixes that were sent to one target. The least recently used ones are evicted first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    /// By hash of the prefix: when it was last used, and the tokens that it adds to the next
    /// shorter one.
    cached: HashMap<u64, (Instant, u64)>,
    /// Sum of these tokens over all cached prefixes.
    tokens: u64,
}

impl PrefixCache {
    /// Returns how many leading tokens of the prompt are probably in the target's cache.
    pub(crate) fn cached_tokens(&self, chain: &[(u64, u64)]) -> u64 {
        let known = chain.iter().take_while(|(hash, _)| self.cached.contains_key(hash));
        known.last().map_or(0, |(_, tokens)| *tokens)
    }

    /// Records that the prompt was sent to a target whose cache holds `capacity_tokens` tokens.
    pub(crate) fn record(&mut self, chain: &[(u64, u64)], capacity_tokens: u64, now: Instant) {
        let mut before = 0;
        for (hash, tokens) in chain {
            let own = tokens - before;
            before = *tokens;
            if self.cached.insert(*hash, (now, own)).is_none() {
                self.tokens += own;
            }
        }
        if self.cached.len() > MAX_PREFIXES {
            self.evict_oldest(MAX_PREFIXES / 8);
        }
        while self.tokens > capacity_tokens {
            let oldest = self.cached.iter().min_by_key(|(_, (at, _))| *at).map(|(hash, _)| *hash);
            let Some((_, own)) = oldest.and_then(|hash| self.cached.remove(&hash)) else { return };
            self.tokens -= own;
        }
    }

    /// Evicts the prefixes that were used longest ago, `count` or a few more, in one pass.
    fn evict_oldest(&mut self, count: usize) {
        let mut used: Vec<Instant> = self.cached.values().map(|(at, _)| *at).collect();
        let (_, last, _) = used.select_nth_unstable(count);
        let last = *last;
        self.cached.retain(|_, (at, _)| *at > last);
        self.tokens = self.cached.values().map(|(_, own)| own).sum();
    }
}
