//! The context that every task of the process holds: settings, connections, links and the signals
//! by which tasks notify each other.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use batching::JobKey;
use caller_budget::CallerBudget;
use fleet::UnreachableHalls;
use ids::{ServiceName, VmName};
use peering::work::Beat;
use platform_interface::PlatformAdapter;
use result_leases::LinkKey;
use slog::Logger;
use telemetry::Metrics;
use tokio::sync::Notify;

use crate::answer_memory::AnswerMemory;
use crate::caller_connections::CallerConnections;
use crate::connections::Connections;
use crate::held_results::HeldResults;
use crate::outbound_links::{DialerSender, Link};
use crate::piece_events::Sink;
use crate::releases::QueuedRelease;
use crate::settings::Settings;
use crate::state_handle::StateHandle;

/// Context shared by all tasks through an `Rc`; they run on one thread.
pub(crate) struct App {
    pub(crate) cfg: Settings,
    /// Translates between the platform's wire formats and the types of `platform_interface`.
    pub(crate) adapter: PlatformAdapter,
    /// Access to the shared state.
    pub(crate) state: StateHandle,
    /// Budget of what callers hold until they are answered.
    pub(crate) caller_budget: CallerBudget,
    /// Memory for the bodies of answers.
    pub(crate) answer_memory: AnswerMemory,
    /// Memory for answers of the store while they are read.
    pub(crate) store_memory: AnswerMemory,
    /// Connections to targets.
    pub(crate) connections: Connections,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    /// Links dialed by this VM, by peer name.
    pub(crate) links: RefCell<HashMap<VmName, Rc<Link>>>,
    /// Receivers of the results of pieces that this VM assigns to calls as pool owner.
    pub(crate) sinks: RefCell<BTreeMap<(ServiceName, JobKey), Sink>>,
    /// Releases of results still to be sent, by worker address. An entry exists while a task is
    /// sending to that worker.
    pub(crate) queued_releases: RefCell<HashMap<SocketAddr, Vec<QueuedRelease>>>,
    /// Results held by requests of this VM.
    pub(crate) held: HeldResults,
    /// Senders to the peers that hold leases on results produced in this VM's calls.
    pub(crate) lease_links: RefCell<HashMap<LinkKey, DialerSender>>,
    /// Time of the next scheduled queue check of each pool that has one.
    pub(crate) planned_pool_checks: RefCell<HashMap<ServiceName, tokio::time::Instant>>,
    /// Peer addresses to which links should exist.
    pub(crate) wanted_links: RefCell<BTreeSet<SocketAddr>>,
    /// Link addresses of peers whose first message arrived since the last dial round, with the
    /// incarnation of their process. Dials to them are restarted at once: VMs that start together
    /// would otherwise disagree on pool owners for about 1.5 s, which costs 0.4 to 0.7 % of the
    /// requests' value on a day of high load.
    pub(crate) new_peer_addresses: RefCell<BTreeMap<SocketAddr, u64>>,
    /// The last heartbeat that was built, and when; it is the same for all peers, so one serves
    /// many links.
    pub(crate) last_heartbeat: RefCell<Option<(tokio::time::Instant, Beat)>>,
    /// Notified when a stream began at another version than planned, or should.
    pub(crate) versions_deviate: Notify,
    /// Notified when the list of VMs changes.
    pub(crate) vms_changed: Notify,
    /// Data halls that are currently unreachable.
    pub(crate) unreachable_halls: tokio::sync::watch::Sender<UnreachableHalls>,
    /// Whether the last call to the store was answered.
    pub(crate) store_reachable: tokio::sync::watch::Sender<bool>,
    /// Notified when the watch on the store delivers nothing although peers learn of newer changes.
    pub(crate) watch_stalled: Notify,
    /// Becomes true when shutdown begins.
    pub(crate) stopping: tokio::sync::watch::Sender<bool>,
    /// Number of connections to targets that this VM relays for peers.
    pub(crate) relayed_for_peers: Cell<usize>,
    /// Number of checks of paths to targets in progress.
    pub(crate) path_checks: Cell<usize>,
    /// The open connections of callers.
    pub(crate) caller_connections: CallerConnections,
    /// Becomes true when callers' idle connections are to be closed during shutdown.
    pub(crate) closing: tokio::sync::watch::Sender<bool>,
}

impl App {
    /// Whether a link dialed by this VM to `address` is open.
    pub(crate) fn has_link_to(&self, address: SocketAddr) -> bool {
        self.links.borrow().values().any(|link| link.address == address)
    }
}
