use std::{fs, path::Path};

use eyre::WrapErr;

use crate::record::Record;

/// Reads the JSON lines that a bench has printed; other lines, as a log
/// writes them, are passed over.
///
/// # Errors
///
/// The file can't be read, or a line that starts as a record isn't one.
pub fn read_records(path: &Path) -> eyre::Result<Vec<Record>> {
    let text = fs::read_to_string(path)
        .wrap_err_with(|| format!("can't read {}", path.display()))?;
    text.lines()
        .enumerate()
        .filter(|(_, line)| line.starts_with(r#"{"bench""#))
        .map(|(index, line)| {
            serde_json::from_str(line).wrap_err_with(|| {
                format!("{}, line {}", path.display(), index + 1)
            })
        })
        .collect()
}
