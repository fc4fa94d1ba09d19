//! The daemon's settings: TOML, checked whole before anything starts.
//!
//! `docs/OPERATIONS.md` has the table of keys with units and ranges.

mod cell;
mod control;
mod embedded;
mod instance;
mod limits;
mod log;
mod metrics;
mod platform;
mod reader;

use std::{fmt::Write as _, path::Path};

use limpet_core::{Error, ErrorKind, Result};

use self::reader::{Faults, Section};
pub use self::{
    cell::CellSettings,
    control::ControlSettings,
    embedded::EmbeddedSettings,
    instance::InstanceSettings,
    limits::LimitSettings,
    log::{LogFormat, LogSettings},
    metrics::MetricSettings,
    platform::PlatformSettings,
};

/// Everything that one daemon is told at its start.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Settings {
    /// Who and where this instance is.
    pub instance: InstanceSettings,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// The platform in memory, for `platform.kind = "embedded"`.
    pub embedded: EmbeddedSettings,
    /// What the cell consists of, and its first configuration.
    pub cell: CellSettings,
    /// Leases and intervals of the control thread.
    pub control: ControlSettings,
    /// Limits on what a caller may send.
    pub limits: LimitSettings,
    /// Logs.
    pub log: LogSettings,
    /// Metrics.
    pub metrics: MetricSettings,
}

impl Settings {
    /// Reads and checks the settings in a file.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidRequest`] where the file can't be read or isn't
    /// TOML, and otherwise with every fault on a line of its own: its key,
    /// the value and the allowed range.
    pub fn from_file(path: &Path) -> Result<Settings> {
        let text = std::fs::read_to_string(path).map_err(|err| {
            Error::new(
                ErrorKind::InvalidRequest,
                format!("can't read `{}`: {err}", path.display()),
            )
        })?;
        Settings::parse(&text)
    }

    /// Checks the settings in a text.
    ///
    /// # Errors
    ///
    /// As [`Settings::from_file`].
    ///
    /// # Examples
    ///
    /// ```
    /// let err = limpetd::Settings::parse("[log]\nlevel = 3").unwrap_err();
    /// assert!(err.message().contains("log.level"));
    /// ```
    pub fn parse(text: &str) -> Result<Settings> {
        let table = text.parse::<toml::Table>().map_err(|err| {
            Error::new(ErrorKind::InvalidRequest, err.to_string())
        })?;
        let mut faults = Faults::default();
        let mut root = Section::root(table);
        let settings = Settings {
            instance: InstanceSettings::read(
                &mut root.section("instance", &mut faults),
                &mut faults,
            ),
            platform: PlatformSettings::read(
                &mut root.section("platform", &mut faults),
                &mut faults,
            ),
            embedded: EmbeddedSettings::read(
                &mut root.section("embedded", &mut faults),
                &mut faults,
            ),
            cell: CellSettings::read(
                &mut root.section("cell", &mut faults),
                &mut faults,
            ),
            control: ControlSettings::read(
                &mut root.section("control", &mut faults),
                &mut faults,
            ),
            limits: LimitSettings::read(
                &mut root.section("limits", &mut faults),
                &mut faults,
            ),
            log: LogSettings::read(
                &mut root.section("log", &mut faults),
                &mut faults,
            ),
            metrics: MetricSettings::read(
                &mut root.section("metrics", &mut faults),
                &mut faults,
            ),
        };
        root.finish(&mut faults);
        settings.check_together(&mut faults);
        faults.into_result(settings)
    }

    /// Checks what depends on more than one section.
    fn check_together(&self, faults: &mut Faults) {
        if !self.cell.data_centres.contains(&self.instance.data_centre) {
            faults.push(
                "instance.data_centre",
                &self.instance.data_centre,
                "one of cell.data_centres",
            );
        }
        let least = self.control.renew_ms * 2;
        if self.control.lease_ms < least {
            faults.push(
                "control.lease_ms",
                self.control.lease_ms,
                format!("at least twice control.renew_ms, {least}"),
            );
        }
    }

    /// Returns the effective settings as TOML, without the operator's key.
    pub fn to_toml(&self) -> String {
        let mut text = toml::to_string(self).unwrap_or_default();
        if self.cell.operator_key.is_some() {
            let _ = writeln!(text, "# cell.operator_key is set, not shown");
        }
        text
    }
}
