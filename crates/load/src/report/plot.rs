//! Plots of a run as SVG.

use std::path::Path;

use plotters::prelude::*;

use crate::Error;
use crate::work::Entry;

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (1_000, 400);
/// Width of a bar of the plot of acknowledged writes, in seconds.
const BAR_S: f64 = 0.2;
/// The lowest latency drawn, in milliseconds.
const LOWEST_MS: f64 = 0.5;

/// Draws latency over time and acknowledged writes over time.
pub fn plot(entries: &[Entry], directory: &Path, title: &str) -> Result<(), Error> {
    let path = directory.join("latency.svg");
    latency(entries, &path, title).map_err(|error| Error::file("draw", &path, error))?;
    let path = directory.join("writes.svg");
    writes(entries, &path, title).map_err(|error| Error::file("draw", &path, error))
}

type Drawn = Result<(), Box<dyn std::error::Error>>;

fn seconds(entries: &[Entry]) -> f64 {
    let last = entries.iter().map(|entry| entry.done.as_secs_f64());
    last.fold(1.0, f64::max)
}

fn latency(entries: &[Entry], path: &Path, title: &str) -> Drawn {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let answered = entries.iter().filter(|entry| entry.is_answered());
    let points: Vec<(f64, f64, bool)> = answered
        .map(|entry| {
            let ms = entry.latency().as_secs_f64() * 1_000.0;
            (
                entry.intended.as_secs_f64(),
                ms.max(LOWEST_MS),
                entry.kind.is_write(),
            )
        })
        .collect();
    let highest = points.iter().map(|point| point.1).fold(10.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(
            format!("{title}: reads blue, writes red"),
            ("sans-serif", 16),
        )
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..seconds(entries), (LOWEST_MS..highest).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("due at, seconds")
        .y_desc("latency, ms")
        .draw()?;
    chart.draw_series(points.iter().map(|&(x, y, write)| {
        let color = if write { &RED } else { &BLUE };
        Circle::new((x, y), 1, color.filled())
    }))?;
    area.present()?;
    Ok(())
}

fn writes(entries: &[Entry], path: &Path, title: &str) -> Drawn {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let span = seconds(entries);
    // CAST: a run lasts minutes, so the number of bars is small.
    let mut bars = vec![0_u32; (span / BAR_S) as usize + 1];
    let acknowledged = entries
        .iter()
        .filter(|entry| entry.is_answered() && entry.kind.is_write());
    for entry in acknowledged {
        // CAST: as above.
        let index = (entry.done.as_secs_f64() / BAR_S) as usize;
        if let Some(bar) = bars.get_mut(index) {
            *bar += 1;
        }
    }
    let highest = bars.iter().copied().max().unwrap_or(0) + 1;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            format!("{title}: writes acknowledged each {BAR_S} s"),
            ("sans-serif", 16),
        )
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..span, 0..highest)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("writes")
        .draw()?;
    let points = bars
        .iter()
        .enumerate()
        .map(|(index, bar)| (index as f64 * BAR_S, *bar));
    chart.draw_series(LineSeries::new(points, &RED))?;
    area.present()?;
    Ok(())
}
