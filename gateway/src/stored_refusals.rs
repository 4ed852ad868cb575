//! Persists what is refused (requests and parts of prompts that crash targets) in the platform's
//! store, so that a fleet whose VMs all lose power still refuses it after the restart.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use platform_interface::store::Write;
use quarantine::{Crash, LifetimeId, Refused, Suspect};
use serde::{Deserialize, Serialize};
use slog::{debug, info, warn};
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};

use crate::app::App;
use crate::shared::Shared;
use crate::state_handle;
use crate::store_calls::unreadable;
use crate::store_connection::{StoreCallError, StoreConnection};

/// Interval at which refused requests are written to the store; peers hear of them sooner, over
/// links.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which expired records of crashes are removed from memory.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);
/// Longest lease that the platform grants; longer ones are capped to it.
const MAX_LEASE: Duration = Duration::from_secs(600);

/// Prefix of the keys of refused requests, below this system's own prefix.
const KEY_PREFIX: &str = "quarantine/";

/// Value of a refused request in the store, as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredRefusal {
    /// Lifetimes of targets that the request crashed, as text; empty if an operator released the
    /// request.
    ended: Vec<String>,
}

impl StoredRefusal {
    fn of(refused: &Refused) -> Self {
        StoredRefusal { ended: refused.ended.iter().map(ToString::to_string).collect() }
    }

    /// Whether this contains all lifetimes of the other one.
    fn covers(&self, other: &StoredRefusal) -> bool {
        other.ended.iter().all(|ended| self.ended.contains(ended))
    }
}

impl Shared {
    /// Has refused requests written again, of which the store may have lost some.
    pub(crate) fn write_refusals_again(&mut self, now: Instant) {
        if self.is_refusal_writer(now) {
            self.quarantine.mark_all_unwritten();
        }
    }

    /// Applies an entry under this system's own prefix if it is a refused request; false if it is
    /// something else.
    pub(crate) fn apply_stored_refusal(&mut self, key: &str, value: &[u8], now: Instant) -> bool {
        let prefix = key_prefix(self);
        let Some(suspect) = key.strip_prefix(&prefix) else { return false };
        let stored: Result<StoredRefusal, _> = serde_json::from_slice(value);
        let (Some(suspect), Ok(stored)) = (Suspect::parse(suspect), stored) else {
            warn!(self.log, "refused request entry ignored"; "key" => key);
            return true;
        };
        let lifetimes = stored.ended.iter().filter_map(|text| LifetimeId::parse(text));
        let crash = |lifetime| Crash { suspect, lifetime, cleared: false, at: None };
        let crashes: Vec<Crash> = lifetimes.map(crash).collect();
        self.merge_crashes(&crashes, "store", now);
        self.quarantine.renew(&suspect, now);
        true
    }
}

/// Writes refused requests to the store and removes expired records, for as long as the process
/// runs.
pub(crate) async fn run(app: Rc<App>) {
    let mut store = StoreConnection::new(&app);
    let mut ticks = interval(WRITE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_expiry = state_handle::now();
    loop {
        let now = ticks.tick().await.into_std();
        if now.saturating_duration_since(last_expiry) > EXPIRY_INTERVAL {
            last_expiry = now;
            app.state.with(|shared, now| shared.quarantine.remove_expired(now));
        }
        if !*app.store_reachable.borrow() {
            continue;
        }
        let unwritten = app.state.with(|shared, now| shared.quarantine.unwritten(now));
        for refused in unwritten {
            if let Err(why) = write(&app, &mut store, &refused).await {
                debug!(app.log, "writing refused request failed"; "why" => %why);
                break;
            }
        }
    }
}

/// Writes a refused request to the store, unless the store already holds all of its crashes.
async fn write(
    app: &App,
    store: &mut StoreConnection,
    refused: &Refused,
) -> Result<(), StoreCallError> {
    let key = app.state.with(|shared, _| key_of(shared, &refused.suspect));
    let current = StoredRefusal::of(refused);
    let is_stored = app.state.with(|shared, _| {
        let is_of_era = shared.view.revision_of(&key).era == shared.view.as_of().era;
        let stored = shared.view.get(&key).filter(|_| is_of_era);
        let stored = stored.and_then(|value| serde_json::from_slice(value).ok());
        stored.is_some_and(|stored: StoredRefusal| stored.covers(&current))
    });
    if !is_stored {
        put(app, store, &key, &current).await?;
    }
    app.state.with(|shared, _| shared.quarantine.mark_written(&refused.suspect));
    Ok(())
}

/// Puts a refused request into the store under a new lease; the store deletes it when the lease
/// expires.
async fn put(
    app: &App,
    store: &mut StoreConnection,
    key: &str,
    stored: &StoredRefusal,
) -> Result<(), StoreCallError> {
    let ttl = app.cfg.quarantine.duration().min(MAX_LEASE);
    let answer = store.call("lease", (app.adapter.store.lease)(ttl), Duration::ZERO).await?;
    let lease = (app.adapter.store.read_lease)(&answer.body).map_err(unreadable)?;
    // A struct of strings always serializes.
    let value = Bytes::from(serde_json::to_vec(stored).unwrap_or_default());
    let write = Write { key: key.to_owned(), value, lease: lease.id };
    store.call("write", (app.adapter.store.put)(&write), Duration::ZERO).await?;
    info!(app.log, "refused request written"; "key" => key, "ended" => stored.ended.len(),
        "lease_ms" => lease.ttl.as_millis());
    Ok(())
}

/// Releases a refused request on behalf of an operator; false if no crashes count against it. The
/// store's entry is overwritten with an empty one in the background.
pub(crate) fn release(app: &Rc<App>, suspect: Suspect) -> bool {
    let had_crashes = app.state.with(|shared, now| shared.quarantine.clear(&suspect, now));
    if had_crashes {
        warn!(app.log, "refused request released"; "content" => %suspect);
        let app = Rc::clone(app);
        spawn_local(async move {
            let key = app.state.with(|shared, _| key_of(shared, &suspect));
            let mut store = StoreConnection::new(&app);
            let none = StoredRefusal { ended: Vec::new() };
            if let Err(why) = put(&app, &mut store, &key, &none).await {
                warn!(app.log, "clearing refused request in the store failed"; "key" => key,
                    "why" => %why);
            }
        });
    }
    had_crashes
}

fn key_prefix(shared: &Shared) -> String {
    format!("{}{KEY_PREFIX}", shared.adapter.intents.own_prefix)
}

fn key_of(shared: &Shared, suspect: &Suspect) -> String {
    format!("{}{suspect}", key_prefix(shared))
}
