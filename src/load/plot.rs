//! SVG plot of a run: tokens, refusals and time to first token over time.

use std::{collections::BTreeMap, path::Path};

use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, DrawingArea, IntoDrawingArea, LineSeries, RED, RGBColor, SVGBackend,
    WHITE,
};

use super::caller::{Ending, Outcome};

/// Width and height of the plot, in pixels.
const SIZE: (u32, u32) = (900, 720);
/// Number of panels, stacked vertically.
const PANELS: usize = 3;

/// Values keyed by second of the run.
type Series = BTreeMap<u64, f64>;

/// Plots a run into an SVG file.
pub(crate) fn draw(path: &Path, outcomes: &[Outcome], time_scale: u32) -> Result<(), String> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|e| e.to_string())?;
    let panels = area.split_evenly((PANELS, 1));
    let charts = [
        (
            "tokens received per second of the run",
            tokens_per_second(outcomes),
            BLUE,
        ),
        (
            "refusals per second of the run",
            refusals_per_second(outcomes),
            RED,
        ),
        (
            "slowest first token by second of arrival, ms (scaled back)",
            slowest_first_tokens(outcomes, time_scale),
            BLACK,
        ),
    ];
    for (panel, (title, series, color)) in panels.iter().zip(charts) {
        draw_panel(panel, title, &series, color)?;
    }
    area.present().map_err(|e| e.to_string())
}

fn draw_panel(
    panel: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    series: &Series,
    color: RGBColor,
) -> Result<(), String> {
    let last_second = series.keys().next_back().copied().unwrap_or(1).max(1);
    let max_value = series.values().copied().fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(panel)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(60)
        .build_cartesian_2d(0..last_second, 0.0..max_value)
        .map_err(|e| e.to_string())?;
    let mut mesh = chart.configure_mesh();
    mesh.draw().map_err(|e| e.to_string())?;
    let points = (0..=last_second).map(|at| (at, series.get(&at).copied().unwrap_or(0.0)));
    let line = chart.draw_series(LineSeries::new(points, color));
    line.map(drop).map_err(|e| e.to_string())
}

fn tokens_per_second(outcomes: &[Outcome]) -> Series {
    let mut series = Series::new();
    for (second, count) in outcomes.iter().flat_map(|o| &o.tokens) {
        let count = f64::from(u32::try_from(*count).unwrap_or(u32::MAX));
        *series.entry(*second).or_default() += count;
    }
    series
}

fn refusals_per_second(outcomes: &[Outcome]) -> Series {
    let mut series = Series::new();
    let is_refused = |o: &&Outcome| matches!(o.ending, Ending::Refused(_));
    for outcome in outcomes.iter().filter(is_refused) {
        *series.entry(outcome.due_at.as_secs()).or_default() += 1.0;
    }
    series
}

fn slowest_first_tokens(outcomes: &[Outcome], time_scale: u32) -> Series {
    let mut series = Series::new();
    for outcome in outcomes {
        let Some(first) = outcome.first_token else {
            continue;
        };
        let ms = (first * time_scale).as_secs_f64() * 1000.0;
        let slowest = series.entry(outcome.due_at.as_secs()).or_insert(0.0);
        *slowest = slowest.max(ms);
    }
    series
}
