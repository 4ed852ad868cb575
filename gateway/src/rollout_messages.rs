//! Encodes and decodes the parts of messages between VMs that concern rollouts.

use ids::{ServiceName, StoreRevision};
use peering::work::{Answers, Phase as WirePhase, RolloutPhase, RolloutReport, RouteAnswers};
use rollout::{AnswerCounts, Evidence, Order, Phase, Report, VersionCounts};

/// How far an order is carried out, for a heartbeat.
pub(crate) fn encode_phase(order: &Order, phase: Phase) -> RolloutPhase {
    let phase = match phase {
        Phase::Canary => WirePhase::Canary,
        Phase::Promoted => WirePhase::Promoted,
        Phase::RolledBack => WirePhase::RolledBack,
        Phase::Completed => WirePhase::Completed,
    };
    RolloutPhase {
        service: order.service.to_string(),
        order: order.revision.number,
        era: order.revision.era,
        phase: phase.into(),
    }
}

/// Decodes a phase from a heartbeat: the service, the order's revision and the phase. `None` if the
/// service's name is invalid.
pub(crate) fn decode_phase(message: &RolloutPhase) -> Option<(ServiceName, StoreRevision, Phase)> {
    let phase = match message.phase() {
        WirePhase::Canary => Phase::Canary,
        WirePhase::Promoted => Phase::Promoted,
        WirePhase::RolledBack => Phase::RolledBack,
        WirePhase::Completed => Phase::Completed,
    };
    let order = StoreRevision { era: message.era, number: message.order };
    Some((ServiceName::new(&message.service).ok()?, order, phase))
}

/// This VM's report on an order.
pub(crate) fn encode_report(order: &Order, report: &Report) -> RolloutReport {
    let route = |(route, counts): (&String, &VersionCounts)| RouteAnswers {
        route: route.clone(),
        new: Some(encode_answers(&counts.new)),
        old: Some(encode_answers(&counts.old)),
    };
    RolloutReport {
        service: order.service.to_string(),
        order: order.revision.number,
        era: order.revision.era,
        routes: report.evidence.by_route.iter().map(route).collect(),
        old_in_progress: report.old_in_progress,
    }
}

/// Decodes a peer's report: the service, the order's revision and the report. `None` if the
/// service's name is invalid.
pub(crate) fn decode_report(
    message: RolloutReport,
) -> Option<(ServiceName, StoreRevision, Report)> {
    let route = |route: RouteAnswers| {
        let new = decode_answers(&route.new.unwrap_or_default());
        let old = decode_answers(&route.old.unwrap_or_default());
        (route.route, VersionCounts { new, old })
    };
    let evidence = Evidence { by_route: message.routes.into_iter().map(route).collect() };
    let report = Report { evidence, old_in_progress: message.old_in_progress };
    let order = StoreRevision { era: message.era, number: message.order };
    Some((ServiceName::new(&message.service).ok()?, order, report))
}

fn encode_answers(counts: &AnswerCounts) -> Answers {
    Answers { failed: counts.failed, durations: counts.durations.to_vec() }
}

/// Ranges of durations beyond the last known one are left out.
fn decode_answers(answers: &Answers) -> AnswerCounts {
    let mut counts = AnswerCounts { failed: answers.failed, ..AnswerCounts::default() };
    let ranges = counts.durations.iter_mut().zip(&answers.durations);
    ranges.for_each(|(count, sent)| *count = *sent);
    counts
}
