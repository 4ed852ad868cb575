//! The results that the answers on a connection named. A worker may send an answer a second time, when
//! the answer to the next call is expected. Answers to calls of pieces name no call, but each result
//! is named once.

use std::collections::VecDeque;
use std::hash::{BuildHasher, RandomState};

/// Most results of a connection that are remembered. A second copy comes shortly after the answer,
/// and a call has some tens of pieces.
const MAX_REMEMBERED: usize = 512;

/// The results that the latest answers on a connection named.
#[derive(Debug, Default)]
pub struct NamedResults {
    hasher: RandomState,
    /// Hashes of their handles.
    named: VecDeque<u64>,
}

impl NamedResults {
    /// Remembers the results of an answer. Returns false if one was named before: the answer is a
    /// second copy then, or mixed up.
    pub fn are_new<'a>(&mut self, handles: impl Iterator<Item = &'a str>) -> bool {
        for handle in handles {
            let hash = self.hasher.hash_one(handle);
            if self.named.contains(&hash) {
                return false;
            }
            self.named.push_back(hash);
        }
        let excess = self.named.len().saturating_sub(MAX_REMEMBERED);
        self.named.drain(..excess);
        true
    }
}
