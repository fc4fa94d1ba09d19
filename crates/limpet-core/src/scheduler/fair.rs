/// The weight of a team and the most that it could use.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    pub(super) weight: f64,
    /// The fraction of the cell that it could use.
    pub(super) fraction: f64,
}

/// Divides `total` among teams by weighted max-min fairness.
///
/// Each team gets a share in proportion to its weight, but no more than it
/// could use; what it can't use is divided among the others.
pub(super) fn divide(total: f64, demands: &[Demand]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    let level = |index: usize| demands[index].fraction / demands[index].weight;
    order.sort_by(|&a, &b| level(a).total_cmp(&level(b)));
    let mut remaining_weight: f64 = demands.iter().map(|d| d.weight).sum();
    let mut remaining = total;
    let mut fractions = vec![0.0; demands.len()];
    for index in order {
        let Demand { weight, fraction } = demands[index];
        let fair = remaining * weight / remaining_weight;
        fractions[index] = fraction.min(fair).max(0.0);
        remaining -= fractions[index];
        remaining_weight -= weight;
    }
    fractions
}
