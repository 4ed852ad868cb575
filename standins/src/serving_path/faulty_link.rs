//! A link between two processes that can be spoiled: delayed, slowed, silenced, cut in one direction, reset.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, sleep};
use std::time::Duration;

/// Pause between two looks at whether the link passes again.
const LOOK: Duration = Duration::from_millis(5);

/// What the link does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkMode {
    /// It passes bytes both ways.
    #[default]
    Normal,
    /// It passes them late.
    Delayed(Duration),
    /// It passes so many bytes a second in each direction of each connection.
    RateLimited(u32),
    /// It passes none, and says nothing.
    Blackhole,
    /// It passes only those of the side that connected.
    OneWay,
    /// It closes connections, those that are open too.
    Reset,
}

/// A connection over a link.
#[derive(Default)]
struct Connection {
    /// Whether the side that connected sent last: it waits for an answer.
    waits: AtomicBool,
    /// Whether nothing passes any more.
    silent: AtomicBool,
}

/// A link from a port of its own to an address.
#[derive(Clone)]
pub struct FaultyLink {
    /// Where to connect.
    pub address: SocketAddr,
    passing: Arc<Mutex<LinkMode>>,
    connections: Arc<Mutex<Vec<Arc<Connection>>>>,
}

impl FaultyLink {
    /// Listens on a free port and passes to `to`.
    ///
    /// # Errors
    /// The system's, if no port is free.
    pub fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let link = FaultyLink { address, passing: Arc::default(), connections: Arc::default() };
        let own = link.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else { continue };
                let both =
                    |a: &TcpStream, b: &TcpStream| Some((a.try_clone().ok()?, b.try_clone().ok()?));
                if let (Some(there), Some(back)) = (both(&near, &far), both(&far, &near)) {
                    let connection = Arc::new(Connection::default());
                    own.connections().push(Arc::clone(&connection));
                    own.pass(there, Arc::clone(&connection), true);
                    own.pass(back, connection, false);
                }
            }
        });
        Ok(link)
    }

    /// Changes what the link does.
    pub fn set(&self, passing: LinkMode) {
        *self.passing.lock().unwrap_or_else(PoisonError::into_inner) = passing;
    }

    /// Lets nothing pass any more on connections whose answer is waited for now; others and new ones work.
    pub fn blackhole_waiting(&self) {
        for connection in self.connections().iter() {
            let waits = connection.waits.load(Ordering::Relaxed);
            connection.silent.fetch_or(waits, Ordering::Relaxed);
        }
    }

    fn connections(&self) -> MutexGuard<'_, Vec<Arc<Connection>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> LinkMode {
        *self.passing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pass(
        &self,
        (mut from, mut to): (TcpStream, TcpStream),
        connection: Arc<Connection>,
        there: bool,
    ) {
        let link = self.clone();
        thread::spawn(move || {
            let mut buf = [0; 16 * 1024];
            while let Ok(count) = from.read(&mut buf) {
                // What is read of a silent connection is dropped, its end included.
                if connection.silent.load(Ordering::Relaxed) {
                    if count == 0 {
                        return;
                    }
                    continue;
                }
                if count == 0 || !link.wait(there, count) || to.write_all(&buf[..count]).is_err() {
                    break;
                }
                connection.waits.store(there, Ordering::Relaxed);
            }
            drop(to.shutdown(Shutdown::Both));
            drop(from.shutdown(Shutdown::Both));
        });
    }

    /// Waits until `count` bytes may pass; false if the connection is to be closed.
    fn wait(&self, there: bool, count: usize) -> bool {
        loop {
            match self.now() {
                LinkMode::Normal => return true,
                LinkMode::OneWay if there => return true,
                LinkMode::Delayed(time) => {
                    sleep(time);
                    return true;
                }
                LinkMode::RateLimited(rate) => {
                    sleep(Duration::from_secs_f64(count as f64 / f64::from(rate)));
                    return true;
                }
                LinkMode::Reset => return false,
                LinkMode::Blackhole | LinkMode::OneWay => sleep(LOOK),
            }
        }
    }
}
