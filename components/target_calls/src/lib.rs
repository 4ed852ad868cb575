//! HTTP client for targets: calls to stages, streams of tokens, and orders to engines.
//!
//! A failed call says whether it may have run at the target, which decides whether it may be
//! repeated. Used by the `daemon` crate; the `gateway` crate makes its calls itself.

mod answer_budget;
mod call;
mod order;
mod stream;
mod write_tracking;

pub use answer_budget::AnswerBudget;
pub use call::{
    ATTEMPT_HEADER, CallFailure, CallOutcome, CallRequest, LEAVING_HEADER, LOAD_HEADER,
    PlainAnswer, TargetClient, TargetStatus,
};
pub use order::{ORDER_TIMEOUT, Order, OrderClient, OrderResult};
pub use stream::{StreamEnd, StreamEvent, TokenStream};
