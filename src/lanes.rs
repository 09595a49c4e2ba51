//! Draws a time line as a picture: one lane a process, one dot an event, one line a request.

use std::collections::BTreeMap;

use plotters::backend::SVGBackend;
use plotters::coord::Shift;
use plotters::drawing::IntoDrawingArea;
use plotters::prelude::Circle;
use plotters::prelude::Color;
use plotters::prelude::DrawingArea;
use plotters::prelude::IntoFont;
use plotters::prelude::PathElement;
use plotters::prelude::RGBColor;
use plotters::prelude::Text;
use plotters::prelude::TextStyle;
use plotters::prelude::WHITE;

use crate::error::Error;
use crate::error::Result;
use crate::id::AttemptId;
use crate::id::RequestId;
use crate::timeline::Moment;
use crate::timeline::Process;

const WIDTH: i32 = 1_800;
const MARGIN_LEFT: i32 = 190;
const MARGIN_RIGHT: i32 = 170;
const MARGIN_TOP: i32 = 64;
const MARGIN_BOTTOM: i32 = 50;
const LANE_HEIGHT: i32 = 98;
const LABEL_ROWS: usize = 5;
const LABEL_ROW_HEIGHT: i32 = 14;
const LABEL_SIZE: i32 = 14;
const LABEL_CHARACTER_WIDTH: f64 = 6.9;
const NAME_SIZE: i32 = 17;
const DOT_RADIUS: i32 = 4;
const TICKS: usize = 12;
/// Requests whose way is drawn as a line; more would hide one another.
const REQUESTS_MAX: usize = 40;

const INK: RGBColor = RGBColor(40, 40, 40);
const GRID: RGBColor = RGBColor(215, 215, 215);

/// Colours of requests' lines, used in turn.
const REQUEST_COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(255, 127, 14),
    RGBColor(44, 160, 44),
    RGBColor(214, 39, 40),
    RGBColor(148, 103, 189),
    RGBColor(140, 86, 75),
];

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws `moments` as an SVG document.
///
/// # Errors
///
/// The drawing library refused an element.
pub fn draw(moments: &[Moment]) -> Result<String> {
    let lanes = Lanes::new(moments);
    let mut svg = String::new();
    {
        let size = (WIDTH as u32, lanes.height() as u32);
        let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        lanes.draw(&area).map_err(|reason| Error::Remote {
            peer: "picture".to_owned(),
            reason,
        })?;
    }
    Ok(svg)
}

/// Where everything goes.
struct Lanes<'a> {
    moments: &'a [Moment],
    processes: Vec<Process>,
    /// For each moment its place on the time axis.
    xs: Vec<i32>,
}

type Drawn = std::result::Result<(), String>;

impl<'a> Lanes<'a> {
    fn new(moments: &'a [Moment]) -> Self {
        let mut processes: Vec<Process> = moments.iter().map(|m| Process::of(&m.event)).collect();
        processes.sort();
        processes.dedup();
        Lanes {
            moments,
            processes,
            xs: axis(moments),
        }
    }

    fn height(&self) -> i32 {
        let lanes = i32::try_from(self.processes.len()).unwrap_or(i32::MAX / LANE_HEIGHT);
        MARGIN_TOP + MARGIN_BOTTOM + LANE_HEIGHT * lanes.max(1)
    }

    /// The height of a process's line in the picture.
    fn lane_y(&self, process: &Process) -> i32 {
        let lane = self.processes.binary_search(process).unwrap_or(0);
        MARGIN_TOP + LANE_HEIGHT * (lane as i32 + 1) - DOT_RADIUS * 3
    }

    fn draw(&self, area: &Area) -> Drawn {
        area.fill(&WHITE).map_err(text)?;
        self.draw_title(area)?;
        self.draw_ticks(area)?;
        self.draw_lanes(area)?;
        self.draw_requests(area)?;
        self.draw_events(area)?;
        area.present().map_err(text)
    }

    fn draw_title(&self, area: &Area) -> Drawn {
        let start = self.moments.first().map_or(0, |moment| moment.at_ms);
        let title = format!(
            "{} events of {} processes from {} UTC; the axis shortens long pauses",
            self.moments.len(),
            self.processes.len(),
            clock_text(start)
        );
        write(area, &title, (MARGIN_LEFT, 8), NAME_SIZE, INK)?;
        let mut x = MARGIN_LEFT;
        for (hundred, name) in HUNDREDS {
            dot(area, (x, 38), colour(hundred))?;
            write(area, name, (x + 9, 32), LABEL_SIZE, INK)?;
            x += 9 + text_width(name) + 24;
        }
        Ok(())
    }

    fn draw_ticks(&self, area: &Area) -> Drawn {
        let start = self.moments.first().map_or(0, |moment| moment.at_ms);
        let bottom = self.height() - MARGIN_BOTTOM;
        let mut free_from = MARGIN_LEFT;
        let spacing = (WIDTH - MARGIN_LEFT - MARGIN_RIGHT) / TICKS as i32;
        for (moment, x) in self.moments.iter().zip(&self.xs) {
            if *x < free_from {
                continue;
            }
            free_from = x + spacing;
            line(area, vec![(*x, MARGIN_TOP), (*x, bottom)], GRID, 1)?;
            let label = format!("+{:.3} s", (moment.at_ms - start) as f64 / 1_000.0);
            write(area, &label, (*x, bottom + 8), LABEL_SIZE, INK)?;
        }
        Ok(())
    }

