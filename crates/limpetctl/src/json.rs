use std::io::{self, Write};

use limpet_core::command::{CommandAnswer, TableCell};
use serde_json::{Map, Value, json};

/// Writes an answer for programs, as one JSON object on each line.
///
/// Each row comes first, as an object keyed by column name. Then come, where
/// the answer has them: `affected_tasks`, one `line` for each line of text,
/// `missing` with the parts of the cell that did not answer, and `revision`.
///
/// # Errors
///
/// Any error of `out`.
pub fn write_json(
    answer: &CommandAnswer,
    out: &mut dyn Write,
) -> io::Result<()> {
    for row in &answer.rows {
        let fields =
            answer.columns.iter().cloned().zip(row.iter().map(json_value));
        let object: Map<String, Value> = fields.collect();
        writeln!(out, "{}", Value::Object(object))?;
    }
    if let Some(tasks) = answer.affected_tasks {
        writeln!(out, "{}", json!({ "affected_tasks": tasks }))?;
    }
    for line in &answer.lines {
        writeln!(out, "{}", json!({ "line": line }))?;
    }
    if !answer.missing.is_empty() {
        writeln!(out, "{}", json!({ "missing": answer.missing }))?;
    }
    if let Some(revision) = answer.revision {
        writeln!(out, "{}", json!({ "revision": revision }))?;
    }
    Ok(())
}

fn json_value(cell: &TableCell) -> Value {
    match cell {
        TableCell::Empty => Value::Null,
        TableCell::Flag(flag) => json!(flag),
        TableCell::Number(number) => json!(number),
        TableCell::Decimal(number) => json!(number),
        TableCell::Text(text) => json!(text),
    }
}
