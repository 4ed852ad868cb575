//! Attributes crashes of targets to suspects, and decides which suspects are refused.
//!
//! The suspect with the most crashes explains them: they no longer count against others, such as
//! the requests that only ran beside it. Suspects with the same crashes can't be told apart. If they
//! are parts of prompts, only requests with all of them are refused: the next request with some of
//! them either completes, which clears these, or crashes its target, which sets them apart.

use std::collections::BTreeSet;

use crate::{LifetimeId, Suspect};

/// Suspects that are refused together: a request is refused if it has all of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct JointRefusal(Vec<Suspect>);

impl JointRefusal {
    pub(crate) fn suspects(&self) -> &[Suspect] {
        &self.0
    }

    /// Whether a request with these suspects is refused.
    pub(crate) fn applies_to(&self, suspects: &[Suspect]) -> bool {
        self.0.iter().all(|refused| suspects.contains(refused))
    }
}

/// A suspect and the crashes that count against it.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) suspect: Suspect,
    pub(crate) crashes: BTreeSet<LifetimeId>,
}

/// Returns what is refused among the candidates. Each refusal takes `limit` crashes that no earlier
/// one explains.
pub(crate) fn attribute_crashes(mut candidates: Vec<Candidate>, limit: usize) -> Vec<JointRefusal> {
    let mut refusals = Vec::new();
    loop {
        candidates.retain(|candidate| candidate.crashes.len() >= limit);
        let Some(explained) = most_crashes(&candidates) else { return refusals };
        let same = candidates.iter().filter(|candidate| candidate.crashes == explained);
        refusals.extend(refuse_same(same.map(|candidate| candidate.suspect).collect()));
        for candidate in &mut candidates {
            candidate.crashes.retain(|lifetime| !explained.contains(lifetime));
        }
    }
}

/// The crashes of the candidate with the most of them. Of several such the least suspect is taken,
/// so that all VMs decide alike.
fn most_crashes(candidates: &[Candidate]) -> Option<BTreeSet<LifetimeId>> {
    let most = candidates.iter().map(|candidate| candidate.crashes.len()).max()?;
    let with_most = candidates.iter().filter(|candidate| candidate.crashes.len() == most);
    with_most.min_by_key(|candidate| candidate.suspect).map(|candidate| candidate.crashes.clone())
}

/// Returns what is refused of suspects with the same crashes. Requests go before parts of prompts:
/// as long as a single request accounts for all crashes, others may have its parts.
fn refuse_same(suspects: Vec<Suspect>) -> Vec<JointRefusal> {
    let (parts, requests): (Vec<Suspect>, Vec<Suspect>) =
        suspects.into_iter().partition(Suspect::is_prompt_part);
    if requests.is_empty() {
        vec![JointRefusal(parts)]
    } else {
        requests.into_iter().map(|request| JointRefusal(vec![request])).collect()
    }
}
