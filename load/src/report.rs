//! Reports of a run: outcomes, latencies and costs, as a table or as JSON.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use outcomes::{Outcome, Reason};
use serde::Serialize;
use standins::fleet::Fleet;

use crate::arrivals::RequestKind;
use crate::run::CompletedRequest;

/// Results of one kind of request under one policy. Latencies are in milliseconds.
#[derive(Debug, Serialize)]
pub(crate) struct KindRow {
    kind: String,
    customer: String,
    sent: usize,
    /// Answered whole within the deadline.
    whole: usize,
    /// `whole` as a fraction of `sent`.
    attainment: f64,
    /// Refused at first, then answered whole when sent again at the time that the refusal named.
    later: usize,
    p50_ms: u64,
    p95_ms: u64,
    p99_ms: u64,
    not_run: usize,
    failed: usize,
    unknown: usize,
    /// Without a complete HTTP answer.
    no_answer: usize,
    /// 99th percentile of the time until a refusal.
    told_p99_ms: u64,
}

/// Results of all kinds under one policy, and of the calls that the targets recorded.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    pub(crate) policy: String,
    pub(crate) vms: usize,
    pub(crate) rows: Vec<KindRow>,
    /// Fraction of all requests answered whole within their deadline.
    attainment: f64,
    /// Cost of all calls that the targets recorded, in the targets' own units.
    cost: u64,
    cost_by_stage: BTreeMap<String, u64>,
    /// Cost that led neither to a whole answer in time nor to a whole answer of a retry.
    cost_wasted_percent: f64,
    /// Cost divided by the number of requests answered whole, in time or by a retry.
    cost_per_whole: f64,
    /// Mean number of calls per stage of a request.
    tries_per_stage: f64,
    /// Share of the calls to engines that found the prompt's prefix in the cache.
    prefix_hits_percent: f64,
    /// Number of answers by the reason that they give.
    reasons: BTreeMap<String, usize>,
    /// Fraction of the retries that were answered whole; `None` without retries.
    again_whole: Option<f64>,
    /// Attainment in each tenth of the run.
    by_tenth: Vec<f64>,
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Histogram of durations in milliseconds, each at least 1.
fn latency_histogram(values: impl Iterator<Item = Duration>) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_max(3_600_000, 3)
        .unwrap_or_else(|_| unreachable!("the bounds are constants"));
    values.for_each(|value| histogram.saturating_record(millis(value).max(1)));
    histogram
}

/// Results of the requests of one kind.
fn row(kind: &RequestKind, completed: &[&CompletedRequest]) -> KindRow {
    let deadline = Duration::from_millis(kind.deadline_ms);
    let whole: Vec<&&CompletedRequest> = completed
        .iter()
        .filter(|e| e.outcome == Some(Outcome::Whole) && e.took <= deadline)
        .collect();
    let count = |outcome: Outcome| completed.iter().filter(|e| e.outcome == Some(outcome)).count();
    let took = latency_histogram(whole.iter().map(|e| e.took));
    let not_run = completed.iter().filter(|e| e.outcome == Some(Outcome::NotRun));
    KindRow {
        kind: kind.label.to_owned(),
        customer: kind.customer.to_owned(),
        sent: completed.len(),
        whole: whole.len(),
        attainment: whole.len() as f64 / completed.len().max(1) as f64,
        later: completed.iter().filter(|e| e.retry.is_some_and(|retry| retry.whole)).count(),
        p50_ms: took.value_at_quantile(0.5),
        p95_ms: took.value_at_quantile(0.95),
        p99_ms: took.value_at_quantile(0.99),
        not_run: count(Outcome::NotRun),
        failed: count(Outcome::Failed),
        unknown: count(Outcome::Unknown),
        no_answer: completed.iter().filter(|e| e.outcome.is_none()).count(),
        told_p99_ms: latency_histogram(not_run.map(|e| e.took)).value_at_quantile(0.99),
    }
}

