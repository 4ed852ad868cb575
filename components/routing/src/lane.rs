//! The requests that wait for a slot at one set of targets.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use ids::{CustomerName, Priority};
use slotmap::new_key_type;

use crate::admission;
use crate::queue::{CustomerQueue, Waiting};
use crate::target::TargetKey;
use crate::usage::Usage;

new_key_type! {
    /// Key of a lane in the router's arena.
    pub(crate) struct LaneKey;
}

/// Number of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitId(pub u64);

/// Share of the slots' time that the least urgent class that waits gets in any case, so that long
/// work finishes.
const FLOOR_SHARE: f64 = 0.05;
/// Most time that this class is given at once, in calls of its own.
const MOST_FLOOR_CALLS: f64 = 2.0;

/// Weight of one request in the share of those that come back.
const SHOWS_WEIGHT: f64 = 0.05;

/// A queue ordered by class, then by the customer that had least for its share, then by time
/// left.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    pub(crate) targets: Vec<TargetKey>,
    classes: BTreeMap<Priority, HashMap<CustomerName, CustomerQueue>>,
    len: usize,
    /// Slot time that the least urgent class has earned by grants to others, in seconds.
    floor: f64,
    /// What each customer was given for its share; the classic start-time fair queue.
    served: HashMap<CustomerName, f64>,
    /// The virtual time: what the customer served last had been given.
    virtual_time: f64,
    pub(crate) usage: Usage,
    /// Share of the refused requests that come back at the time told.
    shows: f64,
}

impl Lane {
    /// An empty queue for the targets.
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

    /// The request to serve next, left where it is.
    pub(crate) fn head(&self) -> Option<&Waiting> {
        let class = self.next_class()?;
        self.classes.get(&class)?.get(&self.next_customer(class)?)?.head()
    }

    /// Takes the request out of the queue.
    pub(crate) fn remove(&mut self, waiting: &Waiting) -> Option<Waiting> {
        let found = self.queue(waiting.priority, &waiting.customer).remove(waiting);
        self.len -= usize::from(found.is_some());
        found
    }

    fn queue(&mut self, class: Priority, customer: &CustomerName) -> &mut CustomerQueue {
        self.classes.entry(class).or_default().entry(customer.clone()).or_default()
    }

    /// Counts one of the customer's requests that was told to come back and has come.
    pub(crate) fn came_back(&mut self, customer: &CustomerName, class: Priority) {
        if self.queue(class, customer).came_back() {
            self.shows += SHOWS_WEIGHT * (1.0 - self.shows);
        }
    }

    /// The time at which a refused request should come back, `earliest` or later: as many are
    /// told each time as the customer's part of the slots can serve.
    pub(crate) fn book(
        &mut self,
        customer: &CustomerName,
        class: Priority,
        earliest: Instant,
        slots: f64,
        now: Instant,
    ) -> Instant {
        let sharing = self.others(customer, class) + 1;
        let left = self.usage.left_for(class, slots, now);
        let hold = self.usage.hold(class).unwrap_or_default();
        let gap = admission::wait_behind(sharing as f64, left, hold);
        self.queue(class, customer).book(earliest, gap)
    }

    /// Counts a grant to the customer.
    pub(crate) fn granted(&mut self, customer: &CustomerName, class: Priority, share: u32) {
        self.count_floor(class);
        self.usage.granted(class);
        let start = self.start_of(customer);
        self.virtual_time = self.virtual_time.max(start);
        self.served.insert(customer.clone(), start + 1.0 / f64::from(share.max(1)));
    }

    /// Takes out every request that is too late to be of use, and forgets who did not come back.
    pub(crate) fn take_late(&mut self, now: Instant) -> Vec<Waiting> {
        for class in self.classes.values_mut() {
            let missed: usize = class.values_mut().map(|queue| queue.forget_missed(now)).sum();
            (0..missed).for_each(|_| self.shows -= SHOWS_WEIGHT * self.shows);
            class.retain(|_, queue| !queue.is_idle());
        }
        let waiting = self.classes.values().flat_map(HashMap::values).flat_map(CustomerQueue::iter);
        let late: Vec<Waiting> = waiting.filter(|w| w.start_by <= now).cloned().collect();
        late.into_iter().filter_map(|waiting| self.remove(&waiting)).collect()
    }

