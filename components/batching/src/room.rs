//! What the room of a pool's workers is taken by, for whoever asks why workers stand idle.

use std::collections::HashSet;
use std::time::Instant;

use crate::pool::Pool;
use crate::worker::WorkerKey;

/// Bytes of room at all workers of a pool, by what takes them, and what that keeps from work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RoomUse {
    /// All that there is.
    pub total: u64,
    /// Results that are being made.
    pub at_work: u64,
    /// Results whose submission lacks others.
    pub incomplete: u64,
    /// Results that wait to be used.
    pub kept: u64,
    /// Results that may be given up when room is scarce.
    pub spare: u64,
    /// Results of calls that failed, which may lie there until they run out.
    pub lost: u64,
    /// Results that are given up and whose worker has not confirmed it.
    pub unconfirmed: u64,
    /// Results that this VM did not have made.
    pub foreign: u64,
    /// Workers that are free, but for room.
    pub idle_workers: usize,
    /// Workers that may work.
    pub workers: usize,
}

impl Pool {
    /// What the room of the workers that may work is taken by.
    pub fn room_use(&self, now: Instant) -> RoomUse {
        let able = |key: &WorkerKey| self.may_work(&self.workers[*key], u32::MAX, now);
        let able: HashSet<WorkerKey> = self.workers.keys().filter(able).collect();
        let mut room = RoomUse {
            total: self.spec.room_bytes * able.len() as u64,
            workers: able.len(),
            ..RoomUse::default()
        };
        let mut used = 0;
        for worker in able.iter().map(|key| &self.workers[*key]) {
            used += worker.room_used;
            room.foreign += worker.foreign_room(now);
            room.idle_workers += usize::from(worker.at_work == 0);
        }
        let calls = self.calls.values().filter(|call| able.contains(&call.worker));
        room.at_work = calls.map(|call| call.bytes).sum();
        for result in self.results.known().filter(|result| able.contains(&result.worker)) {
            *match () {
                () if result.spare => &mut room.spare,
                () if self.jobs.contains_key(result.job) => &mut room.incomplete,
                () => &mut room.kept,
            } += result.bytes;
        }
        room.lost = self.results.lost_bytes(|key| able.contains(&key));
        let named = room.at_work + room.incomplete + room.kept + room.spare + room.lost;
        room.unconfirmed = used.saturating_sub(named);
        room
    }
}
