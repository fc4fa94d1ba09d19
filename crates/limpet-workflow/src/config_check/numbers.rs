use super::WrittenNumber;

/// The numbers that a field can hold.
#[derive(Clone, Copy, Debug)]
pub(super) enum Range {
    /// Whole numbers from 0 to this one.
    Whole(u64),
    /// Finite numbers that aren't negative.
    Finite,
    /// Finite numbers, for fields whose lower bound has a kind of its own.
    FiniteOrNegative,
}

impl Range {
    /// Returns why a number is outside of the range; `None` if it is inside.
    pub(super) fn excess(self, number: WrittenNumber) -> Option<String> {
        let value = number.as_f64();
        match self {
            Range::Whole(max) => {
                let is_inside = matches!(number, WrittenNumber::Whole(whole)
                    if (0..=i128::from(max)).contains(&whole));
                (!is_inside).then(|| {
                    format!("{number} isn't a whole number from 0 to {max}")
                })
            }
            Range::Finite => (!value.is_finite() || value < 0.0)
                .then(|| format!("{number} isn't a finite number from 0 on")),
            Range::FiniteOrNegative => (!value.is_finite())
                .then(|| format!("{number} isn't a finite number")),
        }
    }
}
