use std::collections::BTreeMap;

use crate::record::Record;

/// A metric of a benchmark over its cases, drawn as one chart.
#[derive(Clone, Debug, PartialEq)]
pub struct Chart {
    /// The names of the benchmark and the metric.
    pub title: String,
    /// The unit of the values.
    pub unit: String,
    /// The unit of the positions on the x axis; `None` for a bar chart.
    pub x_unit: Option<String>,
    /// One curve or one bar for each case and run. The series of a bar has a
    /// single point at position 0.
    pub series: Vec<Series>,
    /// The distinct bounds that the current run's values must meet.
    pub bounds: Vec<f64>,
}

/// The values of one case in one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// The name of the case.
    pub case: String,
    /// Whether the values come from the saved run.
    pub saved: bool,
    /// Pairs of position and value, by ascending position.
    pub points: Vec<(f64, f64)>,
}

/// Groups the records of the current run and of a saved run into charts, one
/// for each bench and metric, and separate ones for bars and curves. Values
/// that are not finite are left out.
pub fn charts(current: &[Record], saved: &[Record]) -> Vec<Chart> {
    let mut charts = BTreeMap::new();
    for (records, is_saved) in [(saved, true), (current, false)] {
        for record in records.iter().filter(|r| r.value.is_finite()) {
            add_record(&mut charts, record, is_saved);
        }
    }
    charts.into_values().map(sort_series).collect()
}

/// The bench, the metric, and whether the chart shows curves.
type ChartKey<'a> = (&'a str, &'a str, bool);

fn add_record<'a>(
    charts: &mut BTreeMap<ChartKey<'a>, Chart>,
    record: &'a Record,
    saved: bool,
) {
    let is_curve = record.along.is_some();
    let key = (record.bench.as_str(), record.metric.as_str(), is_curve);
    let chart = charts.entry(key).or_insert_with(|| Chart {
        title: format!("{}: {}", record.bench, record.metric),
        unit: record.unit.clone(),
        x_unit: record.along.as_ref().map(|along| along.unit.clone()),
        series: Vec::new(),
        bounds: Vec::new(),
    });
    let x = record.along.as_ref().map_or(0.0, |along| along.x);
    let point = (x, record.value);
    let is_same = |s: &&mut Series| s.case == record.case && s.saved == saved;
    match chart.series.iter_mut().find(is_same) {
        Some(series) => series.points.push(point),
        None => chart.series.push(Series {
            case: record.case.clone(),
            saved,
            points: vec![point],
        }),
    }
    let limit = record.bound.filter(|_| !saved).map(|bound| bound.limit());
    if let Some(limit) = limit.filter(|limit| !chart.bounds.contains(limit)) {
        chart.bounds.push(limit);
    }
}

fn sort_series(mut chart: Chart) -> Chart {
    chart.series.sort_by(|a, b| (&a.case, !a.saved).cmp(&(&b.case, !b.saved)));
    for series in &mut chart.series {
        series.points.sort_by(|a, b| a.0.total_cmp(&b.0));
    }
    chart
}
