//! Breakdown by use of the room (memory for results) at a pool's workers, to explain why workers
//! are idle.

use std::collections::HashSet;
use std::time::Instant;

use crate::pool::Pool;
use crate::worker::WorkerKey;

/// Bytes of room at all available workers of a pool by use, and the number of idle workers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RoomUse {
    /// Total room.
    pub total: u64,
    /// Reserved for the results of calls in progress.
    pub at_work: u64,
    /// Results of submissions that have unfinished pieces.
    pub incomplete: u64,
    /// Results of finished submissions, which wait to be used.
    pub kept: u64,
    /// Results that may be released when room is scarce.
    pub spare: u64,
    /// Results that may remain at a worker until they expire: those of failed calls, and released
    /// ones whose worker may not have been notified.
    pub lost: u64,
    /// Released results whose worker has not confirmed the release.
    pub unconfirmed: u64,
    /// Results that are unknown to this owner; an estimate.
    pub foreign: u64,
    /// Workers that are available and have no call in progress.
    pub idle_workers: usize,
    /// Available workers.
    pub workers: usize,
}

impl Pool {
    /// Returns the use of room at the available workers.
    pub fn room_use(&self, now: Instant) -> RoomUse {
        let is_available = |key: &WorkerKey| self.can_take_call(&self.workers[*key], u32::MAX, now);
        let available: HashSet<WorkerKey> = self.workers.keys().filter(is_available).collect();
        let mut room = RoomUse {
            total: self.spec.room_bytes * available.len() as u64,
            workers: available.len(),
            ..RoomUse::default()
        };
        let mut used = 0;
        for worker in available.iter().map(|key| &self.workers[*key]) {
            used += worker.room_used;
            room.foreign += worker.foreign_room(now);
            room.idle_workers += usize::from(worker.active_calls == 0);
        }
        let calls = self.calls.values().filter(|call| available.contains(&call.worker));
        room.at_work = calls.map(|call| call.reserved_bytes).sum();
        for result in self.results.known().filter(|result| available.contains(&result.worker)) {
            *match () {
                () if result.spare => &mut room.spare,
                () if self.jobs.contains_key(result.job) => &mut room.incomplete,
                () => &mut room.kept,
            } += result.bytes;
        }
        room.lost = self.results.lost_bytes(|key| available.contains(&key));
        let accounted = room.at_work + room.incomplete + room.kept + room.spare + room.lost;
        room.unconfirmed = used.saturating_sub(accounted);
        room
    }
}
