//! Whether a target may be sent new work now: the one answer that every choice of a target asks for,
//! whether for a request, a stream that is resumed, a piece or a retry.
//!
//! Work that is under way ends where it is, and results that lie at a target may be fetched from it,
//! whatever is said here.

mod accounts;
mod change_log;
mod cold;
mod departures;
mod halls;
mod left_alone;
mod rates;

pub use accounts::{Accounts, Decision};
pub use change_log::ChangeCursor;
pub use cold::{ColdBound, Share, Warming, share};
pub use departures::{Departure, Departures, Lifetime};
pub use halls::{Eligibility, Halls};
pub use left_alone::LeftAlone;
pub use rates::{RateBelief, RateChange, RateLimit, RateLimits, Sighting};
