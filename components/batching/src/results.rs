//! Results that lie at their workers and take room there.

use std::collections::HashMap;
use std::time::Instant;

use crate::submission::JobKey;
use crate::worker::WorkerKey;

/// A result at its worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Result {
    pub(crate) worker: WorkerKey,
    /// The submission that it belongs to.
    pub(crate) job: JobKey,
    pub(crate) bytes: u64,
    until: Instant,
    /// Whether it may be given up when room is scarce.
    pub(crate) spare: bool,
}

/// All results that this owner had made and that still take room.
#[derive(Debug, Default)]
pub(crate) struct Results {
    by_handle: HashMap<String, Result>,
    /// Results that nobody knows by name: worker, bytes, and when they have run out.
    lost: Vec<(WorkerKey, u64, Instant)>,
}

impl Results {
    pub(crate) fn add(
        &mut self,
        handle: &str,
        worker: WorkerKey,
        job: JobKey,
        bytes: u64,
        until: Instant,
    ) {
        let result = Result { worker, job, bytes, until, spare: false };
        self.by_handle.insert(handle.to_owned(), result);
    }

    /// Results that are known by name.
    pub(crate) fn known(&self) -> impl Iterator<Item = &Result> {
        self.by_handle.values()
    }

    /// Bytes of results that nobody knows by name, at some workers.
    pub(crate) fn lost_bytes(&self, at: impl Fn(WorkerKey) -> bool) -> u64 {
        self.lost.iter().filter(|(key, ..)| at(*key)).map(|(_, bytes, _)| bytes).sum()
    }

    /// Notes results of a call whose answer did not come: they take room until they run out.
    pub(crate) fn add_lost(&mut self, worker: WorkerKey, bytes: u64, until: Instant) {
        self.lost.push((worker, bytes, until));
    }

    /// Takes out a result that is needed no more; gives its worker and size.
    pub(crate) fn remove(&mut self, handle: &str) -> Option<(WorkerKey, u64)> {
        self.by_handle.remove(handle).map(|result| (result.worker, result.bytes))
    }

    /// Notes that a result may be given up when room is scarce; gives its worker.
    pub(crate) fn set_spare(&mut self, handle: &str) -> Option<WorkerKey> {
        let result = self.by_handle.get_mut(handle)?;
        result.spare = true;
        Some(result.worker)
    }

    /// Handles of a worker's results that may be given up when room is scarce.
    pub(crate) fn spare_of(&self, worker: WorkerKey) -> Vec<String> {
        let spare = self.by_handle.iter().filter(|(_, r)| r.spare && r.worker == worker);
        spare.map(|(handle, _)| handle.clone()).collect()
    }

    /// Takes out the results whose life is over; gives their workers and sizes.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<(WorkerKey, u64)> {
        let over = |result: &Result| result.until <= now;
        let mut freed: Vec<_> =
            self.by_handle.values().filter(|r| over(r)).map(|r| (r.worker, r.bytes)).collect();
        self.by_handle.retain(|_, result| !over(result));
        let lost = self.lost.extract_if(.., |(_, _, until)| *until <= now);
        freed.extend(lost.map(|(worker, bytes, _)| (worker, bytes)));
        freed
    }

    /// Takes out all results of a worker that is gone.
    pub(crate) fn drop_worker(&mut self, worker: WorkerKey) {
        self.by_handle.retain(|_, result| result.worker != worker);
        self.lost.retain(|(of, _, _)| *of != worker);
    }
}
