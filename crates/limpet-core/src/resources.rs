use std::fmt;

/// Amounts of each kind of resource, as a worker offers or a task needs them.
///
/// Cores are counted in thousandths so that arithmetic is exact.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Resources {
    /// Processor cores, in thousandths of a core.
    pub cores_milli: u64,
    /// Memory, in mebibytes.
    pub memory_mb: u64,
    /// The number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// No resources.
    pub const ZERO: Resources = Resources::new(0, 0, 0);
    /// More of each resource than any cell has; stands for "no limit".
    pub const UNLIMITED: Resources =
        Resources::new(u64::MAX / 4, u64::MAX / 4, u64::MAX / 4);

    /// Creates a set of amounts.
    pub const fn new(
        cores_milli: u64,
        memory_mb: u64,
        accelerators: u64,
    ) -> Resources {
        Resources { cores_milli, memory_mb, accelerators }
    }

    /// Returns whether each amount is at most that of `other`.
    ///
    /// # Examples
    ///
    /// ```
    /// use limpet_core::Resources;
    ///
    /// let worker = Resources::new(16_000, 65_536, 0);
    /// assert!(Resources::new(2_000, 512, 0).fits_in(&worker));
    /// assert!(!Resources::new(2_000, 512, 1).fits_in(&worker));
    /// ```
    pub const fn fits_in(&self, other: &Resources) -> bool {
        self.cores_milli <= other.cores_milli
            && self.memory_mb <= other.memory_mb
            && self.accelerators <= other.accelerators
    }

    /// Adds each amount, saturating.
    pub const fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cores_milli: self.cores_milli.saturating_add(other.cores_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts each amount, with a result of 0 where `other` has more.
    pub const fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cores_milli: self.cores_milli.saturating_sub(other.cores_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Multiplies each amount by `count`, saturating.
    pub const fn times(&self, count: u64) -> Resources {
        Resources {
            cores_milli: self.cores_milli.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns whether every amount is 0.
    pub const fn is_zero(&self) -> bool {
        self.cores_milli == 0 && self.memory_mb == 0 && self.accelerators == 0
    }

    /// Returns the dominant share: the largest fraction of `total` that any
    /// one resource takes, which is from 0 to 1 where `self` fits in `total`.
    ///
    /// This is the measure of dominant-resource fairness (Ghodsi et al.,
    /// NSDI 2011). A resource that `total` lacks counts as 0.
    pub fn dominant_share(&self, total: &Resources) -> f64 {
        let share = |amount: u64, of: u64| {
            if of == 0 { 0.0 } else { amount as f64 / of as f64 }
        };
        share(self.cores_milli, total.cores_milli)
            .max(share(self.memory_mb, total.memory_mb))
            .max(share(self.accelerators, total.accelerators))
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cores = self.cores_milli as f64 / 1000.0;
        write!(f, "{cores} cores, {} MB", self.memory_mb)?;
        if self.accelerators > 0 {
            write!(f, ", {} accelerators", self.accelerators)?;
        }
        Ok(())
    }
}
