//! The path from one VM to a runner: a proxy that can be cut in each way in which a VM loses the
//! runners. Other VMs reach the runner at its own address.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, sleep};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use crate::fleet::wait_until;

/// Polling interval of the listener and of connections that forward nothing.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Queue of the listener while the path is whole.
const BACKLOG: i32 = 128;
/// Queue of the listener while it hangs. A full queue drops the first packet of a connection.
const HUNG_BACKLOG: i32 = 1;
/// Connections that fill this queue.
const HUNG_CONNECTIONS: usize = 4;

/// How a path is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathCut {
    /// Open connections and new ones hang.
    Hang,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections hang, and new ones are refused.
    HangAndRefuse,
    /// Open connections live on, and new ones are refused.
    RefuseNew,
}

impl PathCut {
    /// All ways in which a path is cut.
    pub const ALL: [PathCut; 4] =
        [PathCut::Hang, PathCut::Reset, PathCut::HangAndRefuse, PathCut::RefuseNew];

    fn hangs_open(self) -> bool {
        matches!(self, PathCut::Hang | PathCut::HangAndRefuse)
    }
}

#[derive(Default)]
struct State {
    cut: Option<PathCut>,
    /// Whether the listener has followed the last change of `cut`.
    is_followed: bool,
    /// Connections through the path, from both sides.
    open: Vec<TcpStream>,
    /// Connections that fill the listener's queue while new ones hang.
    fillers: Vec<TcpStream>,
}

/// A path to a runner; clones share its state.
#[derive(Clone)]
pub struct TargetPath {
    /// Address at which the path is entered.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl TargetPath {
    /// Listens on a free port and forwards connections to `to`.
    ///
    /// # Errors
    /// If no port is free.
    pub fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let path = TargetPath { address: listener.local_addr()?, state: Arc::default() };
        let accepting = path.clone();
        thread::spawn(move || accepting.accept(listener, to));
        Ok(path)
    }

    /// Cuts the path.
    pub fn cut(&self, cut: PathCut) {
        let mut state = self.state();
        state.cut = Some(cut);
        state.is_followed = false;
        if cut == PathCut::Reset {
            state.open.drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        }
        drop(state);
        self.wait_until_followed();
    }

    /// Ends the cut; connections that hang stay so.
    pub fn heal(&self) {
        let mut state = self.state();
        state.cut = None;
        state.is_followed = false;
        state.fillers.clear();
        drop(state);
        self.wait_until_followed();
    }

    /// Waits until connections are accepted, refused or left hanging as the cut says: the listener
    /// may be slow to follow on a busy machine.
    fn wait_until_followed(&self) {
        wait_until("the path follows the cut", || self.state().is_followed);
        // Open connections follow within their polling interval.
        sleep(POLL_INTERVAL * 10);
    }

    /// Records that the listener behaves as `cut` says, unless that has changed meanwhile.
    fn mark_followed(&self, cut: Option<PathCut>) {
        let mut state = self.state();
        state.is_followed |= state.cut == cut;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cut_in_force(&self) -> Option<PathCut> {
        self.state().cut
    }

    /// Accepts connections while the path is whole.
    fn accept(&self, listener: TcpListener, to: SocketAddr) {
        let mut listener = Some(listener);
        loop {
            match self.cut_in_force() {
                None => {
                    let Some(open) = listener.take().or_else(|| listen(self.address, BACKLOG))
                    else {
                        sleep(POLL_INTERVAL);
                        continue;
                    };
                    self.mark_followed(None);
                    self.accept_until_cut(&open, to);
                    listener = None;
                }
                Some(PathCut::Hang) => {
                    listener = None;
                    let Some(hung) = listen(self.address, HUNG_BACKLOG) else { continue };
                    self.fill(&hung);
                    self.mark_followed(Some(PathCut::Hang));
                    self.wait_until_healed();
                }
                Some(refusing) => {
                    listener = None;
                    // A bound socket that does not listen refuses connections, and no other
                    // process can take its port.
                    let Some(bound) = bind(self.address) else {
                        sleep(POLL_INTERVAL);
                        continue;
                    };
                    self.mark_followed(Some(refusing));
                    self.wait_until_healed();
                    listener = bound.listen(BACKLOG).ok().map(|()| bound.into());
                }
            }
        }
    }

    fn wait_until_healed(&self) {
        while self.cut_in_force().is_some() {
            sleep(POLL_INTERVAL);
        }
    }

    /// Fills the queue of a listener that accepts nothing.
    fn fill(&self, listener: &TcpListener) {
        drop(listener.set_nonblocking(true));
        for _ in 0..HUNG_CONNECTIONS {
            let filler = TcpStream::connect_timeout(&self.address, POLL_INTERVAL * 10);
            self.state().fillers.extend(filler);
        }
    }

    fn accept_until_cut(&self, listener: &TcpListener, to: SocketAddr) {
        drop(listener.set_nonblocking(true));
        while self.cut_in_force().is_none() {
            match listener.accept() {
                Ok((client, _)) => self.forward_both(&client, to),
                Err(_) => sleep(POLL_INTERVAL),
            }
        }
    }

    fn forward_both(&self, client: &TcpStream, to: SocketAddr) {
        drop(client.set_nonblocking(false));
        let Ok(server) = TcpStream::connect(to) else { return };
        for stream in [client, &server] {
            drop(stream.set_nodelay(true));
            self.state().open.extend(stream.try_clone());
        }
        self.forward(client, &server);
        self.forward(&server, client);
    }

    /// Forwards one direction of a connection on a thread of its own.
    fn forward(&self, from: &TcpStream, to: &TcpStream) {
        let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { return };
        let path = self.clone();
        thread::spawn(move || {
            let mut buf = [0; 16 * 1024];
            while let Ok(count) = from.read(&mut buf) {
                while path.cut_in_force().is_some_and(PathCut::hangs_open) {
                    sleep(POLL_INTERVAL);
                }
                if count == 0 || to.write_all(&buf[..count]).is_err() {
                    break;
                }
            }
            drop(to.shutdown(Shutdown::Both));
            drop(from.shutdown(Shutdown::Both));
        });
    }
}

/// Listens at an address again.
fn listen(address: SocketAddr, backlog: i32) -> Option<TcpListener> {
    let socket = bind(address)?;
    socket.listen(backlog).ok()?;
    Some(socket.into())
}

/// Binds a socket to an address at which nothing listens.
fn bind(address: SocketAddr) -> Option<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).ok()?;
    socket.set_reuse_address(true).ok()?;
    socket.bind(&address.into()).ok()?;
    Some(socket)
}
