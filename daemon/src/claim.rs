//! Claims on callers' own ids around a request's run.

use caller_request::CallerRequest;
use outcomes::{Outcome, Reason, Refusal};
use platform::{Claim, ClaimState};

use crate::pipeline::{Pipeline, SOON};

/// A request that may not be repeated under a caller's id is claimed before anything runs.
pub(crate) fn claim_id(shared: &Pipeline, req: &CallerRequest) -> Result<Option<Claim>, Refusal> {
    if req.repeatable || !req.own_id {
        return Ok(None);
    }
    let claimed = platform::claim(&shared.store, &req.id, &shared.cfg.vm, shared.incarnation);
    shared.metrics.platform_call("claim", claimed.is_ok());
    match claimed {
        Ok(Ok(mine)) => Ok(Some(mine)),
        Ok(Err(other)) if other.state == ClaimState::Refused => {
            let detail = "an earlier submission was refused; it never will run under this id";
            Err(Refusal::not_run(Reason::IdTaken, detail))
        }
        Ok(Err(other)) => {
            let detail = format!("claimed by {} ({:?})", other.vm, other.state);
            Err(Refusal::unknown(Reason::IdTaken, detail))
        }
        Err(e) => {
            // Another submission may have run elsewhere, so "not run" can't be told.
            let detail = format!("{e}; this submission ran nothing and may be sent again");
            Err(Refusal::unknown(Reason::StoreOut, detail).come_back_in(SOON))
        }
    }
}

/// Notes in the store how a claimed request ended, after its caller was told. The claim is never
/// given back, so whether or not the store hears of it nobody else runs the request.
pub(crate) fn close(
    shared: &Pipeline,
    req: &CallerRequest,
    claim: Option<&Claim>,
    outcome: Outcome,
) {
    let Some(mine) = claim else { return };
    let state = match outcome {
        Outcome::NotRun => ClaimState::Refused,
        Outcome::Whole | Outcome::Failed | Outcome::Unknown => ClaimState::Ended,
    };
    let closed = platform::close_claim(&shared.store, &req.id, mine, state);
    shared.metrics.platform_call("close claim", closed);
}
