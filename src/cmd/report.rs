//! `saddlerail report`: charts over time from the VMs' log files. They show request outcomes,
//! refusals on arrival, stage times, delays against the forecast, the size and wait of pool
//! calls, the VMs that made them, and the use of the pools' memory.

use std::collections::HashMap;
use std::fs;
use std::path::{Path, PathBuf};

use clap::ArgMatches;
use errors::{Error, Result};
use serde_json::{Map, Value, json};

use crate::charts::{Chart, draw, mean, percentile_90};
use crate::cli::{Output, output_of};
use crate::{logs, pool_charts};

pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let seconds = args.get_one::<u32>("seconds").copied().unwrap_or(1);
    let mut events = Vec::new();
    for path in args.get_many::<PathBuf>("logs").into_iter().flatten() {
        events.extend(logs::read_text(path)?.lines().map(logs::parse_line));
    }
    let mut charts = request_charts(&events, f64::from(seconds));
    charts.extend(pool_charts::pool_charts(&events, f64::from(seconds)));
    if charts.iter().all(|chart| chart.lines.is_empty()) {
        return Err(Error::bad_input("logs", "no line tells of a request or a pool call"));
    }
    match (args.get_one::<PathBuf>("page"), output_of(args)) {
        (Some(page), _) => write_page(page, &charts, seconds)?,
        (None, Output::Json) => out!("{}", as_json(&charts)),
        (None, Output::Text) => print_text(&charts),
    }
    Ok(())
}

/// Builds the charts of requests, stages and pool calls; intervals of `seconds` are counted from
/// the first event.
fn request_charts(events: &[Map<String, Value>], seconds: f64) -> Vec<Chart> {
    let first = logs::first_time(events);
    // Forecast delay of each admitted request in ms, by request id.
    let mut forecasts = HashMap::new();
    let mut ended = Chart::new("Requests by outcome", "requests", |values| values.len() as f64);
    let mut refused =
        Chart::new("Not admitted, by entry", "requests", |values| values.len() as f64);
    let mut stages =
        Chart::new("Time of all stages, by entry", "ms, 90th percentile", percentile_90);
    let mut start_delays = Chart::new(
        "Begun later than expected on admission, by entry",
        "ms, 90th percentile",
        percentile_90,
    );
    let mut waits = Chart::new(
        "Longest wait of a call's pieces, by pool",
        "ms, 90th percentile",
        percentile_90,
    );
    let mut call_sizes = Chart::new("Pieces in a call, by pool", "pieces, mean", mean);
    for pairs in events {
        let Some(time) = logs::number(pairs, "time") else { continue };
        let interval = ((time - first) / seconds) as u64;
        let text = |key| logs::text(pairs, key).unwrap_or("-");
        let add = |chart: &mut Chart, name: &str, key: &str| {
            if let Some(value) = logs::number(pairs, key) {
                chart.add(name, interval, value);
            }
        };
        match text("msg") {
            "admitted" => {
                forecasts.insert(text("request"), logs::number(pairs, "expected_ms"));
            }
            // A stream is logged again at its end, and only that event counts as its outcome.
            "request ended" if text("outcome") == "stream begun" => {
                let forecast = forecasts.remove(text("request")).flatten();
                let took = logs::number(pairs, "took_ms");
                if let (Some(forecast), Some(took)) = (forecast, took) {
                    start_delays.add(text("entry"), interval, took - forecast);
                }
            }
            "request ended" | "stream ended" => add(&mut ended, text("outcome"), "took_ms"),
            "not admitted" => add(&mut refused, text("entry"), "expected_ms"),
            "stages ended" => add(&mut stages, text("entry"), "took_ms"),
            "pool call" => {
                add(&mut waits, text("pool"), "waited_ms");
                add(&mut call_sizes, text("pool"), "pieces");
            }
            _ => {}
        }
    }
    vec![ended, refused, stages, waits, call_sizes, start_delays]
}

/// Prints one aggregate over the whole run for each series.
fn print_text(charts: &[Chart]) {
    for chart in charts.iter().filter(|chart| !chart.lines.is_empty()) {
        out!("{} ({})", chart.title, chart.unit);
        for (name, line) in &chart.lines {
            let all: Vec<f64> = line.values().flatten().copied().collect();
            out!("  {name:<24} {:>10.1} in all {} lines", (chart.aggregate)(&all), all.len());
        }
    }
}

fn as_json(charts: &[Chart]) -> Value {
    let chart = |chart: &Chart| {
        let lines: Map<String, Value> = chart
            .lines
            .iter()
            .map(|(name, line)| (name.clone(), json!(chart.points(line))))
            .collect();
        json!({"title": chart.title, "unit": chart.unit, "lines": lines})
    };
    Value::Array(charts.iter().map(chart).collect())
}

/// Writes all charts that have data to an HTML page.
fn write_page(path: &Path, charts: &[Chart], seconds: u32) -> Result<()> {
    let mut page =
        String::from("<!doctype html><meta charset=utf-8><title>saddlerail report</title>");
    for chart in charts.iter().filter(|chart| !chart.lines.is_empty()) {
        let drawn = draw(chart, seconds).map_err(|e| Error::bad_input(chart.title, e))?;
        page.push_str(&drawn);
    }
    let shown = path.display().to_string();
    fs::write(path, page).map_err(|e| Error::io(format!("writing {shown}"), e))
}
