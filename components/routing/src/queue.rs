//! What waits in a lane for one customer in one class, and what was told to come back.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use ids::{CustomerName, Priority};

use crate::lane::WaitId;
use crate::target::TargetKey;

/// Time after which a request that was told to come back is no longer counted on.
const GRACE: Duration = Duration::from_millis(500);
/// Most appointments kept; further refusals are told the last one's time and a gap more.
const MOST_BOOKED: usize = 4096;

/// A request that waits for a slot.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) id: WaitId,
    pub(crate) customer: CustomerName,
    pub(crate) priority: Priority,
    /// When the stage must begin at the latest to be of use.
    pub(crate) start_by: Instant,
    /// Whether it comes back at the time told; such requests go before the customer's others.
    pub(crate) returning: bool,
    pub(crate) exclude: Vec<TargetKey>,
    pub(crate) prefix: Option<u64>,
    pub(crate) since: Instant,
}

impl Waiting {
    fn order(&self) -> Order {
        (!self.returning, self.start_by, self.id)
    }
}

/// Order in which a customer's requests of one class are served: those that come back, then the
/// least time left first.
pub(crate) type Order = (bool, Instant, WaitId);

/// One customer's requests of one class.
#[derive(Debug, Default)]
pub(crate) struct CustomerQueue {
    waiting: BTreeMap<Order, Waiting>,
    /// Times told to refused requests, rising.
    booked: VecDeque<Instant>,
}

impl CustomerQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits and nothing is booked any more.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.booked.is_empty()
    }

    pub(crate) fn push(&mut self, waiting: Waiting) {
        self.waiting.insert(waiting.order(), waiting);
    }

    pub(crate) fn remove(&mut self, waiting: &Waiting) -> Option<Waiting> {
        self.waiting.remove(&waiting.order())
    }

    pub(crate) fn head(&self) -> Option<&Waiting> {
        self.waiting.values().next()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.values()
    }

    pub(crate) fn into_waiting(self) -> impl Iterator<Item = Waiting> {
        self.waiting.into_values()
    }

    /// Requests served before a new one: those that wait, and those booked to come back before
    /// it must begin, of which the share `shows` comes.
    pub(crate) fn ahead(&self, returning: bool, start_by: Instant, shows: f64) -> f64 {
        if returning {
            return self.waiting.values().take_while(|w| w.returning).count() as f64;
        }
        let booked = self.booked.partition_point(|time| *time <= start_by);
        self.waiting.len() as f64 + shows * booked as f64
    }

    /// Books the first time from `earliest` on that is a `gap` after the last one.
    pub(crate) fn book(&mut self, earliest: Instant, gap: Duration) -> Instant {
        let time = self.booked.back().map_or(earliest, |last| earliest.max(*last + gap));
        if self.booked.len() < MOST_BOOKED {
            self.booked.push_back(time);
        }
        time
    }

    /// One that was told to come back has come; says whether it was booked here.
    pub(crate) fn came_back(&mut self) -> bool {
        self.booked.pop_front().is_some()
    }

    /// Forgets those that did not come back in time; says how many.
    pub(crate) fn forget_missed(&mut self, now: Instant) -> usize {
        let missed = self.booked.partition_point(|time| *time + GRACE < now);
        self.booked.drain(..missed).count()
    }
}
