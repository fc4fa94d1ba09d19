use std::{fs, path::Path};

use eyre::WrapErr;

use crate::record::Record;

/// Reads the records from a file with the output of benchmarks. Lines that
/// don't start like a record, such as log lines, are skipped.
///
/// # Errors
///
/// The file can't be read, or a line that starts like a record can't be
/// parsed as one.
pub fn read_records(path: &Path) -> eyre::Result<Vec<Record>> {
    let text = fs::read_to_string(path)
        .wrap_err_with(|| format!("can't read {}", path.display()))?;
    text.lines()
        .enumerate()
        .filter(|(_, line)| line.starts_with(r#"{"bench""#))
        .map(|(index, line)| {
            serde_json::from_str(line).wrap_err_with(|| {
                format!(
                    "invalid record at {}, line {}",
                    path.display(),
                    index + 1
                )
            })
        })
        .collect()
}
