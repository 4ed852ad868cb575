//! Splits a pool into parts, each of which is owned by one VM that fills its calls.
//!
//! A single VM can't fill the calls of a pool of any size: past the rate that its
//! processor can carry, it stops sending heartbeats. A part consists of several data halls with their workers and VMs.
//! Every VM computes the parts from the configuration and the list of targets, so that all agree
//! without exchanging messages.

use std::collections::BTreeSet;

use ids::HallName;
use intent::PoolSpec;

/// Pieces per second that the workers of one part should make at most: a third of the rate at which
/// a VM with half a core stopped sending heartbeats. The minimum number of halls in a part takes
/// precedence.
const MAX_PART_RATE: f64 = 800.0;
/// Minimum number of halls in a part of a split pool, so that a hall that is cut off, or that gets
/// most of the requests, has another one to share the work with.
const MIN_HALLS_PER_PART: usize = 2;

/// Index of a part of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Part(usize);

/// How a pool is split into parts; the default is a single part.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Split {
    /// Halls in which the pool has workers, sorted.
    halls: Vec<HallName>,
    /// Number of parts; 0 counts as 1.
    parts: usize,
    /// Version of the configuration in which this VM first saw the pool; 0 if unknown.
    first_seen_version: u64,
}

impl Split {
    /// Splits a pool, given the hall of each of its workers.
    pub fn new<'a>(spec: &PoolSpec, workers: impl Iterator<Item = &'a HallName>) -> Self {
        let (mut halls, mut count) = (BTreeSet::new(), 0_u32);
        for hall in workers {
            halls.insert(hall.clone());
            count += 1;
        }
        let halls: Vec<HallName> = halls.into_iter().collect();
        let wanted = (f64::from(count) * worker_rate(spec) / MAX_PART_RATE).ceil() as usize;
        let parts = wanted.min(halls.len() / MIN_HALLS_PER_PART).max(1);
        Split { halls, parts, first_seen_version: 0 }
    }

    /// Sets the version of the configuration in which this VM first saw the pool. VMs with an older
    /// version may not know the pool.
    pub fn with_first_seen(self, version: u64) -> Self {
        Split { first_seen_version: version, ..self }
    }

    /// Version of the configuration in which this VM first saw the pool: every VM with this version
    /// or a later one knows it.
    pub(crate) fn first_seen_version(&self) -> u64 {
        self.first_seen_version
    }

    /// All parts of the pool.
    pub fn parts(&self) -> impl Iterator<Item = Part> + use<> {
        (0..self.parts.max(1)).map(Part)
    }

    /// Whether the pool is not split.
    pub fn has_one_part(&self) -> bool {
        self.parts <= 1
    }

    /// The part that a hall belongs to; a hall without workers belongs to the first part.
    pub fn part_of(&self, hall: &HallName) -> Part {
        let index = self.halls.binary_search(hall).unwrap_or(0);
        Part(index * self.parts / self.halls.len().max(1))
    }
}

/// Pieces per second that a worker makes if all its calls are full.
fn worker_rate(spec: &PoolSpec) -> f64 {
    let batch = spec.batch.max(1) as f64;
    let call = spec.call.as_secs_f64() + batch * spec.piece.as_secs_f64();
    if call > 0.0 { batch * f64::from(spec.at_once.max(1)) / call } else { 0.0 }
}
