use std::{fs, path::Path};

use limpet_adapter::{
    check_config_text, decode_draft, entry_word, field_name,
};
use limpet_core::command::{CommandAnswer, TableCell};
use limpet_workflow::config_check::{
    ChangeKind, ConfigDraft, Difference, EntryKind, Field, Finding,
    FindingKind, Severity, config_differences,
};

use crate::{
    ConfigCheck, ExitStatus, Failure, Options, OutputFormat, output::Output,
};

/// The columns of the findings.
const FINDING_COLUMNS: [&str; 7] =
    ["severity", "finding", "entry", "position", "name", "field", "message"];
/// The columns of the differences.
const DIFFERENCE_COLUMNS: [&str; 6] =
    ["change", "entry", "name", "field", "before", "after"];

/// Checks a configuration and prints the findings and, with a version in
/// force, the differences from it. Makes no request.
///
/// # Errors
///
/// [`Failure::Usage`] if a file can't be read, the version in force can't be
/// decoded, or the output can't be written.
pub(crate) fn check_config_file(
    check: &ConfigCheck,
    options: &Options,
) -> Result<ExitStatus, Failure> {
    let output = Output::new(options);
    let text = read(&check.file)?;
    let in_force = check.against.as_deref().map(read_in_force).transpose()?;
    let findings = check_config_text(&text, in_force.as_ref());
    let rows = match options.output {
        OutputFormat::Table => Vec::new(),
        OutputFormat::Json => finding_rows(&findings),
    };
    let mut lines = match options.output {
        OutputFormat::Table => finding_lines(&findings),
        OutputFormat::Json => Vec::new(),
    };
    lines.push(count_findings(&findings));
    output.print(&answer(&FINDING_COLUMNS, rows, lines))?;
    if let Some(in_force) = in_force
        && let Ok(draft) = decode_draft(&text)
    {
        let differences = config_differences(&in_force, &draft);
        output.print(&differences_answer(&differences))?;
    }
    let worst = findings.iter().map(Finding::severity).max();
    Ok(match worst {
        None => ExitStatus::Done,
        Some(Severity::Warning) => ExitStatus::ConfigWarnings,
        Some(Severity::Error) => ExitStatus::ConfigErrors,
    })
}

fn read(path: &Path) -> Result<Vec<u8>, Failure> {
    fs::read(path).map_err(|err| {
        let path = path.display();
        Failure::Usage(format!("cannot read configuration {path}: {err}"))
    })
}

fn read_in_force(path: &Path) -> Result<ConfigDraft, Failure> {
    decode_draft(&read(path)?).map_err(|err| {
        let path = path.display();
        Failure::Usage(format!("cannot decode configuration {path}: {err}"))
    })
}

/// Returns a row for each finding, for programs.
fn finding_rows(findings: &[Finding]) -> Vec<Vec<TableCell>> {
    let row = |finding: &Finding| {
        let place = &finding.place;
        let position = place.position.map(|position| position as u64);
        vec![
            TableCell::text(severity_word(finding.severity())),
            TableCell::text(finding_word(finding.kind)),
            TableCell::text(entry_word(place.entry)),
            position.map_or(TableCell::Empty, TableCell::number),
            name_cell(place.entry, &place.name),
            field_cell(place.field),
            TableCell::text(&finding.message),
        ]
    };
    findings.iter().map(row).collect()
}

/// Returns a line for each finding, for people. A table would truncate the
/// messages at the width of the terminal.
fn finding_lines(findings: &[Finding]) -> Vec<String> {
    let line = |finding: &Finding| {
        let place = &finding.place;
        let mut line = severity_word(finding.severity()).to_owned();
        line += ": ";
        line += entry_word(place.entry);
        if let Some(position) = place.position {
            line += &format!(" {position} `{}`", place.name);
        }
        if let Some(field) = place.field {
            line += &format!(", {}", field_name(field));
        }
        line += &format!(": {}", finding.message);
        // Names are arbitrary text; a line break or an escape sequence in one
        // would spoil the output on a terminal.
        line.replace(char::is_control, " ")
    };
    findings.iter().map(line).collect()
}

