//! Points, least-squares lines and how they are printed.

use std::hint::black_box;
use std::time::Instant;

use crate::ALLOCATOR;

/// Runs whose median is taken.
const RUNS: usize = 5;

/// Values measured at several sizes.
pub struct Series {
    name: &'static str,
    points: Vec<(f64, f64)>,
}

impl Series {
    /// Measures `value` at every size.
    pub fn measure(
        name: &'static str,
        sizes: &[usize],
        mut value: impl FnMut(usize) -> f64,
    ) -> Self {
        let points = sizes
            .iter()
            .map(|size| (*size as f64, value(*size)))
            .collect();
        Series { name, points }
    }

    /// Prints the points and the fitted line.
    pub fn print(&self, unit: &str) {
        let points: Vec<String> = self
            .points
            .iter()
            .map(|(size, value)| format!("{size}: {value:.0}"))
            .collect();
        let (slope, intercept) = self.line();
        println!("{} [{unit}] {}", self.name, points.join(", "));
        println!("    fit: {intercept:.1} + {slope:.4} x size");
    }

    /// Slope and intercept by least squares.
    fn line(&self) -> (f64, f64) {
        let count = self.points.len() as f64;
        let mean_x = self.points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = self.points.iter().map(|point| point.1).sum::<f64>() / count;
        let covariance: f64 = self
            .points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let variance: f64 = self.points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        (slope, mean_y - slope * mean_x)
    }
}

/// Bytes that stay allocated while the value that `build` makes is alive.
pub fn bytes_held<T>(build: impl FnOnce() -> T) -> f64 {
    let before = ALLOCATOR.stats();
    let value = build();
    let after = ALLOCATOR.stats();
    drop(value);
    let allocated = after.bytes_allocated - before.bytes_allocated;
    let freed = after.bytes_deallocated - before.bytes_deallocated;
    allocated as f64 - freed as f64
}

/// Median nanoseconds of one of `count` calls.
pub fn nanos_each<T>(count: usize, mut call: impl FnMut(usize) -> T) -> f64 {
    let mut runs: Vec<f64> = (0..RUNS)
        .map(|run| {
            let start = Instant::now();
            for index in 0..count {
                black_box(call(run * count + index));
            }
            start.elapsed().as_nanos() as f64 / count as f64
        })
        .collect();
    runs.sort_by(f64::total_cmp);
    runs[RUNS / 2]
}
