//! What is known of a request that ended targets: which lifetimes, and which of them don't count.

use std::fmt;

use crate::RequestDigest;

/// What a target says of one of its lifetimes: its id and the time of its birth, hashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Birth(pub u64);

/// One lifetime of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Lifetime {
    /// What the target said of it, or of an earlier one.
    pub birth: Birth,
    /// Ends that were known of this birth when work was sent: a target that takes work after its end is
    /// another lifetime, also where its word of that has not come. Without the platform's store it does
    /// not come at all.
    pub ends_before: u32,
}

impl fmt::Display for Lifetime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}", self.birth.0, self.ends_before)
    }
}

impl Lifetime {
    /// Reads what its text shows; `None` if it is no lifetime.
    pub fn parse(text: &str) -> Option<Self> {
        let (birth, ends_before) = text.split_once('.')?;
        let birth = Birth(u64::from_str_radix(birth, 16).ok()?);
        Some(Lifetime { birth, ends_before: ends_before.parse().ok()? })
    }
}

/// A lifetime of a target ended while it was at work on a request. VMs tell each other of these; what is
/// sent twice counts once, and in any order the same comes out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Crash {
    /// The request.
    pub digest: RequestDigest,
    /// The lifetime that ended.
    pub lifetime: Lifetime,
    /// It does not count: the request ran to a good end elsewhere, or an operator released it. Once said,
    /// this stays so.
    pub cleared: bool,
}

/// Lifetimes kept of one request: more than any limit that operators may set.
const MOST_LIFETIMES: usize = 16;

/// The crashes of one request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Crashes(Vec<(Lifetime, bool)>);

impl Crashes {
    /// Takes one; false if it says nothing new.
    pub(crate) fn take(&mut self, lifetime: Lifetime, cleared: bool) -> bool {
        if let Some((_, known)) = self.0.iter_mut().find(|(known, _)| *known == lifetime) {
            let newly_cleared = cleared && !*known;
            *known |= cleared;
            return newly_cleared;
        }
        if self.0.len() >= MOST_LIFETIMES {
            let Some(index) = self.0.iter().position(|(_, cleared)| *cleared) else { return false };
            self.0.remove(index);
        }
        self.0.push((lifetime, cleared));
        true
    }

    /// Lifetimes that count.
    pub(crate) fn counted(&self) -> impl Iterator<Item = Lifetime> {
        self.0.iter().filter(|(_, cleared)| !cleared).map(|(lifetime, _)| *lifetime)
    }
}
