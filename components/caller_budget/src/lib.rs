//! Budget of what callers hold of a process: connections, and bytes of requests from their first one
//! until they are answered.
//!
//! While the budget suffices, nobody is given up. Once it is used up, connections whose request has
//! not arrived whole make room for those that come: first the connections that never had a request
//! in work, the one that waits longest before the others. A request that arrives in time is
//! therefore not kept out by callers that stop short of the end, or that send drop by drop.

mod body;
mod ledger;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

pub use body::HeldBody;
use ledger::{ChargeKey, Ledger, PlaceKey};

/// Time for which a connection keeps its place in any case while it waits for the rest of a body, or
/// for the next request, and its bytes while it waits for the rest of a request. Before a whole head
/// there is no such time: a caller that sends its request at once finds a place beside any number of
/// others that don't.
pub const MIN_STAY: Duration = Duration::from_secs(1);
/// Bytes of a request, head and body apart, that are not counted: each connection has room for as
/// much.
pub const UNCOUNTED_BYTES: usize = 8 * 1024;

/// What callers may hold together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Connections.
    pub connections: usize,
    /// Bytes of requests beyond [`UNCOUNTED_BYTES`] each.
    pub bytes: usize,
}

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// For the first byte of a request.
    Resting,
    /// For the rest of a request's head.
    ReceivingHead,
    /// For the rest of a request's body.
    ReceivingBody,
    /// For the answer to a whole request, or for its caller to read it.
    InWork,
    /// For its caller to close it, after its last answer.
    Closing,
}

/// There is no room, and nobody has to make any.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom;

/// The budget of a process; clones share it.
#[derive(Clone)]
pub struct CallerBudget(Arc<Mutex<Ledger>>);

impl CallerBudget {
    /// A budget of which nothing is used.
    pub fn new(limits: Limits) -> Self {
        CallerBudget(Arc::new(Mutex::new(Ledger::new(limits))))
    }

    /// Takes a place for a new connection.
    ///
    /// # Errors
    /// [`NoRoom`] if all places are taken by connections that may keep theirs.
    pub fn connect(&self, now: Instant) -> Result<Place, NoRoom> {
        let (key, given_up) = self.with(|ledger| ledger.connect(now))?;
        Ok(Place { budget: self.clone(), key, given_up })
    }

    /// Number of connections that have a place.
    pub fn connections(&self) -> usize {
        self.with(|ledger| ledger.connections())
    }

    /// Bytes that are counted at present.
    pub fn used_bytes(&self) -> usize {
        self.with(|ledger| ledger.used_bytes())
    }

    fn with<R>(&self, f: impl FnOnce(&mut Ledger) -> R) -> R {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// The place of a connection. Dropping it gives it back.
pub struct Place {
    budget: CallerBudget,
    key: PlaceKey,
    given_up: Arc<Notify>,
}

impl Place {
    /// Records what the connection waits for from now on.
    pub fn set_activity(&self, activity: Activity, now: Instant) {
        self.budget.with(|ledger| ledger.set_activity(self.key, activity, now));
    }

    /// Records that bytes have arrived: a connection at rest waits for the rest of a request.
    pub fn receive(&self, now: Instant) {
        self.budget.with(|ledger| ledger.receive(self.key, now));
    }

    /// Begins to count bytes that the connection's caller sends.
    pub fn charge(&self) -> Charge {
        let key = self.budget.with(|ledger| ledger.begin_charge(self.key));
        Charge { budget: self.budget.clone(), key }
    }

    /// Whether the connection has to make room. It no longer counts.
    pub fn is_given_up(&self) -> bool {
        self.budget.with(|ledger| ledger.is_given_up(self.key))
    }

    /// Waits until the connection has to make room: it is closed, or the request that it waits for
    /// is refused.
    pub async fn until_given_up(&self) {
        self.given_up.notified().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.budget.with(|ledger| ledger.disconnect(self.key));
    }
}

/// Bytes of a request that are counted until this is dropped, which may be after the end of the
/// connection.
pub struct Charge {
    budget: CallerBudget,
    key: ChargeKey,
}

impl Charge {
    /// Counts `bytes` in all from now on.
    ///
    /// # Errors
    /// [`NoRoom`] if they don't fit, or if the connection has to make room itself. What was counted
    /// before stays so.
    pub fn resize(&self, bytes: usize, now: Instant) -> Result<(), NoRoom> {
        let counted = if bytes <= UNCOUNTED_BYTES { 0 } else { bytes };
        self.budget.with(|ledger| ledger.resize(self.key, counted, now))
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.with(|ledger| ledger.end_charge(self.key));
    }
}
