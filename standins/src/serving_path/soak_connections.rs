//! Connections in a randomized run: most of the callers' at one VM for some time, and answers of
//! engines that end with theirs.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::runners::Behavior;
use super::site::Site;
use super::soak::SEED_OFFSET;
use super::soak_checks::STREAM_EVENTS;

/// Pauses between two such times, and their lengths, in milliseconds.
const CROWDED_MS: std::ops::Range<u64> = 300..1500;
/// One request in this many goes where it would have gone meanwhile.
const OTHERS: u64 = 20;
/// Pause between two answers that end with their connection, in milliseconds.
const UNFRAMED_PAUSE_MS: std::ops::Range<u64> = 50..400;
/// Value of [`CrowdedVm`] while no VM gets most connections.
const NONE: usize = usize::MAX;

/// The VM that gets most connections, if any.
pub(super) struct CrowdedVm(AtomicUsize);

impl Default for CrowdedVm {
    fn default() -> Self {
        CrowdedVm(AtomicUsize::new(NONE))
    }
}

impl CrowdedVm {
    /// The VM for the request with this number, which goes to `usual` at other times.
    pub(super) fn choose(&self, usual: usize, number: u64) -> usize {
        match self.0.load(Ordering::Relaxed) {
            NONE => usual,
            _ if number.is_multiple_of(OTHERS) => usual,
            vm => vm,
        }
    }

    /// Crowds one VM after the other, with pauses.
    pub(super) fn run(&self, seed: u64, time: Duration, vms: usize) {
        let mut rng = StdRng::seed_from_u64(seed + 11 * SEED_OFFSET);
        let end = Instant::now() + time;
        while Instant::now() < end {
            thread::sleep(Duration::from_millis(rng.random_range(CROWDED_MS)));
            self.0.store(rng.random_range(0..vms), Ordering::Relaxed);
            thread::sleep(Duration::from_millis(rng.random_range(CROWDED_MS)));
            self.0.store(NONE, Ordering::Relaxed);
        }
    }
}

/// Lets engines give streams without a length, whole or broken off inside an event, and plain
/// runners reset such answers.
pub(super) fn leave_answers_unframed(seed: u64, time: Duration, site: &Site) {
    let mut rng = StdRng::seed_from_u64(seed + 12 * SEED_OFFSET);
    let end = Instant::now() + time;
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(rng.random_range(UNFRAMED_PAUSE_MS)));
        let pause = Duration::from_millis(rng.random_range(0..30));
        let broken_after = rng.random_range(0..STREAM_EVENTS);
        let streams = [
            Behavior::UnframedStream(STREAM_EVENTS, pause),
            Behavior::BreakUnframedStream(broken_after),
        ];
        let stream = streams[rng.random_range(0..streams.len())].clone();
        site.engines[rng.random_range(0..site.engines.len())].queue_behaviors(&[stream]);
        let plain = [Behavior::Unframed, Behavior::ResetUnframed];
        let answer = plain[rng.random_range(0..plain.len())].clone();
        site.plain[rng.random_range(0..site.plain.len())].queue_behaviors(&[answer]);
    }
}
