use super::bound::Bound;

/// The position of a value on a curve.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct CurvePosition {
    /// The position, in `unit`.
    pub x: f64,
    /// The unit of the position, such as `workers`.
    pub unit: String,
}

/// One value that a benchmark measured, with its bound if it has one.
///
/// Records are written as JSON lines and compared with earlier runs by bench,
/// case and metric.
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
    /// The name of the benchmark.
    pub bench: String,
    /// The name of the case within the benchmark.
    pub case: String,
    /// The name of the measured quantity.
    pub metric: String,
    /// The measured value, in `unit`.
    pub value: f64,
    /// The unit of the value.
    pub unit: String,
    /// The position of the value on a curve, if the metric was measured at
    /// several sizes or rates.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub along: Option<CurvePosition>,
    /// The bound that the value must meet, taken from a stated target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bound: Option<Bound>,
    /// Whether the value meets its bound; true if it has none.
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

    /// Sets a bound that the value meets if it is at most `max`.
    pub fn at_most(self, max: f64) -> Record {
        self.with_bound(Bound::AtMost(max))
    }

    /// Sets a bound that the value meets if it is at least `min`.
    pub fn at_least(self, min: f64) -> Record {
        self.with_bound(Bound::AtLeast(min))
    }

    /// Makes the value a point of the curve of its metric and case, at
    /// position `x`.
    pub fn along(mut self, x: f64, unit: &str) -> Record {
        self.along = Some(CurvePosition { x, unit: unit.to_owned() });
        self
    }

    fn with_bound(mut self, bound: Bound) -> Record {
        self.ok = bound.is_met_by(self.value);
        self.bound = Some(bound);
        self
    }
}
