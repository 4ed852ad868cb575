//! Calls to targets, with evidence of what was sent.

mod call;
mod evidence;
mod order;
mod stream;

pub use call::{
    ATTEMPT_HEADER, CallFailure, CallOutcome, CallRequest, LEAVING_HEADER, LOAD_HEADER,
    PlainAnswer, TargetClient, TargetStatus,
};
pub use order::{ORDER_TIMEOUT, Order, OrderClient, OrderResult};
pub use stream::{StreamEnd, StreamEvent, TokenStream};
