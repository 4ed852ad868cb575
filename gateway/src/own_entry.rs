//! Keeps this VM's own entry in the store, under a lease.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use platform_adapter::store::Write;
use slog::info;
use tokio::time::sleep;

use crate::app::App;
use crate::shared::vms_prefix;
use crate::store_connection::{StoreCallError, StoreConnection};
use crate::store_watch::{MAX_RETRY_PAUSE, record_failure, record_success, unreadable};

/// How long this VM's entry outlasts it.
const LEASE: Duration = Duration::from_secs(6);
/// Pause between two renewals: two may be lost.
const RENEWAL: Duration = Duration::from_millis(1900);

/// Keeps the entry for as long as the process runs.
pub(crate) async fn maintain(app: Rc<App>) {
    let mut store = StoreConnection::new(&app);
    let key = format!("{}{}", vms_prefix(&app.adapter), app.cfg.vm);
    loop {
        wait_reached(&app).await;
        match enter(&app, &mut store, &key).await {
            Ok(lease) => renew(&app, &mut store, lease).await,
            Err(miss) => slog::debug!(app.log, "own entry not written"; "why" => %miss),
        }
        sleep(MAX_RETRY_PAUSE).await;
    }
}

/// Waits until the store answers; one task asks a store that is lost, the others wait for it.
async fn wait_reached(app: &App) {
    let mut reached = app.store_reachable.subscribe();
    // It fails only when the process ends.
    drop(reached.wait_for(|reached| *reached).await);
}

async fn enter(
    app: &Rc<App>,
    store: &mut StoreConnection,
    key: &str,
) -> Result<u64, StoreCallError> {
    let body = store.call("lease", (app.adapter.store.lease)(LEASE), Duration::ZERO).await?;
    let lease = (app.adapter.store.read_lease)(&body).map_err(unreadable)?;
    let value = own_entry(app);
    let write = Write { key: key.to_owned(), value, lease: lease.id };
    store.call("write", (app.adapter.store.put)(&write), Duration::ZERO).await?;
    info!(app.log, "own entry written"; "key" => key, "lease_ms" => lease.ttl.as_millis());
    Ok(lease.id)
}

/// Renews the lease until it is over.
async fn renew(app: &Rc<App>, store: &mut StoreConnection, lease: u64) {
    let mut pause = RENEWAL;
    loop {
        sleep(pause).await;
        wait_reached(app).await;
        let call = (app.adapter.store.renew)(lease);
        match store.call("renew", call, Duration::ZERO).await {
            Ok(_) => {
                record_success(app);
                pause = RENEWAL;
            }
            Err(StoreCallError::LeaseNotFound) => {
                info!(app.log, "lease over"; "lease" => lease);
                return;
            }
            Err(miss) => {
                record_failure(app, "renew", &miss);
                pause = MAX_RETRY_PAUSE;
            }
        }
    }
}

/// What a VM writes of itself into the store.
fn own_entry(app: &App) -> Bytes {
    let entry = app.hub.with(|shared, _| serde_json::to_vec(shared.fleet.own_entry()));
    // A plain struct of texts and numbers always serializes.
    Bytes::from(entry.unwrap_or_default())
}
