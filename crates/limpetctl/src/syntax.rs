use limpet_core::command::SyntaxError;

/// Returns a text for people that repeats the command and points at the
/// column where it goes wrong.
pub fn point_at(command: &str, err: &SyntaxError) -> String {
    // Only the line with the fault is repeated, so that the pointer stands
    // below it.
    let before: String = command.chars().take(err.column - 1).collect();
    let line_start = before.rfind('\n').map_or(0, |at| at + 1);
    let line = command[line_start..].lines().next().unwrap_or_default();
    let pad = before[line_start..].chars().count();
    format!("{line}\n{:pad$}^ {err}", "")
}
