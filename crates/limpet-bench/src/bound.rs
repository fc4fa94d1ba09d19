/// The bound that a measured value must meet.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// The value must be at most this.
    AtMost(f64),
    /// The value must be at least this.
    AtLeast(f64),
}

impl Bound {
    /// Returns whether `value` meets the bound. NaN meets none.
    pub fn is_met_by(&self, value: f64) -> bool {
        match *self {
            Bound::AtMost(max) => value <= max,
            Bound::AtLeast(min) => value >= min,
        }
    }

    /// Returns the largest or smallest value that meets the bound.
    pub fn limit(&self) -> f64 {
        match *self {
            Bound::AtMost(limit) | Bound::AtLeast(limit) => limit,
        }
    }
}
