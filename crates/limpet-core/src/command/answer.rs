use std::{cmp::Ordering, fmt};

use serde::de::{self, Deserialize, Deserializer, Visitor};

/// One value in the table of an answer.
///
/// It is serialised as a plain value without a tag and displayed as text for
/// people.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
#[serde(untagged)]
pub enum TableCell {
    /// No value, or an unknown one.
    Empty,
    /// Yes or no.
    Flag(bool),
    /// A whole number.
    Number(i64),
    /// A decimal number.
    Decimal(f64),
    /// A text.
    Text(String),
}

impl TableCell {
    /// Creates a cell with a whole number, saturating at `i64::MAX`.
    pub fn number(number: u64) -> TableCell {
        TableCell::Number(i64::try_from(number).unwrap_or(i64::MAX))
    }

    /// Creates a cell with the displayed form of `text`.
    pub fn text(text: impl fmt::Display) -> TableCell {
        TableCell::Text(text.to_string())
    }

    /// Returns the sum of two numbers.
    ///
    /// Where one cell is empty, the result is the other; where a cell isn't a
    /// number, it is `self`.
    pub fn plus(&self, other: &TableCell) -> TableCell {
        match (self, other) {
            (TableCell::Number(a), TableCell::Number(b)) => {
                TableCell::Number(a.saturating_add(*b))
            }
            (
                TableCell::Number(_) | TableCell::Decimal(_),
                TableCell::Empty,
            ) => self.clone(),
            (TableCell::Empty, _) => other.clone(),
            _ => match (self.as_f64(), other.as_f64()) {
                (Some(a), Some(b)) => TableCell::Decimal(a + b),
                _ => self.clone(),
            },
        }
    }

    /// Returns the number in the cell; `None` where it isn't a number.
    pub fn as_f64(&self) -> Option<f64> {
        match self {
            TableCell::Number(number) => Some(*number as f64),
            TableCell::Decimal(number) => Some(*number),
            _ => None,
        }
    }

    /// Compares two cells in a total order, so that a table can be sorted by
    /// any column.
    ///
    /// Empty cells come first, then flags, numbers and texts.
    pub fn total_cmp(&self, other: &TableCell) -> Ordering {
        match (self, other) {
            (TableCell::Number(a), TableCell::Number(b)) => a.cmp(b),
            (TableCell::Text(a), TableCell::Text(b)) => a.cmp(b),
            (TableCell::Flag(a), TableCell::Flag(b)) => a.cmp(b),
            _ => match (self.as_f64(), other.as_f64()) {
                (Some(a), Some(b)) => a.total_cmp(&b),
                _ => self.rank().cmp(&other.rank()),
            },
        }
    }

    /// Returns the position of the cell's kind in the order of cells.
    fn rank(&self) -> u8 {
        match self {
            TableCell::Empty => 0,
            TableCell::Flag(_) => 1,
            TableCell::Number(_) | TableCell::Decimal(_) => 2,
            TableCell::Text(_) => 3,
        }
    }
}

impl fmt::Display for TableCell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TableCell::Empty => f.write_str("-"),
            TableCell::Flag(true) => f.write_str("yes"),
            TableCell::Flag(false) => f.write_str("no"),
            TableCell::Number(number) => write!(f, "{number}"),
            TableCell::Decimal(number) => write!(f, "{number}"),
            TableCell::Text(text) => f.write_str(text),
        }
    }
}

/// Deserialises each value directly. The derived implementation for an
/// untagged enum buffers every value first, which for a table of 50,000 jobs
/// takes longer than the rest of the query.
impl<'de> Deserialize<'de> for TableCell {
    fn deserialize<D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<TableCell, D::Error> {
        deserializer.deserialize_any(CellVisitor)
    }
}

struct CellVisitor;

impl Visitor<'_> for CellVisitor {
    type Value = TableCell;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("null, a boolean, a number or a string")
    }

    fn visit_unit<E: de::Error>(self) -> Result<TableCell, E> {
        Ok(TableCell::Empty)
    }

    fn visit_bool<E: de::Error>(self, flag: bool) -> Result<TableCell, E> {
        Ok(TableCell::Flag(flag))
    }

    fn visit_i64<E: de::Error>(self, number: i64) -> Result<TableCell, E> {
        Ok(TableCell::Number(number))
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> Result<TableCell, E> {
        Ok(TableCell::number(number))
    }

    fn visit_f64<E: de::Error>(self, number: f64) -> Result<TableCell, E> {
        Ok(TableCell::Decimal(number))
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<TableCell, E> {
        Ok(TableCell::Text(text.to_owned()))
    }
}

/// The answer to a command.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct CommandAnswer {
    /// The names of the table's columns; empty where the answer has no table.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub columns: Vec<String>,
    /// The table's rows, each as long as `columns`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<Vec<TableCell>>,
    /// Explanations and notes for people, one sentence each.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lines: Vec<String>,
    /// The parts of the cell that could not be reached; empty where the
    /// answer is complete.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub missing: Vec<String>,
    /// The number of tasks that a change affects, or would affect in a dry
    /// run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub affected_tasks: Option<u64>,
    /// The revision of the configuration after the command.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}