/// Combines the callers' answers with the targets' records of their calls.
pub(crate) fn report(
    policy: &str,
    kinds: &[RequestKind],
    completed: &[CompletedRequest],
    fleet: &Fleet,
) -> Report {
    let of_kind = |index: usize| -> Vec<&CompletedRequest> {
        completed.iter().filter(|e| e.kind == index).collect()
    };
    let rows: Vec<KindRow> =
        kinds.iter().enumerate().map(|(index, kind)| row(kind, &of_kind(index))).collect();
    let records = fleet.records();
    let mut cost_by_stage: BTreeMap<String, u64> = BTreeMap::new();
    for (_, call) in &records {
        let stage = call["stage"].as_str().unwrap_or_default().to_owned();
        *cost_by_stage.entry(stage).or_default() += call["cost"].as_u64().unwrap_or(0);
    }
    let cost: u64 = cost_by_stage.values().sum();
    let in_time = |e: &&CompletedRequest| {
        let deadline = Duration::from_millis(kinds[e.kind].deadline_ms);
        e.outcome == Some(Outcome::Whole) && e.took <= deadline
    };
    let in_time_cost: u64 = completed.iter().filter(in_time).map(|e| e.cost).sum();
    let whole_retries = completed.iter().filter_map(|e| e.retry).filter(|retry| retry.whole);
    let useful_cost = in_time_cost + whole_retries.map(|retry| retry.cost).sum::<u64>();
    let whole: usize = rows.iter().map(|r| r.whole).sum();
    let later: usize = rows.iter().map(|r| r.later).sum();
    let mut calls_by_stage_run: BTreeMap<String, usize> = BTreeMap::new();
    // Attempt ids have the form REQUEST/STAGE.NUMBER-SALT, so all attempts at a stage of a request
    // have the part before the dot in common.
    for (_, call) in &records {
        let attempt = call["attempt"].as_str().unwrap_or_default();
        let stage = attempt.split('.').next().unwrap_or_default();
        *calls_by_stage_run.entry(stage.to_owned()).or_default() += 1;
    }
    // In all scenarios the engines are the pool `modelo`.
    let engine_calls = records.iter().filter(|(name, _)| name.starts_with("modelo"));
    let hits: Vec<bool> = engine_calls.map(|(_, c)| c["prefix_hit"] == true).collect();
    let percent = |part: usize, all: usize| 100.0 * part as f64 / all.max(1) as f64;
    let mut reasons: BTreeMap<String, usize> = BTreeMap::new();
    for reason in completed.iter().filter_map(|e| e.reason) {
        *reasons.entry(reason_name(reason)).or_default() += 1;
    }
    let retried: Vec<bool> = completed.iter().filter_map(|e| Some(e.retry?.whole)).collect();
    let last = completed.iter().map(|e| e.at).max().unwrap_or_default();
    let by_tenth = (0..10).map(|tenth| {
        // Just below 10, so that the last request is in the last tenth.
        let position =
            |e: &&CompletedRequest| e.at.as_secs_f64() / last.as_secs_f64().max(1e-9) * 9.999;
        let sent: Vec<&CompletedRequest> =
            completed.iter().filter(|e| position(e) as usize == tenth).collect();
        sent.iter().copied().filter(in_time).count() as f64 / sent.len().max(1) as f64
    });
    Report {
        by_tenth: by_tenth.collect(),
        again_whole: (!retried.is_empty())
            .then(|| retried.iter().filter(|w| **w).count() as f64 / retried.len() as f64),
        policy: policy.to_owned(),
        vms: fleet.vms.len(),
        rows,
        attainment: whole as f64 / completed.len().max(1) as f64,
        cost,
        cost_by_stage,
        cost_wasted_percent: 100.0 * (cost.saturating_sub(useful_cost)) as f64 / cost.max(1) as f64,
        cost_per_whole: cost as f64 / (whole + later).max(1) as f64,
        tries_per_stage: records.len() as f64 / calls_by_stage_run.len().max(1) as f64,
        prefix_hits_percent: percent(hits.iter().filter(|hit| **hit).count(), hits.len()),
        reasons,
    }
}

/// Name of a reason as in JSON.
fn reason_name(reason: Reason) -> String {
    serde_json::to_value(reason)
        .ok()
        .and_then(|v| v.as_str().map(str::to_owned))
        .unwrap_or_default()
}

/// Prints a report as a table.
pub(crate) fn print(report: &Report) {
    println!(
        "\npolicy {} with {} VMs: attainment {:.3}, cost {} ({:.1}% wasted, {:.1} per whole answer), \
         {:.3} calls per stage, prefix hits {:.0}%",
        report.policy,
        report.vms,
        report.attainment,
        report.cost,
        report.cost_wasted_percent,
        report.cost_per_whole,
        report.tries_per_stage,
        report.prefix_hits_percent
    );
    println!(
        "{:<18} {:<10} {:>6} {:>6} {:>7} {:>6} {:>6} {:>6} {:>6} {:>8} {:>7} {:>7} {:>6} {:>9}",
        "kind",
        "customer",
        "sent",
        "whole",
        "attain",
        "later",
        "p50",
        "p95",
        "p99",
        "not-run",
        "failed",
        "unknown",
        "none",
        "told p99"
    );
    for r in &report.rows {
        println!(
            "{:<18} {:<10} {:>6} {:>6} {:>7.3} {:>6} {:>6} {:>6} {:>6} {:>8} {:>7} {:>7} {:>6} {:>9}",
            r.kind,
            r.customer,
            r.sent,
            r.whole,
            r.attainment,
            r.later,
            r.p50_ms,
            r.p95_ms,
            r.p99_ms,
            r.not_run,
            r.failed,
            r.unknown,
            r.no_answer,
            r.told_p99_ms
        );
    }
    let tenths: Vec<String> = report.by_tenth.iter().map(|a| format!("{a:.2}")).collect();
    println!("attainment by tenth of the run: {}", tenths.join(" "));
    println!("cost by stage {:?}", report.cost_by_stage);
    println!(
        "reasons {:?}; fraction of retries answered whole {:?}",
        report.reasons, report.again_whole
    );
}
