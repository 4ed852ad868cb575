//! Bounds the head of a caller's request: the bytes that arrive from its first one until it is
//! complete, empty lines before it included.

use std::cell::{Cell, RefCell};
use std::time::Instant;

use caller_budget::{Charge, Place, UNCOUNTED_BYTES};
use tokio::sync::Notify;

/// Bytes that are allowed beyond the configured size, which does not tell whether it counts the
/// request line.
const REQUEST_LINE_BYTES: usize = 8 * 1024;
/// Largest head whatever the configuration allows, in bytes: what the HTTP library reads at most.
const MAX_HEAD_BYTES: usize = 400 * 1024;
/// Limit while no configuration is known, in bytes.
const DEFAULT_HEAD_BYTES: usize = 64 * 1024;
/// The HTTP library's buffer for a head takes up to this many times the bytes of the head.
const BUFFER_FACTOR: usize = 2;

/// Why a head is not read on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadProblem {
    /// It is longer than the configuration allows.
    TooLong,
    /// What callers hold leaves no room for it.
    NoRoom,
}

/// The head that a connection reads, or awaits.
#[derive(Default)]
pub struct HeadReading {
    /// Whether the head is complete: what arrives until the answer belongs to a body, or to the next
    /// request.
    is_complete: Cell<bool>,
    bytes: Cell<usize>,
    /// Configured size that was in force when it was last looked up; `None` without a configuration.
    configured: Cell<Option<usize>>,
    charge: RefCell<Option<Charge>>,
    problem: Cell<Option<HeadProblem>>,
    stopped: Notify,
}

impl HeadReading {
    /// Bytes that may be read next; `None` if the head may not be read on, which whoever waits in
    /// [`HeadReading::until_stopped`] is told.
    pub fn allowance(&self, most: usize, place: &Place, now: Instant) -> Option<usize> {
        if self.is_complete.get() {
            return Some(most);
        }
        let left = self.limit().saturating_sub(self.bytes.get());
        let problem = match () {
            () if left == 0 => HeadProblem::TooLong,
            () if self.has_no_room(place, now) => HeadProblem::NoRoom,
            () => return Some(left.min(most)),
        };
        self.problem.set(Some(problem));
        self.stopped.notify_one();
        None
    }

    fn limit(&self) -> usize {
        let configured = self.configured.get().unwrap_or(DEFAULT_HEAD_BYTES);
        configured.saturating_add(REQUEST_LINE_BYTES).min(MAX_HEAD_BYTES)
    }

    /// Counts the buffer of a large head among what callers hold.
    fn has_no_room(&self, place: &Place, now: Instant) -> bool {
        if self.bytes.get() < UNCOUNTED_BYTES {
            return false;
        }
        let mut charge = self.charge.borrow_mut();
        let charge = charge.get_or_insert_with(|| place.charge());
        charge.resize(self.bytes.get() * BUFFER_FACTOR, now).is_err()
    }

    /// Records bytes that were read.
    pub fn record(&self, bytes: usize) {
        if !self.is_complete.get() {
            self.bytes.update(|before| before + bytes);
        }
    }

    /// Waits until the head may not be read on.
    pub async fn until_stopped(&self) {
        self.stopped.notified().await;
    }

    /// Why the head is not read on, by the configured size in force; `None` if it may be, since a
    /// larger one is in force than before.
    pub fn problem(&self, configured: Option<usize>) -> Option<HeadProblem> {
        self.configured.set(configured);
        let may_go_on = self.bytes.get() < self.limit();
        self.problem.take().filter(|problem| *problem == HeadProblem::NoRoom || !may_go_on)
    }

    /// Records that the head is complete. Its buffer counts until the request is answered.
    pub fn complete(&self) {
        self.is_complete.set(true);
    }

    /// Records that the request before has its answer, and that the next one is awaited. `configured`
    /// is the configured size in force, in bytes.
    pub fn await_next(&self, configured: Option<usize>) {
        self.configured.set(configured);
        self.is_complete.set(false);
        self.bytes.set(0);
        self.charge.take();
    }
}
