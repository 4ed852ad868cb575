//! Client of the platform's key-value service and VM list. Used by the `daemon` crate and the
//! operators' command-line tool.
//!
//! It also defines what is kept there: the head of the configuration, leases and claims on request
//! ids.

mod claims;
mod head;
mod lease;
mod store;

pub use claims::{Claim, ClaimState, claim, close_claim, read_claim};
pub use head::{
    Head, MAX_RECENT_CHANGES, decode_head, publish, read_catalogue, read_head, revision_of_change,
    snapshot_key,
};
pub use lease::{LeaseGrant, acquire_lease};
pub use store::{ListedVm, Store, VersionedValue, VmState, WriteOutcome};

/// Key of the configuration head.
pub const HEAD_KEY: &str = "saddlerail/head";
/// Prefix of the keys that hold one catalogue each.
pub const SNAPSHOT_PREFIX: &str = "saddlerail/catalogues/";
/// Prefix of the keys that hold one claim on a caller's request id each.
pub const CLAIM_PREFIX: &str = "saddlerail/claims/";
