//! Charts over time, filled from log events and drawn as SVG.

use std::collections::BTreeMap;

use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    SeriesLabelPosition, WHITE,
};
use plotters::style::Color;

/// Width and height of a chart in pixels.
const CHART_SIZE: (u32, u32) = (960, 320);
/// Length of the line sample beside a legend entry, in pixels.
const LEGEND_SAMPLE: i32 = 16;
/// Width of the x axis as a multiple of the range of the data. The legend is drawn in the space to
/// the right of the data.
const X_AXIS_STRETCH: f64 = 1.3;
/// Longest series name in a legend, in characters; longer names are cut.
const MAX_LEGEND_CHARS: usize = 24;

/// Values of one series, grouped by the index of their time interval.
pub(crate) type Line = BTreeMap<u64, Vec<f64>>;

/// A chart with one series per name.
pub(crate) struct Chart {
    pub(crate) title: &'static str,
    /// Unit of the plotted values, shown beside the title.
    pub(crate) unit: &'static str,
    /// Reduces the values of one interval to the value that is plotted.
    pub(crate) aggregate: fn(&[f64]) -> f64,
    /// Series by name.
    pub(crate) lines: BTreeMap<String, Line>,
}

impl Chart {
    /// Creates a chart without series.
    pub(crate) fn new(
        title: &'static str,
        unit: &'static str,
        aggregate: fn(&[f64]) -> f64,
    ) -> Self {
        Chart { title, unit, aggregate, lines: BTreeMap::new() }
    }

    /// Adds a value to the series `name` in the given interval.
    pub(crate) fn add(&mut self, name: &str, interval: u64, value: f64) {
        let line = self.lines.entry(name.to_owned()).or_default();
        line.entry(interval).or_default().push(value);
    }

    /// Plotted points of a series: interval index and aggregated value.
    pub(crate) fn points(&self, line: &Line) -> Vec<(f64, f64)> {
        line.iter().map(|(interval, values)| (*interval as f64, (self.aggregate)(values))).collect()
    }
}

/// Arithmetic mean; 0 for no values.
pub(crate) fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// 90th percentile by nearest rank; 0 for no values.
pub(crate) fn percentile_90(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (sorted.len() * 9).div_ceil(10).saturating_sub(1);
    sorted.get(index).copied().unwrap_or(0.0)
}

/// Renders a chart as SVG; `seconds` is the length of an interval, which labels the x axis. The
/// error is the text of the drawing library.
pub(crate) fn draw(chart: &Chart, seconds: u32) -> std::result::Result<String, String> {
    let mut svg = String::new();
    let error_text = |e: &dyn std::fmt::Display| e.to_string();
    {
        let area = SVGBackend::with_string(&mut svg, CHART_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| error_text(&e))?;
        let points = chart.lines.values().flat_map(|line| chart.points(line));
        let (last, highest) =
            points.fold((1.0, 1.0), |(x, y): (f64, f64), p| (x.max(p.0), y.max(p.1)));
        let mut axes = ChartBuilder::on(&area)
            .caption(format!("{} ({})", chart.title, chart.unit), ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..last * X_AXIS_STRETCH, 0.0..highest * 1.05)
            .map_err(|e| error_text(&e))?;
        let unit = format!("intervals of {seconds} s");
        axes.configure_mesh().x_desc(unit).draw().map_err(|e| error_text(&e))?;
        for (index, (name, line)) in chart.lines.iter().enumerate() {
            let color = Palette99::pick(index).stroke_width(2);
            let series = LineSeries::new(chart.points(line), color);
            let drawn = axes.draw_series(series).map_err(|e| error_text(&e))?;
            let shown: String = name.chars().take(MAX_LEGEND_CHARS).collect();
            drawn.label(shown).legend(move |(x, y)| {
                PathElement::new(
                    [(x, y), (x + LEGEND_SAMPLE, y)],
                    Palette99::pick(index).stroke_width(2),
                )
            });
        }
        let mut legend = axes.configure_series_labels();
        legend
            .position(SeriesLabelPosition::UpperRight)
            .border_style(BLACK)
            .background_style(WHITE);
        legend.draw().map_err(|e| error_text(&e))?;
        area.present().map_err(|e| error_text(&e))?;
    }
    Ok(svg)
}
