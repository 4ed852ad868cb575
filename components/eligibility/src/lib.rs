//! Decides whether a target may be sent new work now. Every selection of a target uses it, whether
//! for a request, a resumed stream, a piece of a batched stage or a retry.
//!
//! It does not affect work in progress, which finishes at its target, or results stored at a
//! target, which may still be fetched.

mod allowed_halls;
mod backoffs;
mod change_log;
mod cold;
mod departures;
mod halls;
mod rates;
mod token_buckets;

pub use allowed_halls::AllowedHalls;
pub use backoffs::Backoffs;
pub use change_log::ChangeCursor;
pub use cold::{ColdBound, ColdShare, ColdState, cold_share};
pub use departures::{Departure, Departures, Lifetime};
pub use halls::{Eligibility, Halls};
pub use rates::{RateChange, RateLimit, RateLimits, RateObservation, RateObservations};
pub use token_buckets::{PermitDecision, TokenBuckets};
