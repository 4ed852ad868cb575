//! Refused requests in the platform's store: a fleet that loses power as a whole finds there whom to refuse.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use platform_adapter::store::Write;
use quarantine::{Crash, Lifetime, RefusedRequest, RequestDigest};
use serde::{Deserialize, Serialize};
use slog::{debug, info, warn};
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};

use crate::app::App;
use crate::hub;
use crate::shared::Shared;
use crate::store_connection::{StoreCallError, StoreConnection};
use crate::store_watch::unreadable;

/// Pause between two looks at what is to be written into the store: peers hear of it by links.
const WRITE_LOOK: Duration = Duration::from_millis(500);
/// Pause between two looks at what is to be forgotten.
const FORGET_LOOK: Duration = Duration::from_secs(10);
/// Longest lease that the platform grants.
const LONGEST_LEASE: Duration = Duration::from_secs(600);

/// Start of the keys under which refused requests stand, after the prefix of what this system writes.
const KEYS: &str = "quarantine/";

/// What the store holds of a refused request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredRefusal {
    /// Lifetimes of targets that it ended, as text; none if it was released.
    ended: Vec<String>,
}

impl StoredRefusal {
    fn of(refused: &RefusedRequest) -> Self {
        StoredRefusal { ended: refused.ended.iter().map(ToString::to_string).collect() }
    }

    /// Whether this says all that the other one does.
    fn covers(&self, other: &StoredRefusal) -> bool {
        other.ended.iter().all(|ended| self.ended.contains(ended))
    }
}

impl Shared {
    /// Takes what the store tells under this system's own prefix, if it is a refused request.
    pub(crate) fn apply_stored_refusal(&mut self, key: &str, value: &[u8], now: Instant) -> bool {
        let prefix = keys_prefix(self);
        let Some(content) = key.strip_prefix(&prefix) else { return false };
        let stored: Result<StoredRefusal, _> = serde_json::from_slice(value);
        let (Some(content), Ok(stored)) = (RequestDigest::parse(content), stored) else {
            warn!(self.log, "refused request's entry left out"; "key" => key);
            return true;
        };
        let lifetimes = stored.ended.iter().filter_map(|text| Lifetime::parse(text));
        let crashes: Vec<Crash> =
            lifetimes.map(|lifetime| Crash { digest: content, lifetime, cleared: false }).collect();
        self.merge_crashes(&crashes, "store", now);
        self.quarantine.renew(&content, now);
        true
    }
}

/// Writes refused requests into the store, which keeps them when all VMs lose power, and forgets what is
/// over; for as long as the process runs.
pub(crate) async fn run(app: Rc<App>) {
    let mut store = StoreConnection::new(&app);
    let mut looks = interval(WRITE_LOOK);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut forgot = hub::now();
    loop {
        let now = looks.tick().await.into_std();
        if now.saturating_duration_since(forgot) > FORGET_LOOK {
            forgot = now;
            app.hub.with(|shared, now| shared.quarantine.remove_expired(now));
        }
        if !*app.store_reachable.borrow() {
            continue;
        }
        let unwritten = app.hub.with(|shared, now| shared.quarantine.unwritten(now));
        for refused in unwritten {
            if let Err(why) = write(&app, &mut store, &refused).await {
                debug!(app.log, "refused request not written"; "why" => %why);
                break;
            }
        }
    }
}

async fn write(
    app: &App,
    store: &mut StoreConnection,
    refused: &RefusedRequest,
) -> Result<(), StoreCallError> {
    let key = app.hub.with(|shared, _| key_of(shared, &refused.digest));
    let known = StoredRefusal::of(refused);
    let stands = app.hub.with(|shared, _| {
        let stored = shared.view.get(&key).and_then(|value| serde_json::from_slice(value).ok());
        stored.is_some_and(|stored: StoredRefusal| stored.covers(&known))
    });
    if !stands {
        put(app, store, &key, &known).await?;
    }
    app.hub.with(|shared, _| shared.quarantine.mark_written(&refused.digest));
    Ok(())
}

async fn put(
    app: &App,
    store: &mut StoreConnection,
    key: &str,
    stored: &StoredRefusal,
) -> Result<(), StoreCallError> {
    let lasts = app.cfg.quarantine.lasts().min(LONGEST_LEASE);
    let body = store.call("lease", (app.adapter.store.lease)(lasts), Duration::ZERO).await?;
    let lease = (app.adapter.store.read_lease)(&body).map_err(unreadable)?;
    // A plain struct of texts always serializes.
    let value = Bytes::from(serde_json::to_vec(stored).unwrap_or_default());
    let write = Write { key: key.to_owned(), value, lease: lease.id };
    store.call("write", (app.adapter.store.put)(&write), Duration::ZERO).await?;
    info!(app.log, "refused request written"; "key" => key, "ended" => stored.ended.len(),
        "lease_ms" => lease.ttl.as_millis());
    Ok(())
}

/// Releases a request by an operator's word; false if nothing is known of it.
pub(crate) fn release(app: &Rc<App>, content: RequestDigest) -> bool {
    let known = app.hub.with(|shared, now| shared.quarantine.clear(&content, now));
    if known {
        warn!(app.log, "refused request released"; "content" => %content);
        let app = Rc::clone(app);
        spawn_local(async move {
            let key = app.hub.with(|shared, _| key_of(shared, &content));
            let mut store = StoreConnection::new(&app);
            let none = StoredRefusal { ended: Vec::new() };
            if let Err(why) = put(&app, &mut store, &key, &none).await {
                warn!(app.log, "refused request still in the store"; "key" => key, "why" => %why);
            }
        });
    }
    known
}

fn keys_prefix(shared: &Shared) -> String {
    format!("{}{KEYS}", shared.adapter.intents.own_prefix)
}

fn key_of(shared: &Shared, content: &RequestDigest) -> String {
    format!("{}{content}", keys_prefix(shared))
}
