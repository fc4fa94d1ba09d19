/// What a value must keep to.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// The value may not be larger.
    AtMost(f64),
    /// The value may not be smaller.
    AtLeast(f64),
}

impl Bound {
    /// Says whether a value keeps to the bound. One that is not a number
    /// never does.
    pub fn is_kept(&self, value: f64) -> bool {
        match *self {
            Bound::AtMost(most) => value <= most,
            Bound::AtLeast(least) => value >= least,
        }
    }

    /// Returns the value at the edge of the bound.
    pub fn edge(&self) -> f64 {
        match *self {
            Bound::AtMost(edge) | Bound::AtLeast(edge) => edge,
        }
    }
}
