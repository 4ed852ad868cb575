//! Sends orders to the engines of a hall's targets, from the one VM that holds the hall's orders
//! lease.
//!
//! An order states the wanted condition of an engine, such as its model and version, and not a step
//! toward it. So a duplicate or late order does no harm that the next check does not correct. See
//! `docs/design/orders.md`.

use std::thread;
use std::time::{Duration, Instant};

use catalogue::Target;
use ids::{HallName, Incarnation, Revision, VmName};
use slog::{Logger, info, warn};
use store_client::{LeaseGrant, Store};
use target_calls::{ORDER_TIMEOUT, Order, OrderClient, OrderResult};

use crate::dispatcher_messages::Message;
use crate::dispatcher_thread::DispatcherHandle;

/// Duration of the lease; it is renewed at each check and before each order.
const LEASE_DURATION: Duration = Duration::from_secs(4);
/// Interval between two checks of the hall's engines.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Engines checked per interval while nothing changes.
const CHECKS_PER_INTERVAL: usize = 4;
/// Pause between two orders, because the engines' weight store is rate-limited.
const ORDER_PAUSE: Duration = Duration::from_millis(200);

/// Sends the orders of one hall while this VM holds its lease.
pub(crate) struct OrderSender {
    pub(crate) vm: VmName,
    pub(crate) hall: HallName,
    pub(crate) incarnation: Incarnation,
    pub(crate) store: Store,
    pub(crate) dispatcher: DispatcherHandle,
    pub(crate) log: Logger,
}

/// The lease as last renewed, and when this VM acquired it.
#[derive(Debug, Clone, Copy)]
struct OrdersLease {
    held: LeaseGrant,
    since: Instant,
}

/// Starts the sender's thread.
pub(crate) fn start(sender: OrderSender) {
    thread::spawn(move || sender.run());
}

/// Chooses the engines to check.
///
/// After a change of lease holder or configuration these are all, until every one has its wanted
/// condition or has taken the order for it. Otherwise they are a few in rotation, which bounds the
/// checks in a large hall.
#[derive(Debug, Default)]
struct CheckRotation {
    /// Fencing token and revision of the last check, if every engine checked had its wanted
    /// condition or took the order for it.
    all_satisfied_under: Option<(u64, Revision)>,
    /// Number of engines already checked in rotation.
    next: usize,
}

impl CheckRotation {
    /// Engines to check now, under the given fencing token and configuration.
    fn due<'a>(
        &mut self,
        targets: &[&'a Target],
        fence_and_revision: (u64, Revision),
    ) -> Vec<&'a Target> {
        if self.all_satisfied_under != Some(fence_and_revision) {
            return targets.to_vec();
        }
        let from = self.next;
        self.next = self.next.wrapping_add(CHECKS_PER_INTERVAL);
        let count = CHECKS_PER_INTERVAL.min(targets.len());
        (0..count).map(|n| targets[from.wrapping_add(n) % targets.len()]).collect()
    }
}

impl OrderSender {
    /// Checks the engines at each interval until the dispatcher ends.
    fn run(&self) {
        let orders = OrderClient::default();
        let (mut lease, mut rotation) = (None, CheckRotation::default());
        while let Ok((current, _)) =
            self.dispatcher.ask(|tx| Message::Configurations(Revision(0), tx))
        {
            if let Some(current) = current {
                let in_own_hall = |t: &&Target| t.hall == self.hall && !t.wanted.is_empty();
                let targets: Vec<&Target> =
                    current.catalogue.targets.values().filter(in_own_hall).collect();
                if !targets.is_empty() {
                    self.check_targets(
                        &orders,
                        &targets,
                        current.revision,
                        &mut lease,
                        &mut rotation,
                    );
                }
            }
            thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Renews the lease and checks the engines that are due.
    fn check_targets(
        &self,
        orders: &OrderClient,
        targets: &[&Target],
        revision: Revision,
        lease: &mut Option<OrdersLease>,
        rotation: &mut CheckRotation,
    ) {
        self.renew_lease(lease);
        let Some(fence_and_revision) = lease.map(|h| (h.held.fence, revision)) else { return };
        let due = rotation.due(targets, fence_and_revision);
        let satisfied =
            due.iter().filter(|target| self.ensure_wanted(orders, target, lease)).count();
        rotation.all_satisfied_under = (satisfied == due.len()).then_some(fence_and_revision);
    }

    /// Orders the wanted condition if the target has another. Returns whether the target now has it
    /// or has taken the order.
    fn ensure_wanted(
        &self,
        orders: &OrderClient,
        target: &Target,
        lease: &mut Option<OrdersLease>,
    ) -> bool {
        let Some(found) = orders.condition(target.address) else { return false };
        if found.wanted == target.wanted {
            return true;
        }
        // The lease may have expired while the target was queried.
        self.renew_lease(lease);
        let Some(lease) = lease.filter(|h| may_order(h, target)) else { return false };
        let order = Order { fence: lease.held.fence, wanted: target.wanted.clone() };
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

    /// Acquires or renews the lease; without a definite answer it counts as not held.
    fn renew_lease(&self, lease: &mut Option<OrdersLease>) {
        let name = format!("orders-{}", self.hall);
        let holder = format!("{}/{}", self.vm, self.incarnation);
        let held =
            store_client::acquire_lease(&self.store, &name, &holder, LEASE_DURATION).ok().flatten();
        let before = *lease;
        *lease = held.map(|held| match before {
            Some(old) if old.held.fence == held.fence => OrdersLease { held, since: old.since },
            _ => OrdersLease { held, since: Instant::now() },
        });
        let fence = lease.map(|h| h.held.fence);
        if fence != before.map(|h| h.held.fence) {
            info!(self.log, "orders lease changed"; "fence" => ?fence);
            self.dispatcher.tell(Message::OrdersFence(fence));
        }
    }
}

/// Whether an order may be sent now: the lease must outlast the order's timeout, and no order of
/// the previous holder may still be in flight to a target that does not check the fencing token.
fn may_order(lease: &OrdersLease, target: &Target) -> bool {
    let now = Instant::now();
    let outlasts = now + ORDER_TIMEOUT < lease.held.until;
    let waited = now >= lease.since + ORDER_TIMEOUT;
    outlasts && (target.checks_fence || waited)
}
