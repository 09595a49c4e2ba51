//! Draws the stall times of a comparison: for each policy, the stall that a share of the requests
//! doesn't exceed.

use plotters::backend::SVGBackend;
use plotters::chart::ChartBuilder;
use plotters::chart::SeriesLabelPosition;
use plotters::drawing::IntoDrawingArea;
use plotters::prelude::BLACK;
use plotters::prelude::Color;
use plotters::prelude::IntoLogRange;
use plotters::prelude::PathElement;
use plotters::prelude::RGBColor;
use plotters::prelude::WHITE;
use plotters::series::LineSeries;

use crate::compare::PolicyName;
use crate::error::Error;
use crate::error::Result;
use crate::observe::Recorder;
use crate::observe::RequestRecord;

/// Size of the picture in pixels.
const SIZE: (u32, u32) = (900, 520);

/// Shortest stall shown, in seconds; the axis is logarithmic.
const STALL_MIN_S: f64 = 0.001;

/// Points of a curve.
const POINTS: usize = 400;

/// A colour for each policy, in the order of [`PolicyName::ALL`].
const COLOURS: [RGBColor; 4] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(230, 159, 0),
    RGBColor(0, 158, 115),
];

/// The picture as SVG.
///
/// # Errors
///
/// The drawing library refused an element.
pub fn draw(title: &str, recorded: &[(PolicyName, Recorder)]) -> Result<String> {
    let mut svg = String::new();
    draw_on(&mut svg, title, recorded).map_err(|reason| Error::Remote {
        peer: "picture".to_owned(),
        reason,
    })?;
    Ok(svg)
}

fn draw_on(
    svg: &mut String,
    title: &str,
    recorded: &[(PolicyName, Recorder)],
) -> std::result::Result<(), String> {
    let curves: Vec<(PolicyName, Vec<(f64, f64)>)> = recorded
        .iter()
        .map(|(name, recorder)| (*name, curve(recorder)))
        .collect();
    let highest = curves
        .iter()
        .flat_map(|(_, points)| points.iter().map(|(_, stall_s)| *stall_s))
        .fold(STALL_MIN_S * 10.0, f64::max);
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(text)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..100.0, (STALL_MIN_S..highest * 1.1).log_scale())
        .map_err(text)?;
    chart
        .configure_mesh()
        .x_desc("percent of the requests")
        .y_desc("stall at most, in seconds")
        .draw()
        .map_err(text)?;
    for (name, points) in curves {
        let colour = colour(name);
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))
            .map_err(text)?
            .label(name.as_str())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()
        .map_err(text)?;
    area.present().map_err(text)
}

/// Percent of the requests against the stall that they don't exceed.
fn curve(recorder: &Recorder) -> Vec<(f64, f64)> {
    let mut stalls: Vec<u64> = recorder
        .requests
        .iter()
        .map(RequestRecord::stall_us)
        .collect();
    stalls.sort_unstable();
    let count = stalls.len();
    let step = count.div_ceil(POINTS).max(1);
    stalls
        .iter()
        .enumerate()
        .filter(|(rank, _)| rank % step == 0 || rank + 1 == count)
        .map(|(rank, stall_us)| {
            let percent = (rank + 1) as f64 / count as f64 * 100.0;
            (percent, (*stall_us as f64 / 1e6).max(STALL_MIN_S))
        })
        .collect()
}

fn colour(name: PolicyName) -> RGBColor {
    let mut all = PolicyName::ALL.into_iter().zip(COLOURS);
    all.find(|(known, _)| *known == name)
        .map_or(RGBColor(0, 0, 0), |(_, colour)| colour)
}

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

#[cfg(test)]
mod tests;
