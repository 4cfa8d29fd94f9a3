//! The report as a picture: throughput to the right, harm upward, one point a policy.

use std::path::{Path, PathBuf};

use plotters::prelude::*;
use snafu::Snafu;

use super::measure::ExperimentReport;

/// Why the picture was not drawn.
#[derive(Debug, Snafu)]
#[snafu(display("{}: {detail}", path.display()))]
pub struct PlotError {
    path: PathBuf,
    detail: String,
}

/// The picture's size, in pixels.
const SIZE: (u32, u32) = (900, 600);

/// Draws the report as SVG.
///
/// # Errors
///
/// The file can't be written.
pub fn plot_report(report: &ExperimentReport, path: &Path) -> Result<(), PlotError> {
    draw(report, path).map_err(|error| PlotError { path: path.to_owned(), detail: error.to_string() })
}

fn draw(report: &ExperimentReport, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let most = report.policies.values().map(|policy| policy.harm_p99).fold(1.5, f64::max);
    let title = format!("{}, seed {}: harm against throughput", report.profile, report.seed);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 22))
        .margin(20)
        .x_label_area_size(45)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..1.05, (0.9..most * 1.1).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("share of the idle capacity that batch used")
        .y_desc("online p99 over online-only's p99")
        .draw()?;
    let points = report.policies.iter().map(|(name, policy)| (name, (policy.idle_share, policy.harm_p99)));
    for (name, (share, harm)) in points {
        chart.draw_series([Circle::new((share, harm), 5, BLUE.filled())])?;
        chart.draw_series([Text::new(name.clone(), (share + 0.01, harm), ("sans-serif", 16))])?;
    }
    area.present()?;
    Ok(())
}
