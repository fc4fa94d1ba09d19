/// One value of a table: what a program reads and what a person reads.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(untagged)]
pub enum Cell {
    /// Nothing is known.
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

/// The answer to a command.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct CommandAnswer {
    /// The names of the table's columns; empty where the answer has no
    /// table.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub columns: Vec<String>,
    /// The table's rows, each as long as `columns`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<Vec<Cell>>,
    /// Sentences for people.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lines: Vec<String>,
    /// The parts of the cell that could not be reached; empty where the
    /// answer is complete.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub missing: Vec<String>,
    /// The configuration's revision after the command.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}
