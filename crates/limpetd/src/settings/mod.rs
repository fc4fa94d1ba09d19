//! The settings of a cell's daemon: a TOML file that is checked completely
//! before anything starts.
//!
//! `docs/OPERATIONS.md` has a table of the keys with units and ranges.

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

/// The settings of a daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Settings {
    /// The name, data centre and addresses of this instance.
    pub instance: InstanceSettings,
    /// How to reach the platform.
    pub platform: PlatformSettings,
    /// The embedded platform, for `platform.kind = "embedded"`.
    pub embedded: EmbeddedSettings,
    /// The cell's data centres and its first configuration.
    pub cell: CellSettings,
    /// Leases and intervals of the control thread.
    pub control: ControlSettings,
    /// Limits on callers.
    pub limits: LimitSettings,
    /// The log.
    pub log: LogSettings,
    /// The metrics.
    pub metrics: MetricSettings,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidRequest`] if the file can't be read, isn't TOML, or
    /// has faults. Each fault is on a line of its own, with the key, the value
    /// and the allowed range.
    pub fn from_file(path: &Path) -> Result<Settings> {
        let text = std::fs::read_to_string(path).map_err(|err| {
            Error::new(
                ErrorKind::InvalidRequest,
                format!("can't read `{}`: {err}", path.display()),
            )
        })?;
        Settings::parse(&text)
    }

    /// Checks the text of a settings file.
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
        settings.check_combinations(&mut faults);
        faults.into_result(settings)
    }

    /// Checks the rules that concern more than one value.
    fn check_combinations(&self, faults: &mut Faults) {
        if !self.cell.data_centres.contains(&self.instance.data_centre) {
            faults.push(
                "instance.data_centre",
                &self.instance.data_centre,
                "one of cell.data_centres",
            );
        }
        let min_ms = self.control.renew_ms * 2;
        if self.control.lease_ms < min_ms {
            faults.push(
                "control.lease_ms",
                self.control.lease_ms,
                format!("at least twice control.renew_ms, {min_ms}"),
            );
        }
    }

    /// Returns the effective settings as TOML. The operator's key is left out,
    /// and a comment says so if it is set.
    pub fn to_toml(&self) -> String {
        let mut text = toml::to_string(self).unwrap_or_default();
        if self.cell.operator_key.is_some() {
            let _ = writeln!(text, "# cell.operator_key is set, not shown");
        }
        text
    }
}
