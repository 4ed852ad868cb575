//! Messages and gRPC services of the links between VMs.
//!
//! [`peer`] is the link of the `daemon` crate, on which VMs exchange their state and the catalogue;
//! [`work`] is the link of the `gateway` crate, on which they submit pieces of stages. The code is
//! generated from `proto/` by `cargo run -p protogen`, and committed.

#[allow(missing_docs, clippy::all, clippy::pedantic, unused_qualifications)]
#[rustfmt::skip]
#[path = "generated/saddlerail.peer.v1.rs"]
pub mod peer;

#[allow(missing_docs, clippy::all, clippy::pedantic, unused_qualifications)]
#[rustfmt::skip]
#[path = "generated/saddlerail.work.v1.rs"]
pub mod work;

mod peer_stream;

pub use peer::peer_client::PeerClient;
pub use peer::peer_server::{Peer, PeerServer};
pub use peer_stream::PeerStream;
pub use work::work_client::WorkClient;
pub use work::work_server::{Work, WorkServer};
