//! What a VM knows of the other VMs of the fleet.
//!
//! Each VM tells about itself under a rising sequence number. News travel by exchanges with a
//! few random partners; see `docs/design/membership.md`.

mod advert;
mod pacer;
mod roster;

pub use advert::{Advert, AdvertAge, DigestEntry, Heartbeat, NameHash};
pub use pacer::RoundPacer;
pub use roster::{Delta, Roster};
