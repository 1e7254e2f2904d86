//! Chart of the ends of requests over time, as SVG.

use super::Summary;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// Width and height of the chart, in pixels.
const SIZE: (u32, u32) = (960, 480);
/// Length of a line in the legend, in pixels.
const LEGEND_LINE_LENGTH: i32 = 18;

/// Draws one line for each outcome: the number of requests that ended in each second.
pub fn draw(summary: &Summary, path: &Path) -> Result<(), Box<dyn Error>> {
    let length = summary.seconds.values().map(Vec::len).max().unwrap_or(1).max(1);
    let highest = summary.seconds.values().flatten().max().copied().unwrap_or(1).max(1);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("requests by outcome", ("sans-serif", 18))
        .margin(16)
        .x_label_area_size(44)
        .y_label_area_size(64)
        .build_cartesian_2d(0..length, 0..highest)?;
    chart.configure_mesh().x_desc("second").y_desc("requests ended").draw()?;
    for (index, (outcome, series)) in summary.seconds.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = (0..length).map(|at| (at, series.get(at).copied().unwrap_or_default()));
        chart.draw_series(LineSeries::new(points, color.stroke_width(2)))?.label(outcome).legend(
            move |(x, y)| PathElement::new(vec![(x, y), (x + LEGEND_LINE_LENGTH, y)], color),
        );
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    root.present()?;
    Ok(())
}
