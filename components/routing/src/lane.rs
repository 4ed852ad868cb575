//! The requests that wait for a slot at one set of targets.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use ids::{CustomerName, Priority};
use slotmap::new_key_type;

use crate::admission;
use crate::target::TargetKey;
use crate::usage::Usage;

new_key_type! {
    /// Key of a lane in the router's arena.
    pub(crate) struct LaneKey;
}

/// Number of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitId(pub u64);

/// One grant in this many goes to the least urgent class that waits, so that long work finishes.
const FLOOR_EVERY: u64 = 10;

/// A request that waits for a slot.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) id: WaitId,
    pub(crate) customer: CustomerName,
    pub(crate) priority: Priority,
    /// When the stage must begin at the latest to be of use.
    pub(crate) start_by: Instant,
    pub(crate) exclude: Vec<TargetKey>,
    pub(crate) prefix: Option<u64>,
    pub(crate) since: Instant,
}

/// Order in which a customer's requests of one class are served: the least time left first.
type ByTimeLeft = BTreeMap<(Instant, WaitId), Waiting>;

/// A queue ordered by class, then by the customer that had least for its share, then by time
/// left.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    pub(crate) targets: Vec<TargetKey>,
    classes: BTreeMap<Priority, HashMap<CustomerName, ByTimeLeft>>,
    len: usize,
    grants: u64,
    /// What each customer was given for its share; the classic start-time fair queue.
    served: HashMap<CustomerName, f64>,
    /// The virtual time: what the customer served last had been given.
    virtual_time: f64,
    pub(crate) usage: Usage,
}

impl Lane {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, waiting: Waiting) {
        let class = self.classes.entry(waiting.priority).or_default();
        let queue = class.entry(waiting.customer.clone()).or_default();
        queue.insert((waiting.start_by, waiting.id), waiting);
        self.len += 1;
    }

    /// The request to serve next, left where it is.
    pub(crate) fn head(&self) -> Option<&Waiting> {
        let class = self.next_class()?;
        let queue = self.classes.get(&class)?.get(&self.next_customer(class)?)?;
        queue.values().next()
    }

    /// Takes the request out of the queue.
    pub(crate) fn remove(&mut self, waiting: &Waiting) -> Option<Waiting> {
        let class = self.classes.get_mut(&waiting.priority)?;
        let queue = class.get_mut(&waiting.customer)?;
        let found = queue.remove(&(waiting.start_by, waiting.id));
        if queue.is_empty() {
            class.remove(&waiting.customer);
        }
        if class.is_empty() {
            self.classes.remove(&waiting.priority);
        }
        self.len -= usize::from(found.is_some());
        found
    }

    /// Counts a grant to the customer.
    pub(crate) fn granted(&mut self, customer: &CustomerName, class: Priority, share: u32) {
        self.grants += 1;
        self.usage.granted(class);
        let start = self.start_of(customer);
        self.virtual_time = self.virtual_time.max(start);
        self.served.insert(customer.clone(), start + 1.0 / f64::from(share.max(1)));
    }

    /// Takes out every request that is too late to be of use.
    pub(crate) fn take_late(&mut self, now: Instant) -> Vec<Waiting> {
        let queues = self.classes.values().flat_map(|class| class.values());
        let late: Vec<Waiting> = queues
            .flat_map(|queue| queue.values().take_while(|w| w.start_by <= now))
            .cloned()
            .collect();
        late.into_iter().filter_map(|waiting| self.remove(&waiting)).collect()
    }

    /// Takes out every request.
    pub(crate) fn take_all(&mut self) -> Vec<Waiting> {
        self.len = 0;
        let classes = std::mem::take(&mut self.classes).into_values();
        classes.flat_map(HashMap::into_values).flat_map(BTreeMap::into_values).collect()
    }

    /// Time that a new request waits, with `slots` slots in all.
    pub(crate) fn wait(
        &self,
        customer: &CustomerName,
        class: Priority,
        slots: f64,
        now: Instant,
    ) -> Duration {
        let hold = |class: Priority| self.usage.hold(class).unwrap_or_default();
        let urgent = Priority::ALL.into_iter().filter(|c| *c < class);
        let urgent: Duration =
            urgent.map(|c| admission::wait_behind(self.waiting(c), slots, hold(c))).sum();
        // A customer with few waiting requests is served in turn with the others, so it waits for
        // its own queue times the customers that wait, at most for the whole queue.
        let queues = self.classes.get(&class);
        let own = queues.and_then(|q| q.get(customer)).map_or(0, BTreeMap::len);
        let others = queues.map_or(0, |q| q.keys().filter(|name| *name != customer).count());
        let ahead = self.waiting(class).min(own * (others + 1) + others);
        let left = self.usage.left_for(class, slots, now);
        urgent + admission::wait_behind(ahead + 1, left, hold(class))
    }

    /// Whether a request of this class or a more urgent one waits.
    pub(crate) fn has_waiting_up_to(&self, class: Priority) -> bool {
        self.classes.range(..=class).next().is_some()
    }

    fn waiting(&self, class: Priority) -> usize {
        self.classes.get(&class).map_or(0, |c| c.values().map(BTreeMap::len).sum())
    }

    /// Whether the next grant is the one in a few that goes to the least urgent class.
    pub(crate) fn at_floor(&self) -> bool {
        self.grants % FLOOR_EVERY == FLOOR_EVERY - 1
    }

    fn next_class(&self) -> Option<Priority> {
        let mut classes = self.classes.keys();
        if self.at_floor() { classes.next_back().copied() } else { classes.next().copied() }
    }

    fn next_customer(&self, class: Priority) -> Option<CustomerName> {
        let customers = self.classes.get(&class)?.iter();
        let order = |a: &(&CustomerName, &ByTimeLeft), b: &(&CustomerName, &ByTimeLeft)| {
            let by_share = self.start_of(a.0).total_cmp(&self.start_of(b.0));
            by_share.then_with(|| a.1.keys().next().cmp(&b.1.keys().next()))
        };
        customers.min_by(order).map(|(name, _)| name.clone())
    }

    fn start_of(&self, customer: &CustomerName) -> f64 {
        self.served.get(customer).copied().unwrap_or(0.0).max(self.virtual_time)
    }
}
