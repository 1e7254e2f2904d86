//! Draws the curves as SVG. Labels are SVG text, not shapes.

use super::{Curve, Point};
use crate::deployment::Deployment;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// Width and height of the image.
const SIZE_PX: (u32, u32) = (860, 520);
/// Radius of a measured point, in pixels.
const CURVE_POINT_RADIUS: i32 = 3;
/// Radius of the configured point and of the baselines, in pixels.
const MARKER_RADIUS: i32 = 6;

/// Draws mean wait against extra work: a line for each deployment, a filled circle at the
/// configured weight and open circles for the baselines.
pub fn draw(curves: &[Curve], path: &Path) -> Result<(), Box<dyn Error>> {
    let (widest, highest) = bounds(curves);
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("wait after a loss against extra engine work", ("sans-serif", 18))
        .margin(16)
        .x_label_area_size(44)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..widest, 0.0..highest)?;
    chart.configure_mesh().x_desc("mean wait, ms").y_desc("extra engine work, %").draw()?;
    for curve in curves {
        let color = color(curve.deployment);
        let points_xy = curve.points.iter().map(coordinates);
        chart
            .draw_series(LineSeries::new(points_xy.clone(), color.stroke_width(2)))?
            .label(format!("{:?}", curve.deployment))
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
        chart.draw_series(points_xy.map(|at| Circle::new(at, CURVE_POINT_RADIUS, color)))?;
        let configured = Circle::new(coordinates(&curve.configured), MARKER_RADIUS, color.filled());
        chart.draw_series([configured])?;
        let baselines = baselines(curve).map(|at| Circle::new(at, MARKER_RADIUS, color));
        chart.draw_series(baselines)?;
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    root.present()?;
    Ok(())
}

fn coordinates(point: &Point) -> (f64, f64) {
    (point.mean_wait_ms, point.extra_work_ratio * 100.0)
}

fn baselines(curve: &Curve) -> [(f64, f64); 2] {
    [curve.start_over, curve.resume_without_reattach]
        .map(|measures| (measures.resume_latency_ms.p50, measures.extra_work_ratio * 100.0))
}

fn bounds(curves: &[Curve]) -> (f64, f64) {
    let points_xy = curves.iter().flat_map(|curve| {
        let points = curve.points.iter().chain([&curve.configured]).map(coordinates);
        points.chain(baselines(curve))
    });
    let largest = |(x, y): (f64, f64), at: (f64, f64)| (x.max(at.0), y.max(at.1));
    let (x, y) = points_xy.fold((1.0, 1.0), largest);
    (x * 1.05, y * 1.1)
}

fn color(deployment: Deployment) -> RGBColor {
    match deployment {
        Deployment::Foundation => RGBColor(20, 90, 160),
        Deployment::Cooperative => RGBColor(190, 70, 30),
    }
}
