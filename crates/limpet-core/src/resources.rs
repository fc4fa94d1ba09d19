use std::fmt;

/// An amount of each resource that a worker holds and a task needs.
///
/// Cores are counted in thousandths so that arithmetic stays exact; memory
/// is counted in mebibytes.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub cores_milli: u64,
    /// Mebibytes of memory.
    pub memory_mb: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Nothing of each resource.
    pub const ZERO: Resources = Resources::new(0, 0, 0);
    /// More of each resource than any cell holds; stands for "no limit".
    pub const UNLIMITED: Resources =
        Resources::new(u64::MAX / 4, u64::MAX / 4, u64::MAX / 4);

    /// Returns these amounts.
    pub const fn new(
        cores_milli: u64,
        memory_mb: u64,
        accelerators: u64,
    ) -> Resources {
        Resources { cores_milli, memory_mb, accelerators }
    }

    /// Says whether each amount is at most the one in `other`.
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

    /// Returns the sum of each amount, saturating.
    pub const fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cores_milli: self.cores_milli.saturating_add(other.cores_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the difference of each amount, 0 where `other` has more.
    pub const fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cores_milli: self.cores_milli.saturating_sub(other.cores_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns each amount times `count`, saturating.
    pub const fn times(&self, count: u64) -> Resources {
        Resources {
            cores_milli: self.cores_milli.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Says whether every amount is 0.
    pub const fn is_zero(&self) -> bool {
        self.cores_milli == 0 && self.memory_mb == 0 && self.accelerators == 0
    }

    /// Returns the largest part of `whole` that any one resource takes, from
    /// 0 to 1, as dominant-resource fairness counts it (NSDI 2011).
    pub fn dominant_share(&self, whole: &Resources) -> f64 {
        let part = |amount: u64, of: u64| {
            if of == 0 { 0.0 } else { amount as f64 / of as f64 }
        };
        part(self.cores_milli, whole.cores_milli)
            .max(part(self.memory_mb, whole.memory_mb))
            .max(part(self.accelerators, whole.accelerators))
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
