//! Accepts callers' HTTP/1 connections and serves each in a task of its own. Closes those that are
//! idle for too long, and all idle ones during shutdown.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::app::App;
use crate::requests;
use crate::state_handle::now;

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Interval at which a connection is checked for being idle too long.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// Factor on the configured idle time, so that a caller that keeps to that time is never
/// disconnected.
const IDLE_GRACE_FACTOR: f64 = 1.2;
/// Idle time that is allowed while no configuration is known.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(60);

/// Accepts callers' connections until idle connections are closed during shutdown.
pub(crate) async fn accept(app: Rc<App>, listener: TcpListener) {
    let mut closing = app.closing.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                spawn_local(serve(Rc::clone(&app), stream));
            }
            Err(e) => {
                slog::warn!(app.log, "accepting a caller's connection failed"; "why" => %e);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Counts a caller's connection as open while this exists. Shutdown waits for it, since an answer
/// may not have been written to the connection yet.
struct OpenConnection(Rc<App>);

impl OpenConnection {
    fn new(app: &Rc<App>) -> Self {
        app.open_caller_connections.update(|open| open + 1);
        OpenConnection(Rc::clone(app))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_caller_connections.update(|open| open - 1);
    }
}

/// Serves the requests of one connection until it is closed.
async fn serve(app: Rc<App>, stream: TcpStream) {
    let _open = OpenConnection::new(&app);
    // Without TCP_NODELAY, an event waits until earlier ones are acknowledged. A failure is
    // harmless: the connection works without it.
    drop(stream.set_nodelay(true));
    let active_requests = Rc::new(Cell::new(0u32));
    let idle_since = Rc::new(Cell::new(now()));
    let was_used = Rc::new(Cell::new(false));
    let service = service_fn({
        let (app, active_requests, idle_since) =
            (Rc::clone(&app), Rc::clone(&active_requests), Rc::clone(&idle_since));
        let was_used = Rc::clone(&was_used);
        move |req| {
            was_used.set(true);
            let (app, active_requests, idle_since) =
                (Rc::clone(&app), Rc::clone(&active_requests), Rc::clone(&idle_since));
            async move {
                active_requests.set(active_requests.get() + 1);
                let mut answer = requests::answer(Rc::clone(&app), req).await;
                if *app.stopping.borrow() {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                active_requests.set(active_requests.get() - 1);
                idle_since.set(now());
                Ok::<_, Infallible>(answer)
            }
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(None);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut closing = app.closing.subscribe();
    let mut is_closing = false;
    loop {
        tokio::select! {
            // Errors need no handling: the connection's requests ended with it.
            _ = connection.as_mut() => return,
            _ = closing.wait_for(|closing| *closing), if !is_closing => {
                // hyper's graceful shutdown would wait for the first request of the connection.
                if !was_used.get() {
                    return;
                }
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = sleep(IDLE_CHECK_INTERVAL) => {
                let allowed = app.state.with(|shared, _| {
                    shared
                        .intent
                        .as_ref()
                        .map_or(DEFAULT_IDLE_TIME, |intent| intent.bounds.idle_wait)
                });
                let is_overdue = now() - idle_since.get() > allowed.mul_f64(IDLE_GRACE_FACTOR);
                if active_requests.get() == 0 && is_overdue {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
