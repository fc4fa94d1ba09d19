use std::io::{self, Write};

use comfy_table::{
    CellAlignment, ColumnConstraint, ContentArrangement, Row, Table,
    TableStyle, Width,
};
use jiff::{Timestamp, tz::TimeZone};
use limpet_core::command::{CommandAnswer, TableCell};

/// The width of a table where neither the options nor a terminal tell one.
const DEFAULT_WIDTH: usize = 100;
/// The spaces between two columns.
const GAP: usize = 2;
/// The width below which a column of text isn't narrowed.
const NARROWEST_TEXT: usize = 14;
/// The columns that explain a row, which are the last to be left out.
const EXPLANATIONS: &[&str] = &["reason", "message", "command"];

/// How a table is written.
#[derive(Clone, Copy, Debug)]
pub struct TableOptions {
    width: usize,
}

impl Default for TableOptions {
    fn default() -> TableOptions {
        TableOptions { width: DEFAULT_WIDTH }
    }
}

impl TableOptions {
    /// Returns the usual way: as wide as the terminal, or 100 characters.
    pub fn new() -> TableOptions {
        let width = Table::new().width();
        TableOptions { width: width.map_or(DEFAULT_WIDTH, usize::from) }
    }

    /// Sets the width, in characters.
    pub const fn width(self, width: usize) -> TableOptions {
        TableOptions { width }
    }
}

/// Writes an answer as a table and sentences for people.
///
/// A table that is too wide loses first the columns that say nothing, then
/// the room of its texts, then its last columns; what it lost is named.
///
/// # Errors
///
/// That of the writer.
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
        writeln!(out, "tasks that this hits: {tasks}")?;
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

fn write_rows(
    answer: &CommandAnswer,
    options: TableOptions,
    out: &mut dyn Write,
) -> io::Result<()> {
    if answer.rows.is_empty() {
        return writeln!(out, "no rows");
    }
    let columns = measure(answer);
    let (kept, left_out) = fit(columns, options.width);
    let mut table = Table::new();
    table
        .load_style(TableStyle::new())
        .force_no_tty()
        .set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(kept.iter().map(|column| column.title.clone()));
    for row in &answer.rows {
        table.add_row(text_row(row, &kept));
    }
    lay_out(&mut table, &kept);
    for line in table.lines() {
        writeln!(out, "{}", line.trim_end())?;
    }
    if !left_out.is_empty() {
        writeln!(out, "columns left out: {}", left_out.join(", "))?;
    }
    Ok(())
}

fn text_row(row: &[TableCell], kept: &[Measured]) -> Row {
    let cells = kept.iter().map(|column| {
        let text = text(&row[column.index], column.unit);
        comfy_table::Cell::new(cut(text, column.width))
    });
    Row::from(cells.collect::<Vec<_>>())
}

/// Returns a text of at most `width` characters, the last of which tells
/// where something was cut off.
fn cut(text: String, width: usize) -> String {
    if text.chars().count() <= width {
        return text;
    }
    let kept = text.chars().take(width.saturating_sub(1));
    kept.chain(['…']).collect()
}

fn lay_out(table: &mut Table, kept: &[Measured]) {
    for (column, measured) in table.column_iter_mut().zip(kept) {
        column.set_padding((0, GAP as u16));
        let width = Width::Fixed((measured.width + GAP) as u16);
        column.set_constraint(ColumnConstraint::Absolute(width));
        if measured.is_number {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
}

/// What the numbers of a column count, told by its name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Unit {
    /// Things, or a unit that stays in the title.
    Plain,
    /// Milliseconds that passed.
    Duration,
    /// Milliseconds since the Unix epoch.
    WallTime,
}

impl Unit {
    /// Splits the name of a column into a title for people and its unit.
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

/// One column of an answer and the room that it takes.
#[derive(Clone, Debug)]
struct Measured {
    index: usize,
    title: String,
    width: usize,
    is_number: bool,
    unit: Unit,
    says_nothing: bool,
}

impl Measured {
    fn is_explanation(&self) -> bool {
        EXPLANATIONS.contains(&self.title.as_str())
    }
}

fn measure(answer: &CommandAnswer) -> Vec<Measured> {
    let measure_one = |(index, name): (usize, &String)| {
        let cells = || answer.rows.iter().map(move |row| &row[index]);
        let (title, unit) = Unit::of(name);
        let title = title.to_owned();
        let widths = cells().map(|cell| text(cell, unit).chars().count());
        let width = widths.max().unwrap_or(0).max(title.chars().count());
        let is_text = |cell: &TableCell| {
            matches!(cell, TableCell::Text(_) | TableCell::Flag(_))
        };
        let is_nothing = |cell: &TableCell| {
            matches!(cell, TableCell::Empty | TableCell::Flag(false))
        };
        Measured {
            index,
            width,
            title,
            is_number: !cells().any(is_text),
            unit,
            says_nothing: cells().all(is_nothing),
        }
    };
    answer.columns.iter().enumerate().map(measure_one).collect()
}

/// Chooses the columns for a table of this width, and names the others.
fn fit(
    mut columns: Vec<Measured>,
    width: usize,
) -> (Vec<Measured>, Vec<String>) {
    let mut left_out = Vec::new();
    while total(&columns) > width {
        let silent = columns.iter().rposition(|column| column.says_nothing);
        if let Some(index) = silent {
            left_out.push(columns.remove(index));
        } else if !narrow(&mut columns, width) {
            let Some(index) = least_useful(&columns) else { break };
            left_out.push(columns.remove(index));
        }
    }
    left_out.sort_by_key(|column| column.index);
    (columns, left_out.into_iter().map(|column| column.title).collect())
}

fn total(columns: &[Measured]) -> usize {
    let widths = columns.iter().map(|column| column.width + GAP);
    widths.sum::<usize>().saturating_sub(GAP)
}

/// Takes room from the widest text, and says whether there was any to take.
fn narrow(columns: &mut [Measured], width: usize) -> bool {
    let excess = total(columns).saturating_sub(width);
    let texts = columns.iter_mut().filter(|column| !column.is_number);
    let Some(widest) = texts.max_by_key(|column| column.width) else {
        return false;
    };
    let floor = NARROWEST_TEXT.max(widest.title.chars().count());
    if widest.width <= floor {
        return false;
    }
    widest.width = widest.width.saturating_sub(excess).max(floor);
    true
}

fn least_useful(columns: &[Measured]) -> Option<usize> {
    // The first column names the row.
    let index = columns.iter().rposition(|column| !column.is_explanation())?;
    (index > 0).then_some(index)
}

fn text(cell: &TableCell, unit: Unit) -> String {
    match (cell, unit) {
        (TableCell::Number(ms), Unit::Duration) => duration(*ms),
        (TableCell::Number(ms), Unit::WallTime) => wall_time(*ms),
        // A line break would break the row.
        _ => cell.to_string().replace(['\n', '\r'], " "),
    }
}

/// Returns a wall-clock time in UTC, to the second.
fn wall_time(unix_ms: i64) -> String {
    match Timestamp::from_millisecond(unix_ms) {
        Err(_) => unix_ms.to_string(),
        Ok(time) => {
            let zoned = time.to_zoned(TimeZone::UTC);
            zoned.strftime("%Y-%m-%d %H:%M:%SZ").to_string()
        }
    }
}

/// Returns a duration in the two largest units that matter.
fn duration(ms: i64) -> String {
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
