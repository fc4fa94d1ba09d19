use std::io::{self, Write};

use comfy_table::{
    CellAlignment, ColumnConstraint, ContentArrangement, Row, Table,
    TableStyle, Width,
};
use jiff::{Timestamp, tz::TimeZone};
use limpet_core::command::{CommandAnswer, TableCell};

/// The width of tables, in characters, if neither the options set one nor the
/// output is a terminal.
const DEFAULT_WIDTH: usize = 100;
/// The number of spaces between two columns.
const COLUMN_GAP: usize = 2;
/// The width, in characters, below which a column of text isn't narrowed.
const MIN_TEXT_WIDTH: usize = 14;
/// The columns that explain a row. They are left out only if they are blank.
const EXPLANATORY_COLUMNS: &[&str] = &["reason", "message", "command"];

/// The layout options of a table.
#[derive(Clone, Copy, Debug)]
pub struct TableOptions {
    width: usize,
}

impl Default for TableOptions {
    /// Returns the options for tables 100 characters wide, whatever the
    /// terminal.
    fn default() -> TableOptions {
        TableOptions { width: DEFAULT_WIDTH }
    }
}

impl TableOptions {
    /// Returns the options for tables as wide as the terminal, or 100
    /// characters if there is none.
    pub fn new() -> TableOptions {
        let width = Table::new().width();
        TableOptions { width: width.map_or(DEFAULT_WIDTH, usize::from) }
    }

    /// Sets the width of tables, in characters.
    pub const fn width(self, width: usize) -> TableOptions {
        TableOptions { width }
    }
}

/// Writes an answer for people: a table of its rows, then its lines of text,
/// the parts of the cell that did not answer, and the revision.
///
/// A table wider than `options` allows first loses its blank columns: those
/// with only empty cells or unset flags. Then its longest texts are
/// truncated, and at last whole columns are left out from the right. The
/// columns left out are listed below the table.
///
/// # Errors
///
/// Any error of `out`.
pub fn write_table(
    answer: &CommandAnswer,
    options: TableOptions,
    out: &mut dyn Write,
) -> io::Result<()> {
    if !answer.columns.is_empty() {
        write_rows(answer, options, out)?;
    }
    if let (Some(tasks), true) =
        (answer.affected_tasks, answer.columns.is_empty())
    {
        writeln!(out, "affected tasks: {tasks}")?;
    }
    for line in &answer.lines {
        writeln!(out, "{line}")?;
    }
    for missing in &answer.missing {
        writeln!(out, "missing: {missing}")?;
    }
    match answer.revision {
        None => Ok(()),
        Some(revision) => writeln!(out, "revision {revision}"),
    }
}

/// Writes the rows that the answer has, below a header.
fn write_rows(
    answer: &CommandAnswer,
    options: TableOptions,
    out: &mut dyn Write,
) -> io::Result<()> {
    if answer.rows.is_empty() {
        return writeln!(out, "no rows");
    }
    let columns = measure_columns(answer);
    let (shown, left_out) = select_columns(columns, options.width);
    let mut table = Table::new();
    table
        .load_style(TableStyle::new())
        .force_no_tty()
        .set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(shown.iter().map(|column| column.title.clone()));
    for row in &answer.rows {
        table.add_row(format_row(row, &shown));
    }
    set_column_layouts(&mut table, &shown);
    for line in table.lines() {
        writeln!(out, "{}", line.trim_end())?;
    }
    if !left_out.is_empty() {
        writeln!(out, "columns left out: {}", left_out.join(", "))?;
    }
    Ok(())
}

/// Returns the cells of a row for the columns that are shown.
fn format_row(row: &[TableCell], shown: &[MeasuredColumn]) -> Row {
    let cells = shown.iter().map(|column| {
        let text = format_cell(&row[column.index], column.unit);
        comfy_table::Cell::new(truncate(text, column.width))
    });
    Row::from(cells.collect::<Vec<_>>())
}

/// Returns the text shortened to `width` characters. The last character of a
/// shortened text is an ellipsis.
fn truncate(text: String, width: usize) -> String {
    if text.chars().count() <= width {
        return text;
    }
    let shown = text.chars().take(width.saturating_sub(1));
    shown.chain(['…']).collect()
}

