//! What an engine probably keeps of prompts, from where this VM sent them.

use std::collections::HashMap;
use std::time::Instant;

/// A start of a prompt: hash of its parts up to here, and its tokens.
pub type Chain = Vec<(u64, u64)>;

/// The starts of a prompt given by its parts, shortest first.
pub fn prefix_chain(model: &str, parts: impl Iterator<Item = (u64, u32)>) -> Chain {
    let mut hash = hashing::of_text(model);
    let mut tokens = 0;
    parts
        .map(|(id, length)| {
            hash = hashing::combine(hash, id);
            tokens += u64::from(length);
            (hash, tokens)
        })
        .collect()
}

/// Starts of prompts that a target was sent, the least recently used given up first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    starts: HashMap<u64, (Instant, u64)>,
    tokens: u64,
}

impl PrefixCache {
    /// Tokens of the prompt that are probably kept.
    pub(crate) fn tokens_of(&self, chain: &[(u64, u64)]) -> u64 {
        let known = chain.iter().take_while(|(hash, _)| self.starts.contains_key(hash));
        known.last().map_or(0, |(_, tokens)| *tokens)
    }

    /// Notes that the prompt was sent, in a memory of so many tokens.
    pub(crate) fn note(&mut self, chain: &[(u64, u64)], memory: u64, now: Instant) {
        let mut before = 0;
        for (hash, tokens) in chain {
            let own = tokens - before;
            before = *tokens;
            if self.starts.insert(*hash, (now, own)).is_none() {
                self.tokens += own;
            }
        }
        while self.tokens > memory {
            let oldest = self.starts.iter().min_by_key(|(_, (at, _))| *at).map(|(hash, _)| *hash);
            let Some((_, own)) = oldest.and_then(|hash| self.starts.remove(&hash)) else { return };
            self.tokens -= own;
        }
    }
}
