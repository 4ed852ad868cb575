//! Charts over time from log events, drawn as SVG.

use std::collections::BTreeMap;

use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    SeriesLabelPosition, WHITE,
};
use plotters::style::Color;

/// Width and height of a chart, in pixels.
const SIZE: (u32, u32) = (960, 320);
/// Length of a legend's line sample, in pixels.
const SAMPLE: i32 = 16;
/// Width of a chart's axis against that of its lines: the legend stands in the rest.
const LEGEND_SPACE: f64 = 1.3;
/// Most letters of a name in a legend.
const MOST_LETTERS: usize = 24;

/// Values of one line of a chart, by the number of their interval.
pub(crate) type Line = BTreeMap<u64, Vec<f64>>;

/// One chart: a line for each name.
pub(crate) struct Chart {
    pub(crate) title: &'static str,
    pub(crate) unit: &'static str,
    /// How the values of an interval become one point.
    pub(crate) point: fn(&[f64]) -> f64,
    pub(crate) lines: BTreeMap<String, Line>,
}

impl Chart {
    pub(crate) fn new(title: &'static str, unit: &'static str, point: fn(&[f64]) -> f64) -> Self {
        Chart { title, unit, point, lines: BTreeMap::new() }
    }

    pub(crate) fn add(&mut self, name: &str, interval: u64, value: f64) {
        let line = self.lines.entry(name.to_owned()).or_default();
        line.entry(interval).or_default().push(value);
    }

    pub(crate) fn points(&self, line: &Line) -> Vec<(f64, f64)> {
        line.iter().map(|(at, values)| (*at as f64, (self.point)(values))).collect()
    }
}

/// The mean of an interval's values.
pub(crate) fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// The value that 90 in 100 do not exceed.
pub(crate) fn ninety(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (sorted.len() * 9).div_ceil(10).saturating_sub(1);
    sorted.get(index).copied().unwrap_or(0.0)
}

/// A chart as SVG.
pub(crate) fn draw(chart: &Chart, seconds: u32) -> std::result::Result<String, String> {
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
