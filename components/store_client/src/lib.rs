//! Client of the platform's key-value service and VM list, and the head of the configuration.

mod claims;
mod head;
mod lease;
mod store;

pub use claims::{Claim, ClaimState, claim, close_claim, read_claim};
pub use head::{
    Head, MAX_RECENT_CHANGES, decode_head, publish, read_catalogue, read_head, revision_of_change,
    snapshot_key,
};
pub use lease::{HeldLease, acquire_lease};
pub use store::{Entry, ListedVm, Store, VmState, WriteOutcome};

/// Key of the head of the configuration.
pub const HEAD_KEY: &str = "saddlerail/head";
/// Keys below this acquire_lease one catalogue each.
pub const SNAPSHOT_PREFIX: &str = "saddlerail/catalogues/";
/// Keys below this acquire_lease one claim on a caller's request id each.
pub const CLAIM_PREFIX: &str = "saddlerail/claims/";