fn count_findings(findings: &[Finding]) -> String {
    let count = |severity| {
        findings.iter().filter(|found| found.severity() == severity).count()
    };
    let errors = count(Severity::Error);
    format!("errors: {errors}, warnings: {}", count(Severity::Warning))
}

/// Returns a row for each field that differs, and one for each entry that was
/// added or removed.
fn differences_answer(differences: &[Difference]) -> CommandAnswer {
    let mut rows = Vec::new();
    for difference in differences {
        let entry = [
            TableCell::text(change_word(difference.change)),
            TableCell::text(entry_word(difference.entry)),
            name_cell(difference.entry, &difference.name),
        ];
        let mut add_row = |values: [TableCell; 3]| {
            rows.push(entry.iter().cloned().chain(values).collect());
        };
        for field in &difference.fields {
            add_row([
                field_cell(Some(field.field)),
                TableCell::text(&field.before),
                TableCell::text(&field.after),
            ]);
        }
        if difference.fields.is_empty() {
            add_row([TableCell::Empty, TableCell::Empty, TableCell::Empty]);
        }
    }
    let count = |change| {
        differences.iter().filter(|differs| differs.change == change).count()
    };
    let lines = vec![format!(
        "added: {}, removed: {}, changed: {}",
        count(ChangeKind::Added),
        count(ChangeKind::Removed),
        count(ChangeKind::Changed)
    )];
    answer(&DIFFERENCE_COLUMNS, rows, lines)
}

/// Returns an answer with a table, or without one if there are no rows.
fn answer(
    columns: &[&str],
    rows: Vec<Vec<TableCell>>,
    lines: Vec<String>,
) -> CommandAnswer {
    let columns = match rows.is_empty() {
        true => Vec::new(),
        false => columns.iter().map(|column| (*column).to_owned()).collect(),
    };
    CommandAnswer { columns, rows, lines, ..CommandAnswer::default() }
}

fn name_cell(entry: EntryKind, name: &str) -> TableCell {
    match entry {
        EntryKind::Config | EntryKind::Limits => TableCell::Empty,
        _ => TableCell::text(name),
    }
}

fn field_cell(field: Option<Field>) -> TableCell {
    field.map_or(TableCell::Empty, |field| TableCell::text(field_name(field)))
}

const fn severity_word(severity: Severity) -> &'static str {
    match severity {
        Severity::Warning => "warning",
        Severity::Error => "error",
    }
}

const fn change_word(change: ChangeKind) -> &'static str {
    match change {
        ChangeKind::Added => "added",
        ChangeKind::Removed => "removed",
        ChangeKind::Changed => "changed",
    }
}

const fn finding_word(kind: FindingKind) -> &'static str {
    match kind {
        FindingKind::Undecodable => "undecodable",
        FindingKind::StaleRevision => "stale_version",
        FindingKind::OutOfRange => "out_of_range",
        FindingKind::DuplicateName => "duplicate_name",
        FindingKind::ShadowedQueue => "shadowed_route",
        FindingKind::UnknownService => "unknown_service",
        FindingKind::UnusedService => "unused_service",
        FindingKind::EmptyHost => "empty_host",
        FindingKind::RelativePathPrefix => "relative_path_prefix",
        FindingKind::ZeroAttempts => "zero_attempts",
        FindingKind::StretchBelowOne => "stretch_below_one",
        FindingKind::ExpiredTickets => "expired_tickets",
        FindingKind::SharedKey => "shared_key",
        FindingKind::NoKeys => "no_keys",
        FindingKind::WeightNotPositive => "weight_not_positive",
        FindingKind::LimitBelowOneCore => "limit_below_one_core",
        FindingKind::ZeroBodyLimit => "zero_body_limit",
    }
}
