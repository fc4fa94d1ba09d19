use std::{cmp::Ordering, fmt};

use super::{Column, TableCell};

/// The condition of a `where` clause, which selects rows of a table.
#[derive(Clone, Debug, PartialEq)]
pub enum Condition {
    /// One column compared with a value.
    Compare(Comparison),
    /// The negation of a condition.
    Not(Box<Condition>),
    /// All of two or more conditions.
    All(Vec<Condition>),
    /// At least one of two or more conditions.
    Any(Vec<Condition>),
}

/// One column compared with one or more values.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// The column.
    pub column: Column,
    /// How it is compared.
    pub operator: Operator,
    /// The values: exactly one, or one or more for [`Operator::In`].
    pub values: Vec<Value>,
}

/// How a column is compared with a value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operator {
    /// Equal to the value.
    Equal,
    /// Not equal to the value; an empty cell is equal to no value.
    NotEqual,
    /// Less than the value.
    Less,
    /// Less than the value or equal to it.
    LessOrEqual,
    /// Greater than the value.
    Greater,
    /// Greater than the value or equal to it.
    GreaterOrEqual,
    /// A text that contains the value.
    Contains,
    /// Equal to one of the values.
    In,
}

impl Operator {
    /// Returns the operator as it is written in a command.
    pub const fn as_str(self) -> &'static str {
        match self {
            Operator::Equal => "=",
            Operator::NotEqual => "!=",
            Operator::Less => "<",
            Operator::LessOrEqual => "<=",
            Operator::Greater => ">",
            Operator::GreaterOrEqual => ">=",
            Operator::Contains => "contains",
            Operator::In => "in",
        }
    }
}

/// A value to compare with, of the same kind as its column.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Yes or no.
    Flag(bool),
    /// A whole number.
    Number(i64),
    /// A decimal number, always finite.
    Decimal(f64),
    /// A text.
    Text(String),
}

impl Condition {
    /// Returns whether a row of the topic's table satisfies the condition.
    pub fn matches(&self, row: &[TableCell]) -> bool {
        match self {
            Condition::Compare(comparison) => comparison.matches(row),
            Condition::Not(inner) => !inner.matches(row),
            Condition::All(inner) => inner.iter().all(|c| c.matches(row)),
            Condition::Any(inner) => inner.iter().any(|c| c.matches(row)),
        }
    }

    /// Returns whether the condition needs no parentheses as an operand.
    fn is_simple(&self) -> bool {
        matches!(self, Condition::Compare(_) | Condition::Not(_))
    }
}

impl Comparison {
    fn matches(&self, row: &[TableCell]) -> bool {
        let Some(cell) = row.get(self.column.index()) else { return false };
        self.values.iter().any(|value| self.holds(cell, value))
    }

    /// Returns whether the comparison of a cell with one value holds.
    fn holds(&self, cell: &TableCell, value: &Value) -> bool {
        let order = value.compare(cell);
        match self.operator {
            Operator::Equal | Operator::In => order == Some(Ordering::Equal),
            Operator::NotEqual => order != Some(Ordering::Equal),
            Operator::Less => order == Some(Ordering::Less),
            Operator::LessOrEqual => order.is_some_and(Ordering::is_le),
            Operator::Greater => order == Some(Ordering::Greater),
            Operator::GreaterOrEqual => order.is_some_and(Ordering::is_ge),
            Operator::Contains => value.is_within(cell),
        }
    }
}

impl Value {
    /// Compares a cell with the value, as `cell.cmp(value)`.
    ///
    /// `None` where the cell is empty or of another kind.
    fn compare(&self, cell: &TableCell) -> Option<Ordering> {
        match (cell, self) {
            (TableCell::Flag(cell), Value::Flag(value)) => {
                Some(cell.cmp(value))
            }
            (TableCell::Number(cell), Value::Number(value)) => {
                Some(cell.cmp(value))
            }
            (TableCell::Text(cell), Value::Text(value)) => {
                Some(cell.as_str().cmp(value))
            }
            _ => cell.as_f64()?.partial_cmp(&self.as_f64()?),
        }
    }

    fn as_f64(&self) -> Option<f64> {
        match self {
            Value::Number(number) => Some(*number as f64),
            Value::Decimal(number) => Some(*number),
            Value::Flag(_) | Value::Text(_) => None,
        }
    }

    /// Returns whether the cell is a text that contains the value.
    fn is_within(&self, cell: &TableCell) -> bool {
        match (cell, self) {
            (TableCell::Text(cell), Value::Text(value)) => {
                cell.contains(value)
            }
            _ => false,
        }
    }
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Condition::Compare(comparison) => comparison.fmt(f),
            Condition::Not(inner) => {
                f.write_str("not ")?;
                write_operand(f, inner)
            }
            Condition::All(inner) => write_joined(f, inner, " and "),
            Condition::Any(inner) => write_joined(f, inner, " or "),
        }
    }
}

/// Writes conditions with a separator between them.
fn write_joined(
    f: &mut fmt::Formatter<'_>,
    conditions: &[Condition],
    separator: &str,
) -> fmt::Result {
    for (idx, condition) in conditions.iter().enumerate() {
        if idx > 0 {
            f.write_str(separator)?;
        }
        write_operand(f, condition)?;
    }
    Ok(())
}

/// Writes a condition, in parentheses unless it is simple.
fn write_operand(
    f: &mut fmt::Formatter<'_>,
    condition: &Condition,
) -> fmt::Result {
    if condition.is_simple() {
        return write!(f, "{condition}");
    }
    write!(f, "({condition})")
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} ", self.column, self.operator.as_str())?;
        if self.operator != Operator::In {
            return self.values.iter().try_for_each(|value| value.fmt(f));
        }
        let values: Vec<_> =
            self.values.iter().map(Value::to_string).collect();
        write!(f, "({})", values.join(", "))
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Flag(flag) => write!(f, "{flag}"),
            Value::Number(number) => write!(f, "{number}"),
            Value::Decimal(number) => write!(f, "{number}"),
            Value::Text(text) => write_quoted(f, text),
        }
    }
}

/// Writes a text in double quotes and escapes quotes and backslashes in it
/// with a backslash.
pub(super) fn write_quoted(
    f: &mut fmt::Formatter<'_>,
    text: &str,
) -> fmt::Result {
    f.write_str("\"")?;
    for c in text.chars() {
        if matches!(c, '"' | '\\') {
            f.write_str("\\")?;
        }
        write!(f, "{c}")?;
    }
    f.write_str("\"")
}
