//! Keeps this VM's own entry in the platform's store, under a lease that it renews. Other VMs read
//! there its link address, data hall and cores.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use platform_interface::store::Write;
use slog::info;
use tokio::time::sleep;

use crate::app::App;
use crate::state_handle::now;
use crate::store_calls::{MAX_RETRY_PAUSE, record_failure, record_success, unreadable};
use crate::store_changes::vms_prefix;
use crate::store_connection::{StoreCallError, StoreConnection};

/// Time to live of the lease: how long the entry remains after this VM has ended. Peers that were
/// linked to it count it for as long.
const LEASE_TTL: Duration = Duration::from_secs(20);
/// Interval between two renewals of a VM that follows the store itself: their answers show that the
/// store is reachable.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1900);
/// Interval between two renewals of a VM that receives changes from others: two in a row may fail
/// before the lease expires. Each renewal costs a tenth of a counted call, and nearly all VMs of a
/// large fleet are such.
const RELAYED_RENEWAL_INTERVAL: Duration = Duration::from_millis(6000);

/// Interval at which a VM that receives changes from others checks whether it still does.
const RENEWAL_CHECK_INTERVAL: Duration = Duration::from_millis(950);

/// Keeps the entry in the store; runs as long as the process.
pub(crate) async fn maintain(app: Rc<App>) {
    let mut store = StoreConnection::new(&app);
    let key = format!("{}{}", vms_prefix(&app.adapter), app.cfg.vm);
    loop {
        wait_until_store_reachable(&app).await;
        match write_entry(&app, &mut store, &key).await {
            Ok(lease_id) => renew(&app, &mut store, lease_id).await,
            Err(error) => slog::debug!(app.log, "own entry not written"; "why" => %error),
        }
        sleep(MAX_RETRY_PAUSE).await;
    }
}

/// Waits until the store is reachable. Only the task that follows the store probes it while it is
/// unreachable; the others wait for that task.
async fn wait_until_store_reachable(app: &App) {
    let mut reachable = app.store_reachable.subscribe();
    // Fails only when the process ends.
    drop(reachable.wait_for(|reachable| *reachable).await);
}

/// Writes the entry under a new lease; returns the lease's id.
async fn write_entry(
    app: &Rc<App>,
    store: &mut StoreConnection,
    key: &str,
) -> Result<u64, StoreCallError> {
    let answer = store.call("lease", (app.adapter.store.lease)(LEASE_TTL), Duration::ZERO).await?;
    let lease = (app.adapter.store.read_lease)(&answer.body).map_err(unreadable)?;
    let value = own_entry(app);
    let write = Write { key: key.to_owned(), value, lease: lease.id };
    store.call("write", (app.adapter.store.put)(&write), Duration::ZERO).await?;
    info!(app.log, "own entry written"; "key" => key, "lease_ms" => lease.ttl.as_millis());
    Ok(lease.id)
}

/// Waits until the next renewal is due, `interval` after the last one, or longer while this VM
/// receives the changes of the store from others.
async fn wait_until_due(app: &App, interval: Duration) {
    let since = now();
    sleep(interval).await;
    let relies_on_peers = || {
        app.state.with(|shared, now| {
            let relies = !shared.watches_store && !shared.fleet.must_watch_store(now);
            let interval = if relies { RELAYED_RENEWAL_INTERVAL } else { RENEWAL_INTERVAL };
            shared.contact.expect_answer_within(interval);
            relies
        })
    };
    let until_due = || RELAYED_RENEWAL_INTERVAL.saturating_sub(now() - since);
    while relies_on_peers() && !until_due().is_zero() {
        // A renewal that is late by a check's interval would look like a loss of the store.
        sleep(RENEWAL_CHECK_INTERVAL.min(until_due())).await;
    }
    wait_until_store_reachable(app).await;
}

/// Renews the lease until the store reports that it has expired.
async fn renew(app: &Rc<App>, store: &mut StoreConnection, lease_id: u64) {
    let mut pause = RENEWAL_INTERVAL;
    loop {
        wait_until_due(app, pause).await;
        let call = (app.adapter.store.renew)(lease_id);
        match store.call("renew", call, Duration::ZERO).await {
            Ok(_) => {
                record_success(app);
                pause = RENEWAL_INTERVAL;
            }
            Err(StoreCallError::LeaseNotFound) => {
                info!(app.log, "lease of own entry expired"; "lease" => lease_id);
                return;
            }
            Err(error) => {
                record_failure(app, "renew", &error);
                pause = MAX_RETRY_PAUSE;
            }
        }
    }
}

/// The value of this VM's entry, as JSON.
fn own_entry(app: &App) -> Bytes {
    let entry = app.state.with(|shared, _| serde_json::to_vec(shared.fleet.own_entry()));
    // A plain struct of strings and numbers always serializes.
    Bytes::from(entry.unwrap_or_default())
}
