//! Callers' connections: one task each.

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
use crate::hub::now;
use crate::requests;

/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two looks at whether a connection rested too long.
const REST_LOOK: Duration = Duration::from_secs(3);
/// Rest beyond what the configuration grants, so that a caller that keeps to it is never cut.
const REST_EXTRA: f64 = 1.2;
/// Rest of a connection while no configuration is known.
const REST_UNKNOWN: Duration = Duration::from_secs(60);

/// Takes callers' connections until the process stops taking them.
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
                slog::warn!(app.log, "connection not taken"; "why" => %e);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Counts a caller's connection for as long as it is open: what was answered on it may not have been written yet.
struct Open(Rc<App>);

impl Open {
    fn new(app: &Rc<App>) -> Self {
        app.open_caller_connections.update(|open| open + 1);
        Open(Rc::clone(app))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open_caller_connections.update(|open| open - 1);
    }
}

async fn serve(app: Rc<App>, stream: TcpStream) {
    let _open = Open::new(&app);
    // Without it events wait for earlier ones to be confirmed; the connection works all the same.
    drop(stream.set_nodelay(true));
    let busy = Rc::new(Cell::new(0u32));
    let rested = Rc::new(Cell::new(now()));
    let used = Rc::new(Cell::new(false));
    let service = service_fn({
        let (app, busy, rested) = (Rc::clone(&app), Rc::clone(&busy), Rc::clone(&rested));
        let used = Rc::clone(&used);
        move |req| {
            used.set(true);
            let (app, busy, rested) = (Rc::clone(&app), Rc::clone(&busy), Rc::clone(&rested));
            async move {
                busy.set(busy.get() + 1);
                let mut answer = requests::answer(Rc::clone(&app), req).await;
                if *app.stopping.borrow() {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                busy.set(busy.get() - 1);
                rested.set(now());
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
            // However it ends, its tasks have ended with it.
            _ = connection.as_mut() => return,
            _ = closing.wait_for(|closing| *closing), if !is_closing => {
                // hyper would wait for the first request.
                if !used.get() {
                    return;
                }
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = sleep(REST_LOOK) => {
                let granted = app.hub.with(|shared, _| {
                    shared.intent.as_ref().map_or(REST_UNKNOWN, |intent| intent.bounds.idle_wait)
                });
                let over = now() - rested.get() > granted.mul_f64(REST_EXTRA);
                if busy.get() == 0 && over {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
