use super::bound::Bound;

/// A position along a curve.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Along {
    /// The position.
    pub x: f64,
    /// Its unit.
    pub unit: String,
}

/// One value that a bench measured.
///
/// # Examples
///
/// ```
/// use limpet_bench::Record;
///
/// let record =
///     Record::new("path", "submit", "accepted_p99", 3.5, "ms").at_most(20.0);
/// assert!(record.ok);
/// ```
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Record {
    /// The bench.
    pub bench: String,
    /// The case within the bench.
    pub case: String,
    /// What was measured.
    pub metric: String,
    /// The value.
    pub value: f64,
    /// The unit of the value.
    pub unit: String,
    /// Where the value lies along a curve, for a metric that has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub along: Option<Along>,
    /// What the value must keep to, from a stated target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bound: Option<Bound>,
    /// Whether the bound is kept; true where there is none.
    pub ok: bool,
}

impl Record {
    /// Returns a record without a bound.
    pub fn new(
        bench: &str,
        case: &str,
        metric: &str,
        value: f64,
        unit: &str,
    ) -> Record {
        Record {
            bench: bench.to_owned(),
            case: case.to_owned(),
            metric: metric.to_owned(),
            value,
            unit: unit.to_owned(),
            along: None,
            bound: None,
            ok: true,
        }
    }

    /// Requires the value to be at most this.
    pub fn at_most(self, most: f64) -> Record {
        self.bounded(Bound::AtMost(most))
    }

    /// Requires the value to be at least this.
    pub fn at_least(self, least: f64) -> Record {
        self.bounded(Bound::AtLeast(least))
    }

    /// Makes the value a point of a curve, which has one for each case.
    pub fn along(mut self, x: f64, unit: &str) -> Record {
        self.along = Some(Along { x, unit: unit.to_owned() });
        self
    }

    fn bounded(mut self, bound: Bound) -> Record {
        self.ok = bound.is_kept(self.value);
        self.bound = Some(bound);
        self
    }
}
