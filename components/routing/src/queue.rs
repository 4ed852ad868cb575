//! Queue of one customer's requests of one class in a lane, and the scheduled returns of its
//! refused requests, that is the times at which their callers were told to retry.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use ids::{CustomerName, Priority};

use crate::lane::WaitId;
use crate::target::TargetKey;

/// Time after its scheduled return from which a refused request is no longer expected.
const RETURN_GRACE: Duration = Duration::from_millis(500);
/// Maximum number of scheduled returns kept. Further refused requests get the time of the last
/// one plus one gap.
const MAX_SCHEDULED_RETURNS: usize = 4096;

/// A request that waits for a slot.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) id: WaitId,
    pub(crate) customer: CustomerName,
    pub(crate) priority: Priority,
    /// Latest time at which the stage can start and still meet the deadline.
    pub(crate) start_by: Instant,
    /// Whether the request returns after a refusal, at the announced time. Such requests are served
    /// before the customer's others.
    pub(crate) returning: bool,
    /// Targets already tried, which are not chosen again.
    pub(crate) exclude: Vec<TargetKey>,
    /// Hash of the prompt's prefix, if the call has one.
    pub(crate) prefix: Option<u64>,
    /// When the request was queued.
    pub(crate) since: Instant,
}

impl Waiting {
    fn queue_key(&self) -> QueueKey {
        (!self.returning, self.start_by, self.id)
    }
}

/// Order in which a customer's requests of one class are served: returning requests first, then by
/// the latest start time.
pub(crate) type QueueKey = (bool, Instant, WaitId);

/// One customer's waiting requests and scheduled returns of one class.
#[derive(Debug, Default)]
pub(crate) struct CustomerQueue {
    waiting: BTreeMap<QueueKey, Waiting>,
    /// Return times announced to refused requests, in ascending order.
    scheduled_returns: VecDeque<Instant>,
}

impl CustomerQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits and no return is scheduled.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.scheduled_returns.is_empty()
    }

    pub(crate) fn push(&mut self, waiting: Waiting) {
        self.waiting.insert(waiting.queue_key(), waiting);
    }

    pub(crate) fn remove(&mut self, waiting: &Waiting) -> Option<Waiting> {
        self.waiting.remove(&waiting.queue_key())
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

    /// Expected number of requests served before a new one: those that wait, and those scheduled
    /// to return before its latest start, weighted by the fraction that does return.
    pub(crate) fn ahead(&self, returning: bool, start_by: Instant, return_rate: f64) -> f64 {
        if returning {
            return self.waiting.values().take_while(|w| w.returning).count() as f64;
        }
        let scheduled_returns = self.scheduled_returns.partition_point(|time| *time <= start_by);
        self.waiting.len() as f64 + return_rate * scheduled_returns as f64
    }

    /// Schedules a return at `earliest`, or a `gap` after the last scheduled one if that is later.
    pub(crate) fn schedule_return(&mut self, earliest: Instant, gap: Duration) -> Instant {
        let time = self.scheduled_returns.back().map_or(earliest, |last| earliest.max(*last + gap));
        if self.scheduled_returns.len() < MAX_SCHEDULED_RETURNS {
            self.scheduled_returns.push_back(time);
        }
        time
    }

    /// Removes the earliest scheduled return because a request returned; returns whether there was
    /// one.
    pub(crate) fn record_return(&mut self) -> bool {
        self.scheduled_returns.pop_front().is_some()
    }

    /// Removes the scheduled returns that were missed; returns their number.
    pub(crate) fn remove_missed_returns(&mut self, now: Instant) -> usize {
        let missed = self.scheduled_returns.partition_point(|time| *time + RETURN_GRACE < now);
        self.scheduled_returns.drain(..missed).count()
    }
}
