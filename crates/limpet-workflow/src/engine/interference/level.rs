//! Running means of logarithms of paces.

/// The least weight of a new value in a [`Level`]: older values than some
/// 64 hardly count.
const MIN_LEVEL_WEIGHT: f64 = 1.0 / 64.0;
/// The values that a level needs before others are compared with it.
const MIN_LEVEL_COUNT: u32 = 8;
/// Draws the levels of all workers towards 0. They are relative to each
/// other, so that without it all of them could drift away together.
const LEVEL_SHRINKAGE: f64 = 0.98;
/// The least weight of a new value in a [`Spread`].
const MIN_SPREAD_WEIGHT: f64 = 1.0 / 256.0;
/// The largest difference from the usual pace that is used, as a logarithm:
/// one run that stalls must not outweigh all others.
const MAX_DIFFERENCE: f64 = 1.5;

/// The usual pace on a worker, or of a serving task.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Level {
    count: u32,
    pub(super) mean: f64,
}

impl Level {
    pub(super) fn add(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(MIN_LEVEL_WEIGHT);
        let value = value.clamp(-2.0 * MAX_DIFFERENCE, 2.0 * MAX_DIFFERENCE);
        self.mean += (value * LEVEL_SHRINKAGE - self.mean) * weight;
    }

    /// Returns the difference of a value from the usual one; `None` until that
    /// is known.
    pub(super) fn difference(&self, value: f64) -> Option<f64> {
        let difference = value - self.mean;
        (self.count >= MIN_LEVEL_COUNT)
            .then(|| difference.clamp(-MAX_DIFFERENCE, MAX_DIFFERENCE))
    }
}

/// A running mean and variance.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Spread {
    pub(super) count: u32,
    pub(super) mean: f64,
    pub(super) variance: f64,
}

impl Spread {
    pub(super) fn add(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(MIN_SPREAD_WEIGHT);
        let difference = value - self.mean;
        self.mean += difference * weight;
        let added = weight * difference * difference;
        self.variance = (1.0 - weight) * (self.variance + added);
    }

    /// Returns how many values count in the mean.
    pub(super) fn effective_count(&self) -> f64 {
        f64::from(self.count).min(1.0 / MIN_SPREAD_WEIGHT)
    }
}
