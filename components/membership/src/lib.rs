//! Gossip membership: what a VM knows of the other VMs of the fleet. Used by the `daemon`
//! crate; the `gateway` crate uses the `fleet` crate instead.
//!
//! Each VM describes itself under an increasing sequence number. In each round it exchanges digests
//! and updates with a few random partners; see `docs/design/membership.md`.

mod advert;
mod pacer;
mod roster;

pub use advert::{Advert, AdvertAge, DigestEntry, Heartbeat, NameHash};
pub use pacer::RoundPacer;
pub use roster::{Delta, Roster};
