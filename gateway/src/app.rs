//! Everything that the tasks of a VM hold on to.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use batching::JobKey;
use fleet::UnreachableHalls;
use ids::{ServiceName, VmName};
use peering::work::Beat;
use platform_adapter::Adapter;
use result_leases::LinkKey;
use slog::Logger;
use telemetry::Metrics;
use tokio::sync::Notify;

use crate::connections::Connections;
use crate::held_results::HeldResults;
use crate::hub::Hub;
use crate::outbound_links::{DialerSender, Link};
use crate::piece_events::Sink;
use crate::releases::QueuedRelease;
use crate::settings::Settings;

/// What the tasks of a VM hold on to; all of them run on one thread.
pub(crate) struct App {
    pub(crate) cfg: Settings,
    pub(crate) adapter: Adapter,
    pub(crate) hub: Hub,
    pub(crate) connections: Connections,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    /// Links that this VM dialled, by the peer's name.
    pub(crate) links: RefCell<HashMap<VmName, Rc<Link>>>,
    /// Who gets the results of pieces whose calls this VM fills.
    pub(crate) sinks: RefCell<BTreeMap<(ServiceName, JobKey), Sink>>,
    /// Results that are given up, by workers that are being told.
    pub(crate) release_notices: RefCell<HashMap<SocketAddr, Vec<QueuedRelease>>>,
    /// Results that requests of this VM hold.
    pub(crate) held: HeldResults,
    /// Ways to the peers that hold results which this VM had made.
    pub(crate) lease_links: RefCell<HashMap<LinkKey, DialerSender>>,
    /// Pools with a look at their queue already planned.
    pub(crate) planned_pool_checks: RefCell<HashMap<ServiceName, tokio::time::Instant>>,
    /// Addresses to which links are wanted.
    pub(crate) wanted_links: RefCell<BTreeSet<SocketAddr>>,
    /// Where VMs take links of which the first word was heard since the last look, and the incarnation of
    /// their process. Dialling them anew
    /// at once ends the time in which VMs that start together have owners of their own (1.5 s before):
    /// 0.004 to 0.007 of a loaded day.
    pub(crate) new_peer_addresses: RefCell<BTreeMap<SocketAddr, u64>>,
    /// The last heartbeat that was put together, and when.
    pub(crate) last_heartbeat: RefCell<Option<(tokio::time::Instant, Beat)>>,
    /// Told when the list of VMs changes.
    pub(crate) vms_changed: Notify,
    /// Data halls that are out of reach.
    pub(crate) unreachable_halls: tokio::sync::watch::Sender<UnreachableHalls>,
    /// Whether the last call to the store was answered.
    pub(crate) store_reachable: tokio::sync::watch::Sender<bool>,
    /// Told when the watch of the store stands still.
    pub(crate) watch_stalled: Notify,
    /// Told when the process begins to stop.
    pub(crate) stopping: tokio::sync::watch::Sender<bool>,
    /// Callers' connections that are open.
    pub(crate) open_caller_connections: Cell<usize>,
    /// Told when connections at rest are to be closed.
    pub(crate) closing: tokio::sync::watch::Sender<bool>,
}

impl App {
    /// Whether this VM has dialled a link to an address that stands.
    pub(crate) fn has_link_to(&self, address: SocketAddr) -> bool {
        self.links.borrow().values().any(|link| link.address == address)
    }
}
