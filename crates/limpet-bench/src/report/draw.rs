use std::ops::Range;

use eyre::eyre;
use plotters::prelude::*;

use super::chart::{Chart, Series};

/// The width and height of a chart, in pixels.
const SIZE_PX: (u32, u32) = (640, 360);
/// The space left of the y axis, and below bars, for labels, in pixels. The x
/// axis of a curve takes half of it.
const LABEL_AREA_PX: u32 = 64;
/// The colour of the saved run's values.
const SAVED_COLOUR: RGBColor = RGBColor(170, 170, 170);
/// The colour of bounds.
const BOUND_COLOUR: RGBColor = RGBColor(200, 30, 30);

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// Draws a chart as an SVG element.
///
/// # Errors
///
/// The plotting library can't draw the chart.
pub(super) fn draw(chart: &Chart) -> eyre::Result<String> {
    let mut svg = String::new();
    {
        let area =
            SVGBackend::with_string(&mut svg, SIZE_PX).into_drawing_area();
        area.fill(&WHITE).map_err(draw_error)?;
        match chart.x_unit {
            Some(_) => draw_curves(chart, &area)?,
            None => draw_bars(chart, &area)?,
        }
        area.present().map_err(draw_error)?;
    }
    Ok(svg)
}

fn draw_curves(chart: &Chart, area: &Area<'_>) -> eyre::Result<()> {
    let x_range = x_range(chart);
    let mut frame = ChartBuilder::on(area)
        .margin(12)
        .x_label_area_size(LABEL_AREA_PX / 2)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(x_range.clone(), value_range(chart))
        .map_err(draw_error)?;
    frame
        .configure_mesh()
        .x_desc(chart.x_unit.clone().unwrap_or_default())
        .y_desc(chart.unit.clone())
        .draw()
        .map_err(draw_error)?;
    for (index, series) in chart.series.iter().enumerate() {
        let colour = colour(index, series);
        let points = series.points.iter().copied();
        frame
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))
            .map_err(draw_error)?
            .label(label(series))
            .legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 16, y)], colour)
            });
    }
    for &limit in &chart.bounds {
        let line = [(x_range.start, limit), (x_range.end, limit)];
        frame
            .draw_series(LineSeries::new(line, BOUND_COLOUR))
            .map_err(draw_error)?;
    }
    frame
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(draw_error)
}

fn draw_bars(chart: &Chart, area: &Area<'_>) -> eyre::Result<()> {
    let count = chart.series.len() as f64;
    let mut frame = ChartBuilder::on(area)
        .margin(12)
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(0.0..count, value_range(chart))
        .map_err(draw_error)?;
    frame
        .configure_mesh()
        .disable_x_mesh()
        .disable_x_axis()
        .y_desc(chart.unit.clone())
        .draw()
        .map_err(draw_error)?;
    for (index, series) in chart.series.iter().enumerate() {
        let value = series.points.last().map_or(0.0, |point| point.1);
        let left = index as f64;
        let colour = colour(index, series);
        let bar = [(left + 0.1, 0.0), (left + 0.9, value)];
        frame
            .draw_series([Rectangle::new(bar, colour.filled())])
            .map_err(draw_error)?;
        let style = ("sans-serif", 11).into_font();
        let text = format!("{} = {value:.2}", label(series));
        frame
            .draw_series([Text::new(text, (left + 0.1, value), style)])
            .map_err(draw_error)?;
    }
    for &limit in &chart.bounds {
        let line = [(0.0, limit), (count, limit)];
        frame
            .draw_series(LineSeries::new(line, BOUND_COLOUR))
            .map_err(draw_error)?;
    }
    Ok(())
}

/// Returns the range of the y axis: it includes 0 and every value and bound,
/// with a tenth of the largest as room above.
fn value_range(chart: &Chart) -> Range<f64> {
    let values = chart
        .series
        .iter()
        .flat_map(|series| &series.points)
        .map(|point| point.1)
        .chain(chart.bounds.iter().copied());
    let (min, max) = values.fold((0.0_f64, 0.0_f64), |(min, max), value| {
        (min.min(value), max.max(value))
    });
    min..if max > min { max * 1.1 } else { min + 1.0 }
}

/// Returns the range of the x axis, from the first position to the last.
fn x_range(chart: &Chart) -> Range<f64> {
    let positions = chart
        .series
        .iter()
        .flat_map(|series| &series.points)
        .map(|point| point.0);
    let (min, max) = positions
        .fold((f64::MAX, f64::MIN), |(min, max), x| (min.min(x), max.max(x)));
    if max > min { min..max } else { min..min + 1.0 }
}

fn colour(index: usize, series: &Series) -> RGBColor {
    if series.saved {
        return SAVED_COLOUR;
    }
    let (r, g, b) = Palette99::pick(index).rgb();
    RGBColor(r, g, b)
}

fn label(series: &Series) -> String {
    let run = if series.saved { " (saved)" } else { "" };
    format!("{}{run}", series.case)
}

fn draw_error(err: impl std::fmt::Display) -> eyre::Report {
    eyre!("can't draw a chart: {err}")
}
