//! Lane: a set of targets and the queue of the requests that wait for their slots. It decides which
//! request is served next and estimates how long a new one would wait.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use ids::{CustomerName, Priority};
use slotmap::new_key_type;

use crate::admission;
use crate::queue::{CustomerQueue, Waiting};
use crate::target::TargetKey;
use crate::usage::Usage;

new_key_type! {
    /// Key of a lane in the router's slot map.
    pub(crate) struct LaneKey;
}

/// Id of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitId(pub u64);

/// Floor of the least urgent class that waits: its minimum fraction of the slot time, so that long
/// work finishes.
const FLOOR_FRACTION: f64 = 0.05;
/// Maximum credit that this class can accumulate, as a multiple of the mean time of its calls.
const MAX_FLOOR_CALLS: f64 = 2.0;

/// Weight of one request in the moving average of the fraction of refused requests that return.
const RETURN_RATE_WEIGHT: f64 = 0.05;

/// A set of targets and its queue. The queue is ordered by class, then by the customer that was
/// served least for its share, then by the latest start time.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    pub(crate) targets: Vec<TargetKey>,
    classes: BTreeMap<Priority, HashMap<CustomerName, CustomerQueue>>,
    /// Number of requests that wait.
    len: usize,
    /// Slot time credited to the least urgent class for grants to other classes, in seconds.
    floor_credit: f64,
    /// Start tag of each customer, as in start-time fair queuing: grants divided by its share.
    start_tags: HashMap<CustomerName, f64>,
    /// Virtual time: the start tag of the customer served last.
    virtual_time: f64,
    pub(crate) usage: Usage,
    /// Moving average of the fraction of refused requests that return at the announced time.
    return_rate: f64,
}

impl Lane {
    /// Creates an empty lane for the targets.
    pub(crate) fn new(targets: Vec<TargetKey>) -> Self {
        Lane { targets, ..Lane::default() }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, waiting: Waiting) {
        self.queue(waiting.priority, &waiting.customer).push(waiting);
        self.len += 1;
    }

    /// Returns the request to serve next, without removing it.
    pub(crate) fn head(&self) -> Option<&Waiting> {
        let class = self.next_class()?;
        self.classes.get(&class)?.get(&self.next_customer(class)?)?.head()
    }

    /// Removes the request from the queue.
    pub(crate) fn remove(&mut self, waiting: &Waiting) -> Option<Waiting> {
        let found = self.queue(waiting.priority, &waiting.customer).remove(waiting);
        self.len -= usize::from(found.is_some());
        found
    }

    fn queue(&mut self, class: Priority, customer: &CustomerName) -> &mut CustomerQueue {
        self.classes.entry(class).or_default().entry(customer.clone()).or_default()
    }

    /// Counts the return of one of the customer's refused requests.
    pub(crate) fn record_return(&mut self, customer: &CustomerName, class: Priority) {
        if self.queue(class, customer).record_return() {
            self.return_rate += RETURN_RATE_WEIGHT * (1.0 - self.return_rate);
        }
    }

    /// Schedules the time at which a refused request should return, `earliest` or later. Returns
    /// are spaced at the rate at which the customer's part of the slots can serve them.
    pub(crate) fn schedule_return(
        &mut self,
        customer: &CustomerName,
        class: Priority,
        earliest: Instant,
        slots: f64,
        now: Instant,
    ) -> Instant {
        let customers = self.other_customers(customer, class) + 1;
        let left = self.usage.slots_left_for(class, slots, now);
        let hold = self.usage.mean_hold(class).unwrap_or_default();
        let gap = admission::wait_behind(customers as f64, left, hold);
        self.queue(class, customer).schedule_return(earliest, gap)
    }

    /// Counts a grant to the customer and advances its start tag by the inverse of its share.
    pub(crate) fn record_grant(&mut self, customer: &CustomerName, class: Priority, share: u32) {
        self.update_floor_credit(class);
        self.usage.record_grant(class);
        let start = self.start_tag(customer);
        self.virtual_time = self.virtual_time.max(start);
        self.start_tags.insert(customer.clone(), start + 1.0 / f64::from(share.max(1)));
    }

