/// A straight line through measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Line {
    /// The value at size 0.
    pub(super) intercept: f64,
    /// The value that each unit of size adds.
    pub(super) slope: f64,
}

impl Line {
    /// Returns the least-squares line through pairs of size and value.
    pub(super) fn fit(points: &[(f64, f64)]) -> Line {
        let count = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| {
            points.iter().map(of).sum::<f64>() / count
        };
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let covariance: f64 =
            points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let variance: f64 =
            points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        Line { intercept: mean_y - slope * mean_x, slope }
    }

    /// Returns the value of the line at a size.
    pub(super) fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
