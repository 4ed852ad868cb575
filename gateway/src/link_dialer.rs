//! Which VMs this one dials, and when a dial is begun anew.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

use crate::app::App;
use crate::hub::left;
use crate::outbound_links::maintain_link;

/// Pause between two looks at whom to dial.
const LOOK_PAUSE: Duration = Duration::from_millis(500);

/// Dials under way and links that stand, by address.
#[derive(Default)]
struct Dials {
    tasks: HashMap<SocketAddr, AbortHandle>,
    /// The process at an address for which a dial was begun anew.
    begun_anew: HashMap<SocketAddr, u64>,
}

impl Dials {
    /// A process was heard at an address, so it is there now: a dial that began before it was is begun
    /// anew, once for each process. More often, two VMs that dial each other would each end the
    /// other's dial without end.
    fn heard(&mut self, app: &App, address: SocketAddr, incarnation: u64) {
        if app.has_link_to(address)
            || self.begun_anew.insert(address, incarnation) == Some(incarnation)
        {
            return;
        }
        if let Some(task) = self.tasks.remove(&address) {
            task.abort();
        }
    }

    fn dial(&mut self, app: &Rc<App>, wanted: BTreeSet<SocketAddr>) {
        self.tasks.retain(|_, task| !task.is_finished());
        for address in wanted {
            let begin = || spawn_local(maintain_link(Rc::clone(app), address)).abort_handle();
            self.tasks.entry(address).or_insert_with(begin);
        }
    }
}

/// Pause before the next look; a target whose entry lapsed is taken as gone when its time is over, not later.
fn until_next_look(app: &App) -> Duration {
    let lapse = app.hub.with(|shared, _| shared.next_grace_end());
    lapse.map_or(LOOK_PAUSE, |at| left(at).min(LOOK_PAUSE))
}

/// Keeps a link to each VM to which one is wanted.
pub(crate) async fn maintain_links(app: Rc<App>) {
    let mut dials = Dials::default();
    loop {
        for (address, incarnation) in app.new_peer_addresses.take() {
            dials.heard(&app, address, incarnation);
        }
        let wanted = wanted(&app);
        app.wanted_links.replace(wanted.clone());
        dials.dial(&app, wanted);
        drop(timeout(until_next_look(&app), app.vms_changed.notified()).await);
        app.hub.with(|shared, now| {
            shared.fleet.forget_silent(now);
            shared.expire_lapsed_targets(now);
            shared.departures.remove_expired(now);
            shared.backoffs.remove_expired(now);
            shared.rates.remove_expired(now);
            shared.token_buckets.remove_expired(now);
            shared.refresh_account_owners(now);
            shared.update_cold_shares(now);
        });
    }
}

/// Addresses of VMs to which links are wanted; the settings' seeds while no VM is known.
fn wanted(app: &App) -> BTreeSet<SocketAddr> {
    let mut wanted = app.hub.with(|shared, _| shared.wanted_links());
    if wanted.is_empty() {
        wanted.extend(&app.cfg.seeds);
    }
    // An owner takes over the results of a VM that does not link to it again.
    wanted.extend(app.held.origins());
    wanted.remove(&app.cfg.peers);
    wanted
}
