//! Results that are stored at workers and use room there.

use std::collections::HashMap;
use std::time::Instant;

use crate::submission::JobKey;
use crate::worker::WorkerKey;

/// A result stored at a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StoredResult {
    pub(crate) worker: WorkerKey,
    /// The submission that it belongs to.
    pub(crate) job: JobKey,
    /// Estimated size in bytes.
    pub(crate) bytes: u64,
    expires: Instant,
    /// Whether it may be released when room is scarce.
    pub(crate) spare: bool,
}

/// All results that this owner had made and that still use room.
#[derive(Debug, Default)]
pub(crate) struct Results {
    by_handle: HashMap<String, StoredResult>,
    /// Results whose handle is unknown: worker, bytes, and expiry.
    lost: Vec<(WorkerKey, u64, Instant)>,
}

impl Results {
    /// Adds a result that a worker stores.
    pub(crate) fn add(
        &mut self,
        handle: &str,
        worker: WorkerKey,
        job: JobKey,
        bytes: u64,
        expires: Instant,
    ) {
        let result = StoredResult { worker, job, bytes, expires, spare: false };
        self.by_handle.insert(handle.to_owned(), result);
    }

    /// Returns the results whose handle is known.
    pub(crate) fn known(&self) -> impl Iterator<Item = &StoredResult> {
        self.by_handle.values()
    }

    /// Returns the bytes of results whose handle is unknown, at the workers that `at` selects.
    pub(crate) fn lost_bytes(&self, at: impl Fn(WorkerKey) -> bool) -> u64 {
        self.lost.iter().filter(|(key, ..)| at(*key)).map(|(_, bytes, _)| bytes).sum()
    }

    /// Records results of a call whose answer was lost: they use room until they expire.
    pub(crate) fn add_lost(&mut self, worker: WorkerKey, bytes: u64, expires: Instant) {
        self.lost.push((worker, bytes, expires));
    }

    /// Removes a result that is no longer needed; returns its worker and size.
    pub(crate) fn remove(&mut self, handle: &str) -> Option<(WorkerKey, u64)> {
        self.by_handle.remove(handle).map(|result| (result.worker, result.bytes))
    }

    /// Marks a result that may be released when room is scarce; returns its worker.
    pub(crate) fn set_spare(&mut self, handle: &str) -> Option<WorkerKey> {
        let result = self.by_handle.get_mut(handle)?;
        result.spare = true;
        Some(result.worker)
    }

    /// Returns the handles of a worker's results that may be released when room is scarce.
    pub(crate) fn spare_at(&self, worker: WorkerKey) -> Vec<String> {
        let spare = self.by_handle.iter().filter(|(_, r)| r.spare && r.worker == worker);
        spare.map(|(handle, _)| handle.clone()).collect()
    }

    /// Removes the expired results; returns their workers and sizes.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<(WorkerKey, u64)> {
        let is_expired = |result: &StoredResult| result.expires <= now;
        let mut freed: Vec<_> = self
            .by_handle
            .values()
            .filter(|r| is_expired(r))
            .map(|r| (r.worker, r.bytes))
            .collect();
        self.by_handle.retain(|_, result| !is_expired(result));
        let lost = self.lost.extract_if(.., |(_, _, expires)| *expires <= now);
        freed.extend(lost.map(|(worker, bytes, _)| (worker, bytes)));
        freed
    }

    /// Removes all results of a worker that is no longer in the pool.
    pub(crate) fn drop_worker(&mut self, worker: WorkerKey) {
        self.by_handle.retain(|_, result| result.worker != worker);
        self.lost.retain(|(key, _, _)| *key != worker);
    }
}
