use limpet_core::command::SyntaxError;

/// Returns a message with the faulty line of `command`, and below it a `^`
/// at the column of the error, followed by the error itself.
pub fn format_syntax_error(command: &str, err: &SyntaxError) -> String {
    // A command can have several lines. Only the line with the error is
    // shown, so that the `^` is directly below it.
    let before: String = command.chars().take(err.column - 1).collect();
    let line_start = before.rfind('\n').map_or(0, |idx| idx + 1);
    let line = command[line_start..].lines().next().unwrap_or_default();
    let indent = before[line_start..].chars().count();
    format!("{line}\n{:indent$}^ {err}", "")
}
