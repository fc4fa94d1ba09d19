//! The report shows a run next to a saved one.

use limpet_bench::{
    Record,
    report::{charts, render},
};

fn record(case: &str, value: f64) -> Record {
    Record::new("path", case, "p99", value, "ms")
}

#[test]
fn saved_run_in_same_chart() {
    let charts = charts(
        &[record("submit", 3.0).at_most(20.0), record("route", 1.0)],
        &[record("submit", 4.0).at_most(19.0)],
    );
    assert_eq!(charts.len(), 1);
    let chart = &charts[0];
    let series: Vec<_> = chart
        .series
        .iter()
        .map(|s| (s.case.as_str(), s.saved, s.points[0].1))
        .collect();
    assert_eq!(
        series,
        [("route", false, 1.0), ("submit", true, 4.0), ("submit", false, 3.0)]
    );
    assert_eq!(chart.bounds, [20.0], "only the current run's bounds count");
}

#[test]
fn curve_points_sorted() {
    let point = |x, value| record("submit", value).along(x, "jobs/s");
    let charts = charts(&[point(2.0, 5.0), point(1.0, 4.0)], &[]);
    assert_eq!(charts[0].x_unit.as_deref(), Some("jobs/s"));
    assert_eq!(charts[0].series[0].points, [(1.0, 4.0), (2.0, 5.0)]);
}

#[test]
fn page_complete() {
    let current = [
        record("a <b>", 30.0).at_most(20.0),
        record("submit", 1.0).along(1.0, "jobs/s"),
    ];
    let page = render(&current, &[record("a <b>", 10.0)]).unwrap();
    assert_eq!(page.matches("<svg").count(), 2);
    assert!(page.contains("Bounds that are missed"));
    assert!(page.contains("a &lt;b&gt;"));
    assert!(page.contains("(saved)"));
    assert!(!page.contains("<script") && !page.contains("src="));
    let page = render(&[record("submit", 1.0)], &[]).unwrap();
    assert!(page.contains("Every bound is kept."));
}
