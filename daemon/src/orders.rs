//! Orders to the engines of a hall, given by the one VM that holds the hall's lease.
//!
//! An order states a wanted condition, not a step, so one that comes twice or late does no harm
//! that the next look does not mend. See `docs/design/orders.md`.

use std::thread;
use std::time::{Duration, Instant};

use catalogue::Target;
use ids::{HallName, Incarnation, Revision, VmName};
use slog::{Logger, info, warn};
use store_client::{HeldLease, Store};
use target_calls::{ORDER_TIMEOUT, Order, OrderClient, OrderResult};

use crate::ask::Message;
use crate::runtime::Desk;

/// Time for which the lease is taken; it is renewed before each order.
const LEASE: Duration = Duration::from_secs(4);
/// Time between two looks at the hall's engines.
const LOOK: Duration = Duration::from_secs(1);
/// Engines looked at each time while nothing changes.
const LOOKS_IN_TURN: usize = 4;
/// Time between two orders, since the engines' weight store is rate-limited.
const ORDER_PAUSE: Duration = Duration::from_millis(200);

/// Gives the orders of one hall while this VM holds its lease.
pub(crate) struct OrderGiver {
    pub(crate) vm: VmName,
    pub(crate) hall: HallName,
    pub(crate) incarnation: Incarnation,
    pub(crate) store: Store,
    pub(crate) desk: Desk,
    pub(crate) log: Logger,
}

/// The present holding and when it began.
#[derive(Debug, Clone, Copy)]
struct Holding {
    held: HeldLease,
    since: Instant,
}

/// Starts the thread.
pub(crate) fn start(giver: OrderGiver) {
    thread::spawn(move || giver.run());
}

/// Which engines to look at: all after a change of holder or configuration, else a few in turn, so
/// that the looks stay few in a large hall.
#[derive(Debug, Default)]
struct Turns {
    all_seen: Option<(u64, Revision)>,
    next: usize,
}

impl Turns {
    /// Engines due at a look under this fence and configuration.
    fn due<'a>(&mut self, targets: &[&'a Target], at: (u64, Revision)) -> Vec<&'a Target> {
        if self.all_seen != Some(at) {
            return targets.to_vec();
        }
        let from = self.next;
        self.next = self.next.wrapping_add(LOOKS_IN_TURN);
        let count = LOOKS_IN_TURN.min(targets.len());
        (0..count).map(|n| targets[from.wrapping_add(n) % targets.len()]).collect()
    }
}

impl OrderGiver {
    fn run(&self) {
        let orders = OrderClient::default();
        let (mut holding, mut turns) = (None, Turns::default());
        while let Ok((current, _)) = self.desk.ask(|tx| Message::Current(Revision(0), tx)) {
            if let Some(current) = current {
                let ours = |t: &&Target| t.hall == self.hall && !t.wanted.is_empty();
                let targets: Vec<&Target> =
                    current.catalogue.targets.values().filter(ours).collect();
                if !targets.is_empty() {
                    self.look(&orders, &targets, current.revision, &mut holding, &mut turns);
                }
            }
            thread::sleep(LOOK);
        }
    }

    fn look(
        &self,
        orders: &OrderClient,
        targets: &[&Target],
        revision: Revision,
        holding: &mut Option<Holding>,
        turns: &mut Turns,
    ) {
        self.renew(holding);
        let Some(at) = holding.map(|h| (h.held.fence, revision)) else { return };
        let due = turns.due(targets, at);
        let right = due.iter().filter(|target| self.see_to(orders, target, holding)).count();
        turns.all_seen = (right == due.len()).then_some(at);
    }

    /// Orders the target's wanted condition if it is in another; says whether it is in it now.
    fn see_to(&self, orders: &OrderClient, target: &Target, holding: &mut Option<Holding>) -> bool {
        let Some(found) = orders.condition(target.address) else { return false };
        if found.wanted == target.wanted {
            return true;
        }
        // The lease may have ended while the target was asked.
        self.renew(holding);
        let Some(holding) = holding.filter(|h| may_order(h, target)) else { return false };
        let order = Order { fence: holding.held.fence, wanted: target.wanted.clone() };
        let end = orders.send(target.address, &order);
        match &end {
            OrderResult::Taken => info!(self.log, "order taken"; "target" => %target.name,
                "fence" => order.fence, "wanted" => ?order.wanted),
            OrderResult::Fenced | OrderResult::Unknown(_) => warn!(self.log, "order not taken";
                "target" => %target.name, "fence" => order.fence, "end" => ?end),
        }
        thread::sleep(ORDER_PAUSE);
        end == OrderResult::Taken
    }

    /// Takes or renews the lease; without a certain answer it counts as not held.
    fn renew(&self, holding: &mut Option<Holding>) {
        let name = format!("orders-{}", self.hall);
        let holder = format!("{}/{}", self.vm, self.incarnation);
        let held = store_client::acquire_lease(&self.store, &name, &holder, LEASE).ok().flatten();
        let before = *holding;
        *holding = held.map(|held| match before {
            Some(old) if old.held.fence == held.fence => Holding { held, since: old.since },
            _ => Holding { held, since: Instant::now() },
        });
        let fence = holding.map(|h| h.held.fence);
        if fence != before.map(|h| h.held.fence) {
            info!(self.log, "orders lease"; "fence" => ?fence);
            self.desk.tell(Message::HoldsOrders(fence));
        }
    }
}

/// Whether an order may be sent now: the lease outlasts it, and an order of the holder before can
/// not be under way any more to a target that would take it.
fn may_order(holding: &Holding, target: &Target) -> bool {
    let now = Instant::now();
    let outlasts = now + ORDER_TIMEOUT < holding.held.until;
    let waited = now >= holding.since + ORDER_TIMEOUT;
    outlasts && (target.checks_fence || waited)
}
