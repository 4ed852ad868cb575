//! Whether a target may be sent new work now: the one answer that every choice of a target asks for,
//! whether for a request, a stream that is resumed, a piece or a retry.
//!
//! Work that is under way ends where it is, and results that lie at a target may be fetched from it,
//! whatever is said here.

mod backoffs;
mod change_log;
mod cold;
mod departures;
mod halls;
mod rates;
mod token_buckets;

pub use backoffs::Backoffs;
pub use change_log::ChangeCursor;
pub use cold::{ColdBound, ColdShare, ColdState, cold_share};
pub use departures::{Departure, Departures, Lifetime};
pub use halls::{Eligibility, Halls};
pub use rates::{RateChange, RateLimit, RateLimits, RateObservation, RateObservations};
pub use token_buckets::{Decision, TokenBuckets};
