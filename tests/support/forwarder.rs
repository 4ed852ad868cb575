//! A link that can be cut: passes bytes between a loopback port and a process, until told not to.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// A link from a port of its own to a process.
pub struct Forwarder {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
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
            for near in listener.incoming().flatten() {
                if is_cut.load(Ordering::SeqCst) {
                    // Closed at once, as a refused connection would be.
                    continue;
                }
                let Ok(far) = TcpStream::connect(to) else { continue };
                let mut open = opened.lock().expect("lock");
                open.extend([near.try_clone(), far.try_clone()].into_iter().flatten());
                drop(open);
                pass_on(&near, &far);
                pass_on(&far, &near);
            }
        });
        Forwarder { address, cut, open }
    }

    /// Ends every connection and takes no new one.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        for stream in self.open.lock().expect("lock").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Takes connections again.
    pub fn heal(&self) {
        self.cut.store(false, Ordering::SeqCst);
    }
}

fn pass_on(from: &TcpStream, to: &TcpStream) {
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
