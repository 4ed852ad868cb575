//! Decides which VMs this VM dials and when a dial is restarted. [`crate::outbound_links`] serves
//! the links themselves.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

use crate::app::App;
use crate::outbound_links::maintain_link;
use crate::state_handle::time_until;

/// Longest interval between two checks of which links are wanted.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The tasks that dial addresses and serve the links, one per address.
#[derive(Default)]
struct Dials {
    tasks: HashMap<SocketAddr, AbortHandle>,
    /// Incarnation of the process for which the dial of an address was last restarted.
    restarted_for: HashMap<SocketAddr, u64>,
}

impl Dials {
    /// Cancels the dial of an address after a link from the process there arrived: that process
    /// accepts links by now, and the dial may have begun before it did. A dial is canceled only
    /// once for each process; otherwise two VMs that dial each other would cancel each other's
    /// dials forever.
    fn restart_dial(&mut self, app: &App, address: SocketAddr, incarnation: u64) {
        if app.has_link_to(address)
            || self.restarted_for.insert(address, incarnation) == Some(incarnation)
        {
            return;
        }
        if let Some(task) = self.tasks.remove(&address) {
            task.abort();
        }
    }

    /// Starts a task for each wanted address that has none.
    fn dial(&mut self, app: &Rc<App>, wanted_addresses: BTreeSet<SocketAddr>) {
        self.tasks.retain(|_, task| !task.is_finished());
        for address in wanted_addresses {
            let begin = || spawn_local(maintain_link(Rc::clone(app), address)).abort_handle();
            self.tasks.entry(address).or_insert_with(begin);
        }
    }
}

/// Time until the next check: at most [`CHECK_INTERVAL`], and no later than the end of the grace
/// period of a target whose entry lapsed, so that the target is removed on time.
fn until_next_check(app: &App) -> Duration {
    let grace_end = app.state.with(|shared, _| shared.next_grace_end());
    grace_end.map_or(CHECK_INTERVAL, |at| time_until(at).min(CHECK_INTERVAL))
}

/// Keeps a link to each VM to which one is wanted, and removes expired state; runs as long as the
/// process.
pub(crate) async fn maintain_links(app: Rc<App>) {
    let mut dials = Dials::default();
    loop {
        for (address, incarnation) in app.new_peer_addresses.take() {
            dials.restart_dial(&app, address, incarnation);
        }
        let wanted_addresses = wanted_addresses(&app);
        app.wanted_links.replace(wanted_addresses.clone());
        dials.dial(&app, wanted_addresses);
        drop(timeout(until_next_check(&app), app.vms_changed.notified()).await);
        app.state.with(|shared, now| {
            shared.fleet.forget_silent(now);
            shared.expire_lapsed_targets(now);
            shared.end_era_graces(now);
            shared.update_brittle_shares(now);
            shared.departures.remove_expired(now);
            shared.backoffs.remove_expired(now);
            shared.rates.remove_expired(now);
            shared.token_buckets.remove_expired(now);
            shared.refresh_bucket_owners(now);
            shared.update_cold_shares(now);
        });
    }
}

/// Addresses of VMs to which links are wanted; the configured seeds while no VM is known.
fn wanted_addresses(app: &App) -> BTreeSet<SocketAddr> {
    let mut wanted_addresses = app.state.with(|shared, _| shared.wanted_links());
    if wanted_addresses.is_empty() {
        wanted_addresses.extend(&app.cfg.seeds);
    }
    // Owners of results that this VM holds: an owner releases the results of a VM that does not
    // reconnect to it.
    wanted_addresses.extend(app.held.origins());
    wanted_addresses.remove(&app.cfg.peers);
    wanted_addresses
}
