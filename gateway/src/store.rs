//! Follows the platform's store: reads what it holds, waits for changes, and keeps this VM's own
//! entry there under a lease.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use doors::store::{Page, StoreCall, StoreItem, Write};
use http::StatusCode;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use slog::{info, warn};
use store_view::Item;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::app::App;
use crate::connections::connect;
use crate::shared::vms_prefix;

/// Longest wait of a watch. Each one is a counted call; that the store is out of reach shows sooner,
/// in the renewals of this VM's lease, which cost a tenth of it.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// After a change the watch pauses for this part of the time within which changes must be in force,
/// so that many changes in a row cost few calls.
const GATHER_PART: u32 = 2;
/// Longest wait for an answer beside the watch's own.
const ANSWER_WAIT: Duration = Duration::from_millis(900);
/// First pause after a failed call; doubles with each one in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(80);
/// Longest pause after a failed call: refused calls count too, and a store that is back is found
/// well within the seconds that changes may take after its return.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// How long this VM's entry outlasts it.
const LEASE: Duration = Duration::from_secs(6);
/// Pause between two renewals: two may be lost.
const RENEWAL: Duration = Duration::from_millis(1900);

/// Why a call to the store gave nothing.
#[derive(Debug, Display)]
enum Miss {
    /// the history before the wanted revision is forgotten
    Forgotten,
    /// the lease is over
    NoLease,
    /// {0}; it may have been done
    Failed(String),
}

/// A connection to the store; a call that was not answered ends it.
struct Line {
    app: Rc<App>,
    open: Option<(SendRequest<Full<Bytes>>, AbortHandle)>,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.close();
    }
}

impl Line {
    fn new(app: &Rc<App>) -> Self {
        Line { app: Rc::clone(app), open: None }
    }

    fn close(&mut self) {
        if let Some((_, task)) = self.open.take() {
            task.abort();
        }
    }

    async fn call(
        &mut self,
        kind: &'static str,
        call: StoreCall,
        wait: Duration,
    ) -> Result<Bytes, Miss> {
        let sent = timeout(wait + ANSWER_WAIT, self.send(call)).await;
        let answer = sent.unwrap_or_else(|_| Err("no answer in time".to_owned()));
        self.app.metrics.platform_call(kind, answer.is_ok());
        let (status, body) = answer.map_err(|problem| {
            self.close();
            Miss::Failed(problem)
        })?;
        match status {
            StatusCode::OK => Ok(body),
            StatusCode::GONE => Err(Miss::Forgotten),
            StatusCode::NOT_FOUND => Err(Miss::NoLease),
            other => Err(Miss::Failed(format!("status {}", other.as_u16()))),
        }
    }

    async fn send(&mut self, call: StoreCall) -> Result<(StatusCode, Bytes), String> {
        let address = self.app.cfg.store;
        if self.open.as_ref().is_none_or(|(sender, _)| sender.is_closed()) {
            self.close();
            let stream = connect(address).await?;
            let shake = Builder::new().handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await;
            let (sender, connection) = shake.map_err(|e| e.to_string())?;
            // Its end shows in the sender.
            let task = tokio::task::spawn_local(async move { drop(connection.await) });
            self.open = Some((sender, task.abort_handle()));
        }
        let Some((sender, _)) = &mut self.open else { return Err("not connected".to_owned()) };
        let req = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(http::header::HOST, address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(call.body))
            .map_err(|e| e.to_string())?;
        sender.ready().await.map_err(|e| e.to_string())?;
        let answer = sender.send_request(req).await.map_err(|e| e.to_string())?;
        let status = answer.status();
        let body = answer.into_body().collect().await.map_err(|e| e.to_string())?.to_bytes();
        Ok((status, body))
    }
}

