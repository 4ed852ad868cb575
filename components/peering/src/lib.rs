//! Messages and links between VMs, over tonic. The generated code is committed;
//! `cargo run -p protogen` makes it anew from `proto/peer.proto`.

#[allow(missing_docs, clippy::all, clippy::pedantic, unused_qualifications)]
#[rustfmt::skip]
#[path = "generated/saddlerail.peer.v1.rs"]
pub mod messages;

pub use messages::peer_client::PeerClient;
pub use messages::peer_server::{Peer, PeerServer};
