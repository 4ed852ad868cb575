//! What targets say of themselves in the heads of their answers.

use doors::calls::{AnswerHead, Evidence};
use eligibility::Lifetime;
use intent::Target;
use slog::info;

use crate::app::App;

/// Takes what the answer to a request says of the target that gave it.
pub(crate) fn heard(app: &App, target: &Target, answer: &AnswerHead) {
    let speaks_for_it = match answer.evidence {
        Evidence::Own | Evidence::Declined | Evidence::InputGone => true,
        // Another lifetime speaks, or what came may be spoilt in all its parts.
        Evidence::OtherTarget | Evidence::Crossed | Evidence::Spoiled => false,
    };
    if speaks_for_it {
        take(app, target, answer);
    }
}

/// Takes what the answer to a call of this system's own says, which carries no request's id.
pub(crate) fn heard_of_own_call(app: &App, target: &Target, answer: &AnswerHead) {
    if answer.evidence != Evidence::OtherTarget {
        take(app, target, answer);
    }
}

fn take(app: &App, target: &Target, answer: &AnswerHead) {
    if answer.leaves {
        leaves(app, target);
    }
}

/// A target said that it leaves.
fn leaves(app: &App, target: &Target) {
    app.hub.with(|shared, now| {
        if !shared.departures.note(Lifetime::from(target), now, now) {
            return;
        }
        let entry = shared.targets.get(&target.id);
        info!(app.log, "target says that it leaves"; "target" => %target.id, "born" => target.born,
            "service" => %target.service, "hall" => %target.hall, "from" => "its answer",
            "entry_leaving" => entry.map(|entry| entry.leaving),
            "store_heard_ms" => shared.contact.age(now).map(|age| age.as_millis()));
        app.metrics.target_departed(target.service.as_str(), "answer");
    });
}
