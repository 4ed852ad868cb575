//! A TCP forwarder that simulates a link which can be cut.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Forwards connections from a port of its own to a process.
pub struct Forwarder {
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Whether new connections are closed at once.
    cut: Arc<AtomicBool>,
    /// Both sides of the connections that were opened since the last cut.
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Forwarder {
    /// Listens on a free port of the same address and forwards to `to`.
    pub fn start(to: SocketAddr) -> Forwarder {
        let listener = TcpListener::bind((to.ip(), 0)).expect("a free port");
        let address = listener.local_addr().expect("its address");
        let cut = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (is_cut, opened) = (Arc::clone(&cut), Arc::clone(&open));
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if is_cut.load(Ordering::SeqCst) {
                    // The connection is closed at once, similar to a refused one.
                    continue;
                }
                let Ok(server) = TcpStream::connect(to) else { continue };
                let mut open = opened.lock().expect("lock");
                open.extend([client.try_clone(), server.try_clone()].into_iter().flatten());
                drop(open);
                forward(&client, &server);
                forward(&server, &client);
            }
        });
        Forwarder { address, cut, open }
    }

    /// Closes all connections and accepts no new ones.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        for stream in self.open.lock().expect("lock").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Accepts connections again.
    pub fn heal(&self) {
        self.cut.store(false, Ordering::SeqCst);
    }
}

/// Starts a thread that copies bytes in one direction until either side is closed.
fn forward(from: &TcpStream, to: &TcpStream) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { return };
    thread::spawn(move || {
        let mut buf = [0; 16 * 1024];
        while let Ok(count) = from.read(&mut buf) {
            if count == 0 || to.write_all(&buf[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    });
}