/// Gives each column its width, the gap to the next one, and its alignment.
fn set_column_layouts(table: &mut Table, shown: &[MeasuredColumn]) {
    for (column, measured) in table.column_iter_mut().zip(shown) {
        column.set_padding((0, COLUMN_GAP as u16));
        let width = Width::Fixed((measured.width + COLUMN_GAP) as u16);
        column.set_constraint(ColumnConstraint::Absolute(width));
        if measured.is_number {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
}

/// The unit of the numbers in a column, given by the suffix of its name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Unit {
    /// A plain number, or one whose unit stays in the title, as in
    /// `memory_mb`.
    Plain,
    /// A duration in milliseconds, from the suffix `_ms`.
    Duration,
    /// Milliseconds since the Unix epoch, from the suffix `_unix_ms`.
    WallTime,
}

impl Unit {
    /// Splits the name of a column into its title in tables and its unit.
    fn of(name: &str) -> (&str, Unit) {
        if let Some(title) = name.strip_suffix("_unix_ms") {
            return (title, Unit::WallTime);
        }
        match name.strip_suffix("_ms") {
            Some(title) => (title, Unit::Duration),
            None => (name, Unit::Plain),
        }
    }
}

/// A column of an answer, with its width and the properties that decide
/// whether it is shown.
#[derive(Clone, Debug)]
struct MeasuredColumn {
    /// The index of the column in the answer.
    index: usize,
    title: String,
    /// The width in characters, without the gap.
    width: usize,
    /// Whether no cell has a text or a flag: such a column is aligned to the
    /// right and never narrowed.
    is_number: bool,
    unit: Unit,
    /// Whether each cell is empty or a flag that isn't set.
    is_blank: bool,
}

impl MeasuredColumn {
    fn is_explanatory(&self) -> bool {
        EXPLANATORY_COLUMNS.contains(&self.title.as_str())
    }
}

/// Returns the columns of an answer at the width of their longest cell or
/// title.
fn measure_columns(answer: &CommandAnswer) -> Vec<MeasuredColumn> {
    let measure_column = |(index, name): (usize, &String)| {
        let cells = || answer.rows.iter().map(move |row| &row[index]);
        let (title, unit) = Unit::of(name);
        let title = title.to_owned();
        let widths =
            cells().map(|cell| format_cell(cell, unit).chars().count());
        let width = widths.max().unwrap_or(0).max(title.chars().count());
        let is_text_cell = |cell: &TableCell| {
            matches!(cell, TableCell::Text(_) | TableCell::Flag(_))
        };
        let is_blank_cell = |cell: &TableCell| {
            matches!(cell, TableCell::Empty | TableCell::Flag(false))
        };
        MeasuredColumn {
            index,
            width,
            title,
            is_number: !cells().any(is_text_cell),
            unit,
            is_blank: cells().all(is_blank_cell),
        }
    };
    answer.columns.iter().enumerate().map(measure_column).collect()
}

/// Returns the columns that a table of `width` characters shows, and the
/// titles of those left out.
///
/// The first column and the explanatory ones stay unless they are blank, so
/// the result can still be wider than `width`.
fn select_columns(
    mut columns: Vec<MeasuredColumn>,
    width: usize,
) -> (Vec<MeasuredColumn>, Vec<String>) {
    let mut left_out = Vec::new();
    while total_width(&columns) > width {
        let blank = columns.iter().rposition(|column| column.is_blank);
        if let Some(index) = blank {
            left_out.push(columns.remove(index));
        } else if !narrow_widest_text(&mut columns, width) {
            let Some(index) = last_removable_column(&columns) else { break };
            left_out.push(columns.remove(index));
        }
    }
    left_out.sort_by_key(|column| column.index);
    (columns, left_out.into_iter().map(|column| column.title).collect())
}

/// Returns the width of a table with these columns, in characters.
fn total_width(columns: &[MeasuredColumn]) -> usize {
    let widths = columns.iter().map(|column| column.width + COLUMN_GAP);
    widths.sum::<usize>().saturating_sub(COLUMN_GAP)
}

/// Narrows the widest column of text as far as a table of `width` characters
/// needs, but not below its minimum. Returns whether it could be narrowed.
fn narrow_widest_text(columns: &mut [MeasuredColumn], width: usize) -> bool {
    let excess = total_width(columns).saturating_sub(width);
    let texts = columns.iter_mut().filter(|column| !column.is_number);
    let Some(widest) = texts.max_by_key(|column| column.width) else {
        return false;
    };
    let min_width = MIN_TEXT_WIDTH.max(widest.title.chars().count());
    if widest.width <= min_width {
        return false;
    }
    widest.width = widest.width.saturating_sub(excess).max(min_width);
    true
}

/// Returns the index of the last column that may be left out for lack of
/// width.
fn last_removable_column(columns: &[MeasuredColumn]) -> Option<usize> {
    let index = columns.iter().rposition(|column| !column.is_explanatory())?;
    // The first column is the key of the row and stays.
    (index > 0).then_some(index)
}

/// Returns the text of a cell as tables show it, on a single line.
fn format_cell(cell: &TableCell, unit: Unit) -> String {
    match (cell, unit) {
        (TableCell::Number(ms), Unit::Duration) => format_duration(*ms),
        (TableCell::Number(ms), Unit::WallTime) => format_wall_time(*ms),
        // A line break in a cell would split the row, and an escape sequence
        // would change the terminal.
        _ => cell.to_string().replace(char::is_control, " "),
    }
}

/// Returns a wall-clock time in UTC, to the second, or the number itself if it
/// is out of range.
fn format_wall_time(unix_ms: i64) -> String {
    match Timestamp::from_millisecond(unix_ms) {
        Err(_) => unix_ms.to_string(),
        Ok(time) => {
            let utc = time.to_zoned(TimeZone::UTC);
            utc.strftime("%Y-%m-%d %H:%M:%SZ").to_string()
        }
    }
}

/// Returns a duration in its two largest units: whole milliseconds, seconds
/// with one decimal, or pairs such as `5m07s`, `2h03m` and `1d04h`.
fn format_duration(ms: i64) -> String {
    const SECOND_MS: i64 = 1_000;
    const MINUTE_MS: i64 = 60 * SECOND_MS;
    const HOUR_MS: i64 = 60 * MINUTE_MS;
    const DAY_MS: i64 = 24 * HOUR_MS;
    match ms {
        _ if ms < SECOND_MS => format!("{ms}ms"),
        _ if ms < MINUTE_MS => {
            format!("{}.{}s", ms / SECOND_MS, ms % SECOND_MS / 100)
        }
        _ if ms < HOUR_MS => {
            format!("{}m{:02}s", ms / MINUTE_MS, ms % MINUTE_MS / SECOND_MS)
        }
        _ if ms < DAY_MS => {
            format!("{}h{:02}m", ms / HOUR_MS, ms % HOUR_MS / MINUTE_MS)
        }
        _ => format!("{}d{:02}h", ms / DAY_MS, ms % DAY_MS / HOUR_MS),
    }
}
