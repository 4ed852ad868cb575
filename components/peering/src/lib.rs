//! Messages and gRPC services of the links between VMs.
//!
//! [`peer`] is the link on which VMs exchange their state and the catalogue; [`work`] is the link
//! on which they submit pieces of stages. The generated code is committed; `cargo run -p protogen`
//! regenerates it from `proto/`.

#[allow(missing_docs, clippy::all, clippy::pedantic, unused_qualifications)]
#[rustfmt::skip]
#[path = "generated/saddlerail.peer.v1.rs"]
pub mod peer;

#[allow(missing_docs, clippy::all, clippy::pedantic, unused_qualifications)]
#[rustfmt::skip]
#[path = "generated/saddlerail.work.v1.rs"]
pub mod work;

pub use peer::peer_client::PeerClient;
pub use peer::peer_server::{Peer, PeerServer};
pub use work::work_client::WorkClient;
pub use work::work_server::{Work, WorkServer};
