use std::io::{self, Write};

use limpet_core::command::{CommandAnswer, TableCell};
use serde_json::{Map, Value, json};

/// Writes an answer as one JSON object a line: each row by the names of its
/// columns, then the number of tasks that a
/// change hits, each sentence, what is missing and the revision.
///
/// # Errors
///
/// That of the writer.
pub fn write_json(
    answer: &CommandAnswer,
    out: &mut dyn Write,
) -> io::Result<()> {
    for row in &answer.rows {
        let named = answer.columns.iter().cloned().zip(row.iter().map(value));
        let object: Map<String, Value> = named.collect();
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

fn value(cell: &TableCell) -> Value {
    match cell {
        TableCell::Empty => Value::Null,
        TableCell::Flag(flag) => json!(flag),
        TableCell::Number(number) => json!(number),
        TableCell::Decimal(number) => json!(number),
        TableCell::Text(text) => json!(text),
    }
}
