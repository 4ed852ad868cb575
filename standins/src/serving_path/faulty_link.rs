//! A TCP proxy between two processes that injects network faults: delay, limited bandwidth, loss of
//! all bytes in one or both directions, and resets.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, sleep};
use std::time::Duration;

/// Polling interval while the link forwards nothing.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How a link forwards bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkMode {
    /// Forwards bytes in both directions.
    #[default]
    Normal,
    /// Forwards the bytes of each read after this delay.
    Delayed(Duration),
    /// Forwards so many bytes per second in each direction of each connection.
    RateLimited(u32),
    /// Forwards nothing and keeps connections open.
    Blackhole,
    /// Forwards only the bytes of the side that connected.
    OneWay,
    /// Closes connections, open ones as soon as bytes arrive on them.
    Reset,
}

/// State of a connection through the link.
#[derive(Default)]
struct Connection {
    /// Whether the side that connected was the last to send, so that it waits for an answer.
    awaits_answer: AtomicBool,
    /// Whether the link has stopped forwarding on this connection for good.
    is_blackholed: AtomicBool,
}

/// A proxy from a port of its own to a fixed address; clones share its state.
#[derive(Clone)]
pub struct FaultyLink {
    /// Address to connect to.
    pub address: SocketAddr,
    mode: Arc<Mutex<LinkMode>>,
    connections: Arc<Mutex<Vec<Arc<Connection>>>>,
}

impl FaultyLink {
    /// Listens on a free port and forwards connections to `to`.
    ///
    /// # Errors
    /// If no port is free.
    pub fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let link = FaultyLink { address, mode: Arc::default(), connections: Arc::default() };
        let listening = link.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(to) else { continue };
                let clone_pair =
                    |a: &TcpStream, b: &TcpStream| Some((a.try_clone().ok()?, b.try_clone().ok()?));
                if let (Some(to_server), Some(to_client)) =
                    (clone_pair(&client, &server), clone_pair(&server, &client))
                {
                    let connection = Arc::new(Connection::default());
                    listening.connections().push(Arc::clone(&connection));
                    listening.forward(to_server, Arc::clone(&connection), true);
                    listening.forward(to_client, connection, false);
                }
            }
        });
        Ok(link)
    }

    /// Sets how the link forwards bytes.
    pub fn set(&self, mode: LinkMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    /// Stops forwarding for good on the connections on which an answer is awaited now; all others,
    /// new ones too, keep working.
    pub fn blackhole_waiting(&self) {
        for connection in self.connections().iter() {
            let awaits_answer = connection.awaits_answer.load(Ordering::Relaxed);
            connection.is_blackholed.fetch_or(awaits_answer, Ordering::Relaxed);
        }
    }

    fn connections(&self) -> MutexGuard<'_, Vec<Arc<Connection>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn mode(&self) -> LinkMode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forwards one direction of a connection on a thread of its own; `from_client` is the one from
    /// the side that connected.
    fn forward(
        &self,
        (mut from, mut to): (TcpStream, TcpStream),
        connection: Arc<Connection>,
        from_client: bool,
    ) {
        let link = self.clone();
        thread::spawn(move || {
            let mut buf = [0; 16 * 1024];
            while let Ok(count) = from.read(&mut buf) {
                // Bytes of a blackholed connection are dropped. Its end isn't forwarded either.
                if connection.is_blackholed.load(Ordering::Relaxed) {
                    if count == 0 {
                        return;
                    }
                    continue;
                }
                if count == 0
                    || !link.wait_to_forward(from_client, count)
                    || to.write_all(&buf[..count]).is_err()
                {
                    break;
                }
                connection.awaits_answer.store(from_client, Ordering::Relaxed);
            }
            drop(to.shutdown(Shutdown::Both));
            drop(from.shutdown(Shutdown::Both));
        });
    }

    /// Waits until `count` bytes may be forwarded; false if the connection is to be closed.
    fn wait_to_forward(&self, from_client: bool, count: usize) -> bool {
        loop {
            match self.mode() {
                LinkMode::Normal => return true,
                LinkMode::OneWay if from_client => return true,
                LinkMode::Delayed(time) => {
                    sleep(time);
                    return true;
                }
                LinkMode::RateLimited(rate) => {
                    sleep(Duration::from_secs_f64(count as f64 / f64::from(rate)));
                    return true;
                }
                LinkMode::Reset => return false,
                LinkMode::Blackhole | LinkMode::OneWay => sleep(POLL_INTERVAL),
            }
        }
    }
}
