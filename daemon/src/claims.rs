//! Claims in the platform's store on request ids that callers provide, so that a request that must
//! not be repeated runs once.

use caller_request::CallerRequest;
use outcomes::{Outcome, Reason, Refusal};
use store_client::{Claim, ClaimState};

use crate::pipeline::{DEFAULT_RETRY_AFTER, Pipeline};

/// Whether the request must run only once and may also reach another VM under the same id.
fn requires_claim(req: &CallerRequest) -> bool {
    !req.repeatable && req.has_caller_id
}

/// Adapts a refusal that is sent before the id was claimed.
///
/// The caller may have sent the same id to another VM, and this VM can't know whether it runs
/// there. "Not run" therefore becomes "unknown" for ids that need a claim.
pub(crate) fn refusal_before_claim(req: &CallerRequest, refusal: Refusal) -> Refusal {
    if !requires_claim(req) || refusal.outcome != Outcome::NotRun {
        return refusal;
    }
    let detail = format!("{}; this submission ran nothing and may be sent again", refusal.detail);
    Refusal { outcome: Outcome::Unknown, detail, ..refusal }
}

/// Claims the request's id before any stage runs, if it needs a claim.
///
/// Returns `None` if no claim is needed.
///
/// # Errors
/// A refusal if the id is taken or the store can't be reached.
pub(crate) fn claim_id(shared: &Pipeline, req: &CallerRequest) -> Result<Option<Claim>, Refusal> {
    if !requires_claim(req) {
        return Ok(None);
    }
    let claimed = store_client::claim(&shared.store, &req.id, &shared.cfg.vm, shared.incarnation);
    shared.metrics.platform_call("claim", claimed.is_ok());
    match claimed {
        Ok(Ok(own_claim)) => Ok(Some(own_claim)),
        Ok(Err(existing)) if existing.state == ClaimState::Refused => {
            let detail = "an earlier submission was refused; it never will run under this id";
            Err(Refusal::not_run(Reason::IdTaken, detail))
        }
        Ok(Err(existing)) => {
            let detail = format!("claimed by {} ({:?})", existing.vm, existing.state);
            Err(Refusal::unknown(Reason::IdTaken, detail))
        }
        Err(e) => {
            // Another submission may have run elsewhere, so the outcome can't be "not run".
            let detail = format!("{e}; this submission ran nothing and may be sent again");
            Err(Refusal::unknown(Reason::StoreOut, detail).with_retry_after(DEFAULT_RETRY_AFTER))
        }
    }
}

/// Records in the store how a claimed request ended, after the caller was answered.
///
/// A claim is never released, so no other VM runs the request even if this write fails.
pub(crate) fn close_claim(
    shared: &Pipeline,
    req: &CallerRequest,
    claim: Option<&Claim>,
    outcome: Outcome,
) {
    let Some(own_claim) = claim else { return };
    let state = match outcome {
        Outcome::NotRun => ClaimState::Refused,
        Outcome::Whole | Outcome::Failed | Outcome::Unknown => ClaimState::Ended,
    };
    let closed = store_client::close_claim(&shared.store, &req.id, own_claim, state);
    shared.metrics.platform_call("close claim", closed);
}
