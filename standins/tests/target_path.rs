//! The path to a runner, while it is cut.

// A fixture that can't be set up fails its test.
#![allow(clippy::expect_used)]

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};

use socket2::{Domain, Socket, Type};
use standins::serving_path::target_path::{PathCut, TargetPath};

/// Whether another process could take a port now.
fn is_free(address: SocketAddr) -> bool {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&address.into()).is_ok()
}

/// Guards against a path that can't be healed, since another process took its port.
#[test]
fn a_path_that_refuses_connections_keeps_its_port() {
    let runner = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let path = TargetPath::start(runner.local_addr().expect("an address")).expect("a path");

    path.heal();
    path.cut(PathCut::RefuseNew);
    let refused = TcpStream::connect(path.address).map_err(|why| why.kind());
    let free_while_cut = is_free(path.address);
    path.heal();
    let healed = TcpStream::connect(path.address);

    assert_eq!(refused.err(), Some(ErrorKind::ConnectionRefused));
    assert!(!free_while_cut, "another process could take the port");
    assert!(healed.is_ok());
}
