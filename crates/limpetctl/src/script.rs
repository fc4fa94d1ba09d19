/// Returns an iterator over the commands of a script, each with the number
/// of its first line, counted from 1.
///
/// A command takes one line. A backslash at the end of a line continues it
/// on the next one. Empty lines and lines that start with `#` are skipped.
///
/// # Examples
///
/// ```
/// let script = "# evening\nshow jobs \\\n  where state = waiting\n";
/// let statements: Vec<_> = limpetctl::statements(script).collect();
/// assert_eq!(statements, [(2, "show jobs where state = waiting".into())]);
/// ```
pub fn statements(script: &str) -> impl Iterator<Item = (usize, String)> {
    let mut lines = script.lines().enumerate();
    std::iter::from_fn(move || {
        loop {
            let (index, line) = lines.next()?;
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let mut statement = line.to_owned();
            while let Some(start) = statement.strip_suffix('\\') {
                let next = lines.next().map_or("", |(_, next)| next.trim());
                statement = format!("{} {next}", start.trim_end());
            }
            return Some((index + 1, statement));
        }
    })
}