/// Follows the store for as long as the process runs.
pub(crate) async fn follow(app: Rc<App>) {
    let mut line = Line::new(&app);
    let mut pause = FIRST_PAUSE;
    loop {
        match list_all(&app, &mut line).await {
            Ok(as_of) => {
                pause = FIRST_PAUSE;
                watch(&app, &mut line, as_of).await;
            }
            Err(miss) => {
                failed(&app, "list", &miss);
                sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Reads all that this VM has to know; gives the revision from which changes are to be watched.
async fn list_all(app: &Rc<App>, line: &mut Line) -> Result<u64, Miss> {
    let door = app.doors.intents;
    let mut as_of = u64::MAX;
    for prefix in [door.intent_key, door.targets_prefix, door.own_prefix] {
        as_of = as_of.min(list(app, line, prefix).await?);
    }
    app.hub.with(|shared, _| shared.view.reached(as_of));
    app.vms_changed.notify_one();
    Ok(as_of)
}

async fn list(app: &Rc<App>, line: &mut Line, prefix: &str) -> Result<u64, Miss> {
    let mut items = Vec::new();
    let mut as_of: Option<u64> = None;
    loop {
        let after = items.last().map(|item: &Item| item.key.clone());
        let call = (app.doors.store.list)(prefix, after.as_deref());
        let body = line.call("list", call, Duration::ZERO).await?;
        let page = (app.doors.store.read_list)(&body).map_err(unreadable)?;
        as_of = Some(as_of.map_or(page.as_of, |first| first.min(page.as_of)));
        let more = page.truncated && !page.items.is_empty();
        items.extend(page.items.into_iter().map(item));
        if !more {
            break;
        }
    }
    heard(app);
    let as_of = as_of.unwrap_or(0);
    app.hub.with(|shared, now| shared.merge_listing(prefix, items, as_of, now));
    Ok(as_of)
}

/// Waits for changes until the history is forgotten.
async fn watch(app: &Rc<App>, line: &mut Line, mut as_of: u64) {
    let mut pause = FIRST_PAUSE;
    let mut reached = app.store_reached.subscribe();
    loop {
        // A store that was lost is asked for what there is now: an answer shows that it is back.
        let wait = if *reached.borrow_and_update() { WATCH_WAIT } else { Duration::ZERO };
        // One watch over all keys: a counted call each, and one revision for all of them.
        let call = (app.doors.store.watch)("", as_of, wait);
        let page = tokio::select! {
            page = line.call("watch", call, wait) => page,
            () = lost(&mut reached), if !wait.is_zero() => {
                line.close();
                continue;
            }
        };
        match page.and_then(read_page(app)) {
            Ok(page) => {
                heard(app);
                pause = FIRST_PAUSE;
                as_of = as_of.max(page.as_of);
                let changed = !page.items.is_empty();
                take(app, page);
                if changed {
                    sleep(app.cfg.in_force() / GATHER_PART).await;
                }
            }
            Err(Miss::Forgotten) => {
                info!(app.log, "the store forgot its history"; "after" => as_of);
                return;
            }
            Err(miss) => {
                failed(app, "watch", &miss);
                sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

fn read_page(app: &Rc<App>) -> impl FnOnce(Bytes) -> Result<Page, Miss> {
    let read = app.doors.store.read_watch;
    move |body| read(&body).map_err(unreadable)
}

fn take(app: &Rc<App>, page: Page) {
    let own_prefix = app.doors.intents.own_prefix;
    let vms = page.items.iter().any(|item| item.key.starts_with(own_prefix));
    app.hub.with(|shared, now| {
        let items = page.items.into_iter().map(item).collect();
        shared.merge(items, "store", now);
        shared.view.reached(page.as_of);
    });
    if vms {
        app.vms_changed.notify_one();
    }
}

fn item(item: StoreItem) -> Item {
    Item { key: item.key, revision: item.revision, value: item.value }
}

fn unreadable(e: errors::Error) -> Miss {
    Miss::Failed(e.to_string())
}

/// Ends when the store was reached and is not any more.
async fn lost(reached: &mut tokio::sync::watch::Receiver<bool>) {
    if reached.wait_for(|reached| !reached).await.is_err() {
        // The process is ending.
        std::future::pending::<()>().await;
    }
}

fn heard(app: &App) {
    app.store_reached.send_if_modified(|reached| !std::mem::replace(reached, true));
    if app.hub.with(|shared, now| shared.contact.heard(now)) {
        info!(app.log, "store regained");
    }
}

fn failed(app: &App, what: &str, miss: &Miss) {
    app.store_reached.send_if_modified(|reached| std::mem::replace(reached, false));
    let (newly, age) =
        app.hub.with(|shared, now| (shared.contact.failed(), shared.contact.age(now)));
    if newly {
        warn!(app.log, "store lost"; "call" => what, "why" => %miss,
            "heard_ms" => age.map(|age| age.as_millis()));
    }
}

/// Keeps this VM's entry in the store.
pub(crate) async fn keep_entry(app: Rc<App>) {
    let mut line = Line::new(&app);
    let key = format!("{}{}", vms_prefix(&app.doors), app.cfg.vm);
    loop {
        wait_reached(&app).await;
        match enter(&app, &mut line, &key).await {
            Ok(lease) => renew(&app, &mut line, lease).await,
            Err(miss) => slog::debug!(app.log, "own entry not written"; "why" => %miss),
        }
        sleep(LONGEST_PAUSE).await;
    }
}

/// Waits until the store answers; one task asks a store that is lost, the others wait for it.
async fn wait_reached(app: &App) {
    let mut reached = app.store_reached.subscribe();
    // It fails only when the process ends.
    drop(reached.wait_for(|reached| *reached).await);
}

async fn enter(app: &Rc<App>, line: &mut Line, key: &str) -> Result<u64, Miss> {
    let body = line.call("lease", (app.doors.store.lease)(LEASE), Duration::ZERO).await?;
    let lease = (app.doors.store.read_lease)(&body).map_err(unreadable)?;
    let value = own_entry(app);
    let write = Write { key: key.to_owned(), value, lease: lease.id };
    line.call("write", (app.doors.store.put)(&write), Duration::ZERO).await?;
    info!(app.log, "own entry written"; "key" => key, "lease_ms" => lease.ttl.as_millis());
    Ok(lease.id)
}

/// Renews the lease until it is over.
async fn renew(app: &Rc<App>, line: &mut Line, lease: u64) {
    let mut pause = RENEWAL;
    loop {
        sleep(pause).await;
        wait_reached(app).await;
        let call = (app.doors.store.renew)(lease);
        match line.call("renew", call, Duration::ZERO).await {
            Ok(_) => {
                heard(app);
                pause = RENEWAL;
            }
            Err(Miss::NoLease) => {
                info!(app.log, "lease over"; "lease" => lease);
                return;
            }
            Err(miss) => {
                failed(app, "renew", &miss);
                pause = LONGEST_PAUSE;
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