    /// Removes and returns the requests whose latest start has passed, and removes missed returns.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<Waiting> {
        for class in self.classes.values_mut() {
            let missed: usize =
                class.values_mut().map(|queue| queue.remove_missed_returns(now)).sum();
            (0..missed).for_each(|_| self.return_rate -= RETURN_RATE_WEIGHT * self.return_rate);
            class.retain(|_, queue| !queue.is_idle());
        }
        let waiting = self.classes.values().flat_map(HashMap::values).flat_map(CustomerQueue::iter);
        let late: Vec<Waiting> = waiting.filter(|w| w.start_by <= now).cloned().collect();
        late.into_iter().filter_map(|waiting| self.remove(&waiting)).collect()
    }

    /// Removes and returns every request.
    pub(crate) fn take_all(&mut self) -> Vec<Waiting> {
        self.len = 0;
        let classes = std::mem::take(&mut self.classes).into_values();
        classes.flat_map(HashMap::into_values).flat_map(CustomerQueue::into_waiting).collect()
    }

    /// Expected wait of a new request if the lane has `slots` slots.
    pub(crate) fn expected_wait(
        &self,
        customer: &CustomerName,
        class: Priority,
        (returning, start_by): (bool, Instant),
        slots: f64,
        now: Instant,
    ) -> Duration {
        let hold = |class: Priority| self.usage.mean_hold(class).unwrap_or_default();
        let urgent = Priority::ALL.into_iter().filter(|c| *c < class);
        let urgent: Duration =
            urgent.map(|c| admission::wait_behind(self.waiting(c) as f64, slots, hold(c))).sum();
        // Customers are served in turn, so each request of the same customer that goes before the
        // new one counts once for every customer that waits.
        let own = self.classes.get(&class).and_then(|c| c.get(customer));
        let own = own.map_or(0.0, |queue| queue.ahead(returning, start_by, self.return_rate));
        let others = self.other_customers(customer, class) as f64;
        let left = self.usage.slots_left_for(class, slots, now);
        urgent + admission::wait_behind(own * (others + 1.0) + others + 1.0, left, hold(class))
    }

    /// Number of other customers with waiting requests in the class.
    fn other_customers(&self, customer: &CustomerName, class: Priority) -> usize {
        let waits =
            |(name, queue): &(&CustomerName, &CustomerQueue)| *name != customer && queue.len() > 0;
        self.classes.get(&class).map_or(0, |queues| queues.iter().filter(waits).count())
    }

    /// Whether a request of this class or of a more urgent one waits.
    pub(crate) fn has_waiting_up_to(&self, class: Priority) -> bool {
        let queues = self.classes.range(..=class).flat_map(|(_, queues)| queues.values());
        queues.into_iter().any(|queue| queue.len() > 0)
    }

    fn waiting(&self, class: Priority) -> usize {
        self.classes.get(&class).map_or(0, |c| c.values().map(CustomerQueue::len).sum())
    }

    /// Whether the least urgent class that waits has enough credit to get the next grant.
    pub(crate) fn floor_is_due(&self) -> bool {
        self.least_urgent().is_some_and(|class| self.floor_credit >= self.hold_seconds(class))
    }

    /// Credits the least urgent class with a fraction of the slot time granted to other classes,
    /// and debits its own.
    fn update_floor_credit(&mut self, granted: Priority) {
        let Some(least) = self.least_urgent() else { return };
        let hold = self.hold_seconds(granted);
        if granted == least {
            self.floor_credit = (self.floor_credit - hold).max(0.0);
        } else {
            let max_credit = MAX_FLOOR_CALLS * self.hold_seconds(least);
            self.floor_credit = (self.floor_credit + FLOOR_FRACTION * hold).min(max_credit);
        }
    }

    fn least_urgent(&self) -> Option<Priority> {
        Priority::ALL.into_iter().rfind(|class| self.waiting(*class) > 0)
    }

    /// Mean time in seconds for which a call of the class holds its slot. Without a sample of the
    /// class it is the longest of the other classes, and 1 second without any sample.
    fn hold_seconds(&self, class: Priority) -> f64 {
        let known = Priority::ALL.into_iter().filter_map(|c| self.usage.mean_hold(c)).max();
        let hold = self.usage.mean_hold(class).or(known);
        hold.map_or(1.0, |hold| hold.as_secs_f64().max(1e-3))
    }

    /// Class to serve next: the least urgent one if its floor is due, else the most urgent one.
    fn next_class(&self) -> Option<Priority> {
        if self.floor_is_due() {
            return self.least_urgent();
        }
        Priority::ALL.into_iter().find(|class| self.waiting(*class) > 0)
    }

    /// Customer to serve next: the one with the lowest start tag, then the one whose first request
    /// must start earliest.
    fn next_customer(&self, class: Priority) -> Option<CustomerName> {
        let heads = self.classes.get(&class)?.iter();
        let heads = heads.filter_map(|(name, queue)| Some((name, queue.head()?)));
        let first = heads.min_by(|a, b| {
            let by_share = self.start_tag(a.0).total_cmp(&self.start_tag(b.0));
            by_share.then_with(|| a.1.start_by.cmp(&b.1.start_by))
        });
        first.map(|(name, _)| name.clone())
    }

    /// Start tag of the customer, at least the virtual time, so that a customer without requests
    /// accumulates no claim to slots.
    fn start_tag(&self, customer: &CustomerName) -> f64 {
        self.start_tags.get(customer).copied().unwrap_or(0.0).max(self.virtual_time)
    }
}
