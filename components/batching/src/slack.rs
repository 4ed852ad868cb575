//! How many pieces wait in a pool, by urgency and slack: which of them go before a further one.

use std::collections::BTreeMap;
use std::time::Duration;

/// Bounds of the parts into which waiting pieces are counted, in milliseconds of slack; the last part
/// has none. They lie closer where more pieces are: aims are one to three seconds.
const BOUNDS_MS: [u32; 7] = [150, 300, 600, 1000, 1500, 2200, 3200];
/// Number of parts.
const PARTS: usize = BOUNDS_MS.len() + 1;

/// Waiting pieces of one urgency by slack, least first.
type Parts = [u32; PARTS];

/// Waiting pieces by urgency and slack.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Queue {
    by_urgency: BTreeMap<u8, Parts>,
}

impl Queue {
    /// Takes counts of one urgency, least slack first; what is missing is none.
    pub fn set_counts(&mut self, urgency: u8, counts: &[u32]) {
        let parts = self.by_urgency.entry(urgency).or_default();
        parts.iter_mut().zip(counts).for_each(|(part, count)| *part = *count);
    }

    /// The counts of each urgency, least slack first.
    pub fn counts(&self) -> impl Iterator<Item = (u8, &[u32])> {
        self.by_urgency.iter().map(|(urgency, parts)| (*urgency, parts.as_slice()))
    }

    /// Counts a piece.
    pub fn add(&mut self, urgency: u8, slack: Duration) {
        let below = |bound: &&u32| slack > Duration::from_millis(u64::from(**bound));
        let part = BOUNDS_MS.iter().take_while(below).count();
        self.by_urgency.entry(urgency).or_default()[part] += 1;
    }

    /// All of them.
    pub fn total(&self) -> usize {
        self.by_urgency.values().flatten().map(|count| *count as usize).sum()
    }

    /// Pieces that a request of this urgency and slack has to let pass: those with less slack, and all
    /// that are more urgent, so that what it is promised is not taken from them. Without the latter
    /// requests of little worth and short aims are admitted before those of great worth and long aims.
    pub fn ahead_of(&self, urgency: u8, slack: Duration) -> f64 {
        let ahead = |(of, parts): (&u8, &Parts)| {
            if *of < urgency {
                parts.iter().copied().map(f64::from).sum()
            } else {
                less(parts, slack)
            }
        };
        self.by_urgency.iter().map(ahead).sum()
    }
}

/// About how many have less slack than this, if those of a part are spread evenly.
fn less(parts: &Parts, slack: Duration) -> f64 {
    let slack = slack.as_secs_f64() * 1e3;
    let (mut below, mut less) = (0.0, 0.0);
    for (count, bound) in parts.iter().zip(BOUNDS_MS) {
        let bound = f64::from(bound);
        less += f64::from(*count) * ((slack - below) / (bound - below)).clamp(0.0, 1.0);
        below = bound;
    }
    // The last part has no end: half of it is taken to have less than whatever lies in it.
    let last = if slack > below { 0.5 } else { 0.0 };
    less + f64::from(parts[PARTS - 1]) * last
}
