/// Returns the commands of a script with their line numbers, from 1.
///
/// A command stands on one line, or on several of which all but the last
/// end with a backslash. Empty lines and those that start with `#` are
/// skipped.
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
