//! Calls to targets, with evidence of what was sent.

mod call;
mod evidence;
mod order;
mod stream;

pub use call::{
    ATTEMPT_HEADER, CallFailure, CallOutcome, CallRequest, Caller, LEAVING_HEADER, LOAD_HEADER,
    PlainAnswer, TargetWord,
};
pub use order::{LONGEST_ORDER, Order, OrderDesk, OrderEnd};
pub use stream::{StreamEnd, StreamEvent, TokenStream};
