//! A straight line through measured points.

use serde::Serialize;

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// What was measured.
    pub value: f64,
}

/// A straight line: `base + per_unit * size`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// The value at size zero.
    pub base: f64,
    /// What one more unit of size adds.
    pub per_unit: f64,
}

impl Slope {
    /// The value at a size.
    pub fn at(self, size: f64) -> f64 {
        self.base + self.per_unit * size
    }
}

/// The line with the least squared distance to the points.
pub fn fit(points: &[Point]) -> Slope {
    let count = points.len().max(1) as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|point| (point.size - mean_size) * (point.value - mean_value)).sum();
    let variance: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
    let per_unit = if variance > 0.0 { covariance / variance } else { 0.0 };
    Slope { base: mean_value - per_unit * mean_size, per_unit }
}
