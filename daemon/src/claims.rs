//! Claims on callers' own ids around a request's run.

use caller_request::CallerRequest;
use outcomes::{Outcome, Reason, Refusal};
use store_client::{Claim, ClaimState};

use crate::pipeline::{DEFAULT_RETRY_AFTER, Pipeline};

/// Whether another VM may have the same request under the same id, which must run once.
fn requires_claim(req: &CallerRequest) -> bool {
    !req.repeatable && req.has_caller_id
}

/// A refusal given before the id was claimed: this VM can't know whether another submission runs
/// elsewhere, so "not run" can't be told of an id that the caller may have sent there too.
pub(crate) fn refusal_before_claim(req: &CallerRequest, refusal: Refusal) -> Refusal {
    if !requires_claim(req) || refusal.outcome != Outcome::NotRun {
        return refusal;
    }
    let detail = format!("{}; this submission ran nothing and may be sent again", refusal.detail);
    Refusal { outcome: Outcome::Unknown, detail, ..refusal }
}

/// A request that may not be repeated under a caller's id is claimed before anything runs.
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
            // Another submission may have run elsewhere, so "not run" can't be told.
            let detail = format!("{e}; this submission ran nothing and may be sent again");
            Err(Refusal::unknown(Reason::StoreOut, detail).with_retry_after(DEFAULT_RETRY_AFTER))
        }
    }
}

/// Notes in the store how a claimed request ended, after its caller was told. The claim is never
/// given back, so whether or not the store hears of it nobody else runs the request.
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
