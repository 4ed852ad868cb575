//! Into how many parts a pool is split, each with a VM that fills its calls.
//!
//! One VM for a whole pool does not keep up for ever: of 295 VMs, one with half a core that filled the
//! calls of 35 workers kept up with 1,540 pieces a second and fell silent at 2,460. A part is some data
//! halls with their workers and VMs. Every VM works the parts out from the configuration and the list
//! of targets, so that all agree without a word.

use std::collections::BTreeSet;

use ids::HallName;
use intent::PoolSpec;

/// Pieces a second that the workers of one part can make at most: a third of what made a VM with half
/// a core fall silent.
const PIECES_PER_OWNER: f64 = 800.0;
/// Halls of a part at least: one that is cut off, or that many callers come to, has another to share
/// with.
const LEAST_HALLS: usize = 2;

/// Key of a part of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Part(usize);

/// How a pool is split; the default is one part.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Split {
    /// Halls in which the pool has workers, in order.
    halls: Vec<HallName>,
    parts: usize,
    /// The first version of the configuration that this VM saw the pool in.
    since: u64,
}

impl Split {
    /// The split of a pool with one worker in each of these halls, named as often as it has workers.
    pub fn new<'a>(spec: &PoolSpec, workers: impl Iterator<Item = &'a HallName>) -> Self {
        let (mut halls, mut count) = (BTreeSet::new(), 0_u32);
        for hall in workers {
            halls.insert(hall.clone());
            count += 1;
        }
        let halls: Vec<HallName> = halls.into_iter().collect();
        let wanted = (f64::from(count) * worker_rate(spec) / PIECES_PER_OWNER).ceil() as usize;
        let parts = wanted.min(halls.len() / LEAST_HALLS).max(1);
        Split { halls, parts, since: 0 }
    }

    /// The same for a pool that this VM first saw in a version of the configuration: VMs that are still
    /// behind that version may not know it.
    pub fn first_seen(self, version: u64) -> Self {
        Split { since: version, ..self }
    }

    /// Version of the configuration from which on VMs know the pool for sure.
    pub(crate) fn since(&self) -> u64 {
        self.since
    }

    /// The parts.
    pub fn parts(&self) -> impl Iterator<Item = Part> + use<> {
        (0..self.parts.max(1)).map(Part)
    }

    /// Whether there is one part only.
    pub fn has_one_part(&self) -> bool {
        self.parts <= 1
    }

    /// The part to which a hall belongs; a hall without workers belongs to the first one.
    pub fn part_of(&self, hall: &HallName) -> Part {
        let place = self.halls.binary_search(hall).unwrap_or(0);
        Part(place * self.parts / self.halls.len().max(1))
    }
}

/// Pieces that a worker makes in a second if all its calls are full.
fn worker_rate(spec: &PoolSpec) -> f64 {
    let batch = spec.batch.max(1) as f64;
    let call = spec.call.as_secs_f64() + batch * spec.piece.as_secs_f64();
    if call > 0.0 { batch * f64::from(spec.at_once.max(1)) / call } else { 0.0 }
}
