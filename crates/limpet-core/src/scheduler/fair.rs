/// What a team brings to the division of the cell.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    pub(super) weight: f64,
    /// The part of the cell that it could use.
    pub(super) part: f64,
}

/// Divides `whole` by weight, where no team gets more than it could use and
/// what one leaves goes to the others (weighted max-min fairness).
pub(super) fn divide(whole: f64, demands: &[Demand]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    let level = |index: usize| demands[index].part / demands[index].weight;
    order.sort_by(|&a, &b| level(a).total_cmp(&level(b)));
    let mut weight_left: f64 = demands.iter().map(|d| d.weight).sum();
    let mut left = whole;
    let mut parts = vec![0.0; demands.len()];
    for index in order {
        let Demand { weight, part } = demands[index];
        let fair = left * weight / weight_left;
        parts[index] = part.min(fair).max(0.0);
        left -= parts[index];
        weight_left -= weight;
    }
    parts
}
