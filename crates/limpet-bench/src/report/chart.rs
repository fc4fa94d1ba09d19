use std::collections::BTreeMap;

use crate::record::Record;

/// What is drawn in one frame: a metric of a bench over its cases.
#[derive(Clone, Debug, PartialEq)]
pub struct Chart {
    /// The bench and the metric.
    pub title: String,
    /// The unit of the values.
    pub unit: String,
    /// The unit of the positions; `None` for bars.
    pub x_unit: Option<String>,
    /// The curves, or one point for each bar.
    pub series: Vec<Series>,
    /// The edges of the bounds that the values must keep to.
    pub bounds: Vec<f64>,
}

/// The values of one case in one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// The case.
    pub case: String,
    /// Whether the values are of the saved run.
    pub saved: bool,
    /// Positions and values, in the order of positions.
    pub points: Vec<(f64, f64)>,
}

/// Groups the records of a run and of a saved one into charts.
pub fn charts(current: &[Record], saved: &[Record]) -> Vec<Chart> {
    let mut charts = BTreeMap::new();
    for (records, is_saved) in [(saved, true), (current, false)] {
        for record in records.iter().filter(|r| r.value.is_finite()) {
            add(&mut charts, record, is_saved);
        }
    }
    charts.into_values().map(sorted).collect()
}

type Key<'a> = (&'a str, &'a str, bool);

fn add<'a>(
    charts: &mut BTreeMap<Key<'a>, Chart>,
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
    let same = |s: &&mut Series| s.case == record.case && s.saved == saved;
    match chart.series.iter_mut().find(same) {
        Some(series) => series.points.push(point),
        None => chart.series.push(Series {
            case: record.case.clone(),
            saved,
            points: vec![point],
        }),
    }
    let edge = record.bound.filter(|_| !saved).map(|bound| bound.edge());
    if let Some(edge) = edge.filter(|edge| !chart.bounds.contains(edge)) {
        chart.bounds.push(edge);
    }
}

fn sorted(mut chart: Chart) -> Chart {
    chart.series.sort_by(|a, b| (&a.case, !a.saved).cmp(&(&b.case, !b.saved)));
    for series in &mut chart.series {
        series.points.sort_by(|a, b| a.0.total_cmp(&b.0));
    }
    chart
}
