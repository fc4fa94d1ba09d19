use super::Point;

/// Returns the slope of the line with the least squared error through the
/// points, in microseconds for each worker.
pub(super) fn fit_slope(points: &[Point]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.workers).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.start_us).sum::<f64>() / count;
    let over = points
        .iter()
        .map(|p| (p.workers - mean_x) * (p.start_us - mean_y))
        .sum::<f64>();
    let under =
        points.iter().map(|p| (p.workers - mean_x).powi(2)).sum::<f64>();
    over / under
}