    /// Takes out every request.
    pub(crate) fn take_all(&mut self) -> Vec<Waiting> {
        self.len = 0;
        let classes = std::mem::take(&mut self.classes).into_values();
        classes.flat_map(HashMap::into_values).flat_map(CustomerQueue::into_waiting).collect()
    }

    /// Time that a new request waits, with `slots` slots in all.
    pub(crate) fn wait(
        &self,
        customer: &CustomerName,
        class: Priority,
        (returning, start_by): (bool, Instant),
        slots: f64,
        now: Instant,
    ) -> Duration {
        let hold = |class: Priority| self.usage.hold(class).unwrap_or_default();
        let urgent = Priority::ALL.into_iter().filter(|c| *c < class);
        let urgent: Duration =
            urgent.map(|c| admission::wait_behind(self.waiting(c) as f64, slots, hold(c))).sum();
        // Customers are served in turn, so a request waits for those of its own customer that go
        // before it times the customers that wait.
        let own = self.classes.get(&class).and_then(|c| c.get(customer));
        let own = own.map_or(0.0, |queue| queue.ahead(returning, start_by, self.shows));
        let others = self.others(customer, class) as f64;
        let left = self.usage.left_for(class, slots, now);
        urgent + admission::wait_behind(own * (others + 1.0) + others + 1.0, left, hold(class))
    }

    /// Other customers that wait in the class.
    fn others(&self, customer: &CustomerName, class: Priority) -> usize {
        let waits =
            |(name, queue): &(&CustomerName, &CustomerQueue)| *name != customer && queue.len() > 0;
        self.classes.get(&class).map_or(0, |queues| queues.iter().filter(waits).count())
    }

    /// Whether a request of this class or a more urgent one waits.
    pub(crate) fn has_waiting_up_to(&self, class: Priority) -> bool {
        let queues = self.classes.range(..=class).flat_map(|(_, queues)| queues.values());
        queues.into_iter().any(|queue| queue.len() > 0)
    }

    fn waiting(&self, class: Priority) -> usize {
        self.classes.get(&class).map_or(0, |c| c.values().map(CustomerQueue::len).sum())
    }

    /// Whether the next grant goes to the least urgent class that waits.
    pub(crate) fn at_floor(&self) -> bool {
        self.least_urgent().is_some_and(|class| self.floor >= self.hold_seconds(class))
    }

    /// The least urgent class earns a share of the time granted to others, and pays with its own.
    fn count_floor(&mut self, granted: Priority) {
        let Some(least) = self.least_urgent() else { return };
        let hold = self.hold_seconds(granted);
        if granted == least {
            self.floor = (self.floor - hold).max(0.0);
        } else {
            let most = MOST_FLOOR_CALLS * self.hold_seconds(least);
            self.floor = (self.floor + FLOOR_SHARE * hold).min(most);
        }
    }

    fn least_urgent(&self) -> Option<Priority> {
        Priority::ALL.into_iter().rfind(|class| self.waiting(*class) > 0)
    }

    /// Time that a call of the class holds its slot; that of the other classes while none of its
    /// own was seen.
    fn hold_seconds(&self, class: Priority) -> f64 {
        let known = Priority::ALL.into_iter().filter_map(|c| self.usage.hold(c)).max();
        let hold = self.usage.hold(class).or(known);
        hold.map_or(1.0, |hold| hold.as_secs_f64().max(1e-3))
    }

    fn next_class(&self) -> Option<Priority> {
        if self.at_floor() {
            return self.least_urgent();
        }
        Priority::ALL.into_iter().find(|class| self.waiting(*class) > 0)
    }

    fn next_customer(&self, class: Priority) -> Option<CustomerName> {
        let heads = self.classes.get(&class)?.iter();
        let heads = heads.filter_map(|(name, queue)| Some((name, queue.head()?)));
        let first = heads.min_by(|a, b| {
            let by_share = self.start_of(a.0).total_cmp(&self.start_of(b.0));
            by_share.then_with(|| a.1.start_by.cmp(&b.1.start_by))
        });
        first.map(|(name, _)| name.clone())
    }

    fn start_of(&self, customer: &CustomerName) -> f64 {
        self.served.get(customer).copied().unwrap_or(0.0).max(self.virtual_time)
    }
}
