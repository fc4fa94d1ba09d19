/// A straight line through measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Slope {
    /// The value at 0.
    pub(super) base: f64,
    /// What each unit of size adds.
    pub(super) slope: f64,
}

impl Slope {
    /// Returns the line with the least squares of deviations.
    pub(super) fn fit(points: &[(f64, f64)]) -> Slope {
        let count = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| {
            points.iter().map(of).sum::<f64>() / count
        };
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let along: f64 =
            points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let spread: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let slope = along / spread;
        Slope { base: mean_y - slope * mean_x, slope }
    }

    /// Returns the value of the line at a size.
    pub(super) fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