    fn draw_lanes(&self, area: &Area) -> Drawn {
        for process in &self.processes {
            let y = self.lane_y(process);
            line(area, vec![(MARGIN_LEFT - 6, y), (WIDTH - 20, y)], GRID, 2)?;
            let name = process.host.as_str();
            write(area, name, (10, y - 20), NAME_SIZE, INK)?;
            let started = format!("since {} UTC", clock_text(process.incarnation.0));
            write(area, &started, (10, y - 3), LABEL_SIZE, INK)?;
        }
        Ok(())
    }

    /// A line for each request through its events on all lanes.
    fn draw_requests(&self, area: &Area) -> Drawn {
        let ways = self.ways();
        for (index, way) in ways.into_values().take(REQUESTS_MAX).enumerate() {
            let colour = REQUEST_COLOURS[index % REQUEST_COLOURS.len()];
            line(area, way, colour, 1)?;
        }
        Ok(())
    }

    /// The points of each request, in order; events of an attempt belong to its request.
    fn ways(&self) -> BTreeMap<RequestId, Vec<(i32, i32)>> {
        let requests: BTreeMap<AttemptId, RequestId> = self
            .moments
            .iter()
            .filter_map(|moment| Some((moment.event.attempt?, moment.event.request?)))
            .collect();
        let mut ways: BTreeMap<RequestId, Vec<(i32, i32)>> = BTreeMap::new();
        for (moment, x) in self.moments.iter().zip(&self.xs) {
            let event = &moment.event;
            let by_attempt = event.attempt.and_then(|id| requests.get(&id).copied());
            if let Some(request) = event.request.or(by_attempt) {
                let y = self.lane_y(&Process::of(event));
                ways.entry(request).or_default().push((*x, y));
            }
        }
        ways
    }

    fn draw_events(&self, area: &Area) -> Drawn {
        let mut free_from: BTreeMap<i32, [i32; LABEL_ROWS]> = BTreeMap::new();
        for (moment, x) in self.moments.iter().zip(&self.xs) {
            let event = &moment.event;
            let y = self.lane_y(&Process::of(event));
            let colour = colour(event.code.number() / 100);
            let rows = free_from.entry(y).or_insert([0; LABEL_ROWS]);
            // A label that finds no free row is left out; the dot stays.
            if let Some(row) = rows.iter().position(|free_from| *free_from <= *x) {
                let label = format!("{} {}", event.code.number(), event.code.name());
                rows[row] = x + text_width(&label) + 8;
                let label_y = y - DOT_RADIUS - LABEL_ROW_HEIGHT * (row as i32 + 1);
                line(area, vec![(*x, y), (*x, label_y + 4)], GRID, 1)?;
                write(area, &label, (x + 3, label_y - 3), LABEL_SIZE, colour)?;
            }
            dot(area, (*x, y), colour)?;
        }
        Ok(())
    }
}

/// The hundreds of the catalogue with their names in the legend.
const HUNDREDS: [(u16, &str); 9] = [
    (1, "process"),
    (2, "request"),
    (3, "upstream"),
    (4, "configuration"),
    (5, "claim"),
    (6, "peer"),
    (7, "limit"),
    (8, "order"),
    (9, "stand-in"),
];

fn colour(hundred: u16) -> RGBColor {
    match hundred {
        1 => RGBColor(20, 20, 20),
        2 => RGBColor(31, 97, 160),
        3 => RGBColor(200, 90, 10),
        4 => RGBColor(34, 130, 60),
        5 => RGBColor(150, 30, 120),
        6 => RGBColor(190, 30, 40),
        7 => RGBColor(110, 90, 10),
        8 => RGBColor(0, 130, 140),
        _ => RGBColor(110, 110, 110),
    }
}

/// Spreads the moments over the width: a pause counts by its logarithm, so that bursts stay apart
/// and long pauses don't push them together.
fn axis(moments: &[Moment]) -> Vec<i32> {
    let mut total = 0.0;
    let mut previous_ms = moments.first().map_or(0, |moment| moment.at_ms);
    let mut sums = Vec::with_capacity(moments.len());
    for moment in moments {
        let pause_ms = moment.at_ms.saturating_sub(previous_ms);
        previous_ms = moment.at_ms;
        total += 0.6 + (1.0 + pause_ms as f64).ln();
        sums.push(total);
    }
    let first = sums.first().copied().unwrap_or(0.0);
    let span = (total - first).max(1.0);
    let width = f64::from(WIDTH - MARGIN_LEFT - MARGIN_RIGHT);
    sums.into_iter()
        .map(|sum| MARGIN_LEFT + ((sum - first) / span * width) as i32)
        .collect()
}

fn dot(area: &Area, at: (i32, i32), colour: RGBColor) -> Drawn {
    area.draw(&Circle::new(at, DOT_RADIUS, colour.filled()))
        .map_err(text)
}

fn line(area: &Area, points: Vec<(i32, i32)>, colour: RGBColor, width: u32) -> Drawn {
    area.draw(&PathElement::new(points, colour.stroke_width(width)))
        .map_err(text)
}

fn write(area: &Area, words: &str, at: (i32, i32), size: i32, colour: RGBColor) -> Drawn {
    let style = TextStyle::from(("sans-serif", size).into_font()).color(&colour);
    area.draw(&Text::new(words.to_owned(), at, style))
        .map_err(text)
}

fn text_width(words: &str) -> i32 {
    (words.chars().count() as f64 * LABEL_CHARACTER_WIDTH) as i32
}

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

/// Time of day in UTC.
pub fn clock_text(wall_ms: u64) -> String {
    let seconds = wall_ms / 1_000;
    format!(
        "{:02}:{:02}:{:02}.{:03}",
        seconds / 3_600 % 24,
        seconds / 60 % 60,
        seconds % 60,
        wall_ms % 1_000
    )
}

#[cfg(test)]
mod tests;
