//! Settings of the log.

use std::str::FromStr;

use super::reader::{Faults, Section};

/// How log lines are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Text for people.
    Text,
    /// One JSON object for each line.
    Json,
}

impl FromStr for LogFormat {
    type Err = ();

    fn from_str(text: &str) -> Result<LogFormat, ()> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(()),
        }
    }
}

/// The section `log`: what is logged, and in which format.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct LogSettings {
    /// The format of the lines.
    pub format: LogFormat,
    /// The least severe level that is logged.
    pub level: String,
    /// The most lines that may wait to be written. Further ones are dropped
    /// and counted.
    pub queue_lines: u64,
}

impl LogSettings {
    pub(super) fn read(
        section: &mut Section,
        faults: &mut Faults,
    ) -> LogSettings {
        let level = section
            .text::<slog::Level>(
                "level",
                slog::Level::Info,
                "\"trace\", \"debug\", \"info\", \"warning\", \"error\" or \
                 \"critical\"",
                faults,
            )
            .as_str()
            .to_lowercase();
        let settings = LogSettings {
            format: section.text(
                "format",
                LogFormat::Text,
                "\"text\" or \"json\"",
                faults,
            ),
            level,
            queue_lines: section.number(
                "queue_lines",
                16_384,
                16..=1_048_576,
                faults,
            ),
        };
        section.finish(faults);
        settings
    }
}
