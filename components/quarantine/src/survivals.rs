//! Suspects that targets survived and that so are not held responsible for crashes.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::Suspect;

/// Most suspects of a kind that are remembered, which takes 120 KB. The first one recorded is
/// evicted first, unless it was recorded again.
const MAX_SUSPECTS: usize = 2048;
/// Time after a survival in which crashes still don't count. It is longer than the time limits of
/// requests, so that what is sent repeatedly is always excused, and short enough that a suspect which
/// starts to crash targets is not exempt for long.
pub(crate) const EXCUSED_FOR: Duration = Duration::from_secs(30);

/// When targets last survived suspects.
#[derive(Debug, Default)]
pub(crate) struct Survivals {
    requests: LastSurvivals,
    parts: LastSurvivals,
}

impl Survivals {
    /// Records that a target survived a suspect.
    pub(crate) fn record(&mut self, suspect: Suspect, at: Instant) {
        match suspect {
            Suspect::Request(_) => self.requests.record(suspect, at),
            Suspect::PromptPart(_) => self.parts.record(suspect, at),
        }
    }

    /// Returns when a target last survived a suspect; `None` if that is not known.
    pub(crate) fn last(&self, suspect: &Suspect) -> Option<Instant> {
        let survivals = match suspect {
            Suspect::Request(_) => &self.requests,
            Suspect::PromptPart(_) => &self.parts,
        };
        survivals.at.get(suspect).copied()
    }
}

/// The last survivals of suspects of one kind.
#[derive(Debug, Default)]
struct LastSurvivals {
    at: HashMap<Suspect, Instant>,
    /// The keys of `at` in the order of eviction, with the time at which each was added to it.
    order: VecDeque<(Instant, Suspect)>,
}

impl LastSurvivals {
    fn record(&mut self, suspect: Suspect, at: Instant) {
        match self.at.get_mut(&suspect) {
            Some(last) => *last = at.max(*last),
            None => {
                self.at.insert(suspect, at);
                self.order.push_back((at, suspect));
            }
        }
        if self.at.len() > MAX_SUSPECTS {
            self.evict_one();
        }
    }

    /// Evicts the first suspect that was not recorded again since it was added to the order.
    fn evict_one(&mut self) {
        while let Some((added, suspect)) = self.order.pop_front() {
            match self.at.get(&suspect) {
                Some(last) if *last > added => self.order.push_back((*last, suspect)),
                _ => {
                    self.at.remove(&suspect);
                    return;
                }
            }
        }
    }
}
