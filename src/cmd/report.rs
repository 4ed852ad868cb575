//! `saddlerail report`: draw from VMs' log files how requests ended, how long stages took, how well
//! pools' calls were filled and who was refused on arrival, over time.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use clap::ArgMatches;
use errors::{Error, Result};
use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    SeriesLabelPosition, WHITE,
};
use plotters::style::Color;
use serde_json::{Map, Value, json};

use crate::cli::{Output, output_of};
use crate::logs;

/// Width and height of a chart, in pixels.
const SIZE: (u32, u32) = (960, 320);
/// Length of a legend's line sample, in pixels.
const SAMPLE: i32 = 16;
/// Width of a chart's axis against that of its lines: the legend stands in the rest.
const LEGEND_SPACE: f64 = 1.3;
/// Most letters of a name in a legend.
const MOST_LETTERS: usize = 24;

/// Values of one line of a chart, by the number of their interval.
type Line = BTreeMap<u64, Vec<f64>>;

/// One chart: a line for each name.
struct Chart {
    title: &'static str,
    unit: &'static str,
    /// How the values of an interval become one point.
    point: fn(&[f64]) -> f64,
    lines: BTreeMap<String, Line>,
}

impl Chart {
    fn new(title: &'static str, unit: &'static str, point: fn(&[f64]) -> f64) -> Self {
        Chart { title, unit, point, lines: BTreeMap::new() }
    }

    fn add(&mut self, name: &str, interval: u64, value: f64) {
        let line = self.lines.entry(name.to_owned()).or_default();
        line.entry(interval).or_default().push(value);
    }

    fn points(&self, line: &Line) -> Vec<(f64, f64)> {
        line.iter().map(|(at, values)| (*at as f64, (self.point)(values))).collect()
    }
}

pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let seconds = args.get_one::<u32>("seconds").copied().unwrap_or(1);
    let mut events = Vec::new();
    for path in args.get_many::<PathBuf>("logs").into_iter().flatten() {
        events.extend(logs::read(path)?.lines().map(logs::pairs));
    }
    let charts = charts(&events, f64::from(seconds));
    if charts.iter().all(|chart| chart.lines.is_empty()) {
        return Err(Error::bad_input("logs", "no line tells of a request or a pool's call"));
    }
    match (args.get_one::<PathBuf>("page"), output_of(args)) {
        (Some(page), _) => write_page(page, &charts, seconds)?,
        (None, Output::Json) => out!("{}", as_json(&charts)),
        (None, Output::Text) => print_text(&charts),
    }
    Ok(())
}

/// The charts of all events, with intervals of so many seconds from the first event on.
fn charts(events: &[Map<String, Value>], seconds: f64) -> Vec<Chart> {
    let times = events.iter().filter_map(|pairs| logs::number(pairs, "time"));
    let first = times.fold(f64::INFINITY, f64::min);
    let mut ended = Chart::new("Requests by outcome", "requests", |values| values.len() as f64);
    let mut refused =
        Chart::new("Not admitted, by entry", "requests", |values| values.len() as f64);
    let mut stages = Chart::new("Time of all stages, by entry", "ms, 90 in 100", ninety);
    let mut waits = Chart::new("Longest wait of a call's pieces, by pool", "ms, 90 in 100", ninety);
    let mut fill = Chart::new("Pieces in a call, by pool", "pieces, mean", mean);
    for pairs in events {
        let Some(time) = logs::number(pairs, "time") else { continue };
        let at = ((time - first) / seconds) as u64;
        let text = |key| logs::text(pairs, key).unwrap_or("-");
        let add = |chart: &mut Chart, name: &str, key: &str| {
            if let Some(value) = logs::number(pairs, key) {
                chart.add(name, at, value);
            }
        };
        match text("msg") {
            // A stream that has begun is told again at its end.
            "request ended" if text("outcome") == "stream begun" => {}
            "request ended" | "stream ended" => add(&mut ended, text("outcome"), "took_ms"),
            "not admitted" => add(&mut refused, text("entry"), "expected_ms"),
            "stages ended" => add(&mut stages, text("entry"), "took_ms"),
            "pool call" => {
                add(&mut waits, text("pool"), "waited_ms");
                add(&mut fill, text("pool"), "pieces");
            }
            _ => {}
        }
    }
    vec![ended, refused, stages, waits, fill]
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// The value that 90 in 100 do not exceed.
fn ninety(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (sorted.len() * 9).div_ceil(10).saturating_sub(1);
    sorted.get(index).copied().unwrap_or(0.0)
}

fn print_text(charts: &[Chart]) {
    for chart in charts.iter().filter(|chart| !chart.lines.is_empty()) {
        out!("{} ({})", chart.title, chart.unit);
        for (name, line) in &chart.lines {
            let all: Vec<f64> = line.values().flatten().copied().collect();
            out!("  {name:<24} {:>10.1} in all {} lines", (chart.point)(&all), all.len());
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

/// A chart as SVG.
fn draw(chart: &Chart, seconds: u32) -> std::result::Result<String, String> {
    let mut svg = String::new();
    let told = |e: &dyn std::fmt::Display| e.to_string();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| told(&e))?;
        let points = chart.lines.values().flat_map(|line| chart.points(line));
        let (last, highest) =
            points.fold((1.0, 1.0), |(x, y): (f64, f64), p| (x.max(p.0), y.max(p.1)));
        let mut axes = ChartBuilder::on(&area)
            .caption(format!("{} ({})", chart.title, chart.unit), ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..last * LEGEND_SPACE, 0.0..highest * 1.05)
            .map_err(|e| told(&e))?;
        let unit = format!("intervals of {seconds} s");
        axes.configure_mesh().x_desc(unit).draw().map_err(|e| told(&e))?;
        for (index, (name, line)) in chart.lines.iter().enumerate() {
            let color = Palette99::pick(index).stroke_width(2);
            let series = LineSeries::new(chart.points(line), color);
            let drawn = axes.draw_series(series).map_err(|e| told(&e))?;
            let shown: String = name.chars().take(MOST_LETTERS).collect();
            drawn.label(shown).legend(move |(x, y)| {
                PathElement::new([(x, y), (x + SAMPLE, y)], Palette99::pick(index).stroke_width(2))
            });
        }
        let mut legend = axes.configure_series_labels();
        legend
            .position(SeriesLabelPosition::UpperRight)
            .border_style(BLACK)
            .background_style(WHITE);
        legend.draw().map_err(|e| told(&e))?;
        area.present().map_err(|e| told(&e))?;
    }
    Ok(svg)
}
