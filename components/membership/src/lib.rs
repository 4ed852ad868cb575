//! What a VM knows of the other VMs of the fleet.
//!
//! Each VM tells about itself under a rising sequence number. News travel by exchanges with a
//! few random partners; see `docs/design/membership.md`.

mod pace;
mod roster;

pub use pace::Pace;
pub use roster::{Advert, AdvertAge, Roster};
