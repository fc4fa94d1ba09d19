use super::Point;

/// Returns the slope of the least-squares line through the points, in
/// microseconds per worker.
pub(super) fn fit_slope(points: &[Point]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.workers).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.start_us).sum::<f64>() / count;
    let covariance = points
        .iter()
        .map(|p| (p.workers - mean_x) * (p.start_us - mean_y))
        .sum::<f64>();
    let variance =
        points.iter().map(|p| (p.workers - mean_x).powi(2)).sum::<f64>();
    covariance / variance
}
