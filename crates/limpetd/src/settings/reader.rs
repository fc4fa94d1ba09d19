//! Reads the values of settings and collects the faults in them.

use std::{fmt::Display, ops::RangeInclusive, str::FromStr};

use limpet_core::{Error, ErrorKind, Result};

/// The faults that were found in the settings.
#[derive(Debug, Default)]
pub(super) struct Faults {
    lines: Vec<String>,
}

impl Faults {
    /// Adds a fault: a key whose value isn't allowed.
    pub(super) fn push(
        &mut self,
        key: &str,
        value: impl Display,
        allowed: impl Display,
    ) {
        self.lines.push(format!("{key} is {value}, allowed is {allowed}"));
    }

    /// Returns `value` if there is no fault, and otherwise an error with a
    /// line for each fault.
    pub(super) fn into_result<T>(self, value: T) -> Result<T> {
        if self.lines.is_empty() {
            return Ok(value);
        }
        Err(Error::new(ErrorKind::InvalidRequest, self.lines.join("\n")))
    }
}

/// A section of the settings. Reading a key removes it, so that unknown keys
/// remain at the end.
///
/// An invalid value is added to the faults and replaced by the default, so
/// that one pass finds all faults.
#[derive(Debug)]
pub(super) struct Section {
    path: String,
    table: toml::Table,
}

impl Section {
    /// Returns the section at the top of the settings file.
    pub(super) fn root(table: toml::Table) -> Section {
        Section { path: String::new(), table }
    }

    /// Returns the dotted key of a name in this section.
    fn key(&self, name: &str) -> String {
        if self.path.is_empty() {
            return name.to_owned();
        }
        format!("{}.{name}", self.path)
    }

    /// Reads a sub-section. A missing one is empty.
    pub(super) fn section(
        &mut self,
        name: &str,
        faults: &mut Faults,
    ) -> Section {
        let path = self.key(name);
        let table = match self.table.remove(name) {
            None => toml::Table::new(),
            Some(toml::Value::Table(table)) => table,
            Some(value) => {
                faults.push(&path, value, "a section");
                toml::Table::new()
            }
        };
        Section { path, table }
    }

    /// Reads a list of sections. A missing one is empty.
    pub(super) fn sections(
        &mut self,
        name: &str,
        faults: &mut Faults,
    ) -> Vec<Section> {
        let path = self.key(name);
        let values = match self.table.remove(name) {
            None => Vec::new(),
            Some(toml::Value::Array(values)) => values,
            Some(value) => {
                faults.push(&path, value, "a list of sections");
                Vec::new()
            }
        };
        let mut sections = Vec::new();
        for (index, value) in values.into_iter().enumerate() {
            let path = format!("{path}[{index}]");
            match value {
                toml::Value::Table(table) => {
                    sections.push(Section { path, table });
                }
                value => faults.push(&path, value, "a section"),
            }
        }
        sections
    }

    /// Reads an integer in a range.
    pub(super) fn number(
        &mut self,
        name: &str,
        default: u64,
        allowed: RangeInclusive<u64>,
        faults: &mut Faults,
    ) -> u64 {
        let range = format!("{} to {}", allowed.start(), allowed.end());
        match self.table.remove(name) {
            None => default,
            Some(toml::Value::Integer(number))
                if u64::try_from(number)
                    .is_ok_and(|number| allowed.contains(&number)) =>
            {
                number as u64
            }
            Some(value) => {
                faults.push(&self.key(name), value, range);
                default
            }
        }
    }

    /// Reads a decimal number in a range. An integer is accepted too.
    pub(super) fn decimal(
        &mut self,
        name: &str,
        default: f64,
        allowed: RangeInclusive<f64>,
        faults: &mut Faults,
    ) -> f64 {
        let range = format!("{} to {}", allowed.start(), allowed.end());
        let value = self.table.remove(name);
        let number = match &value {
            None => return default,
            Some(toml::Value::Float(number)) => Some(*number),
            Some(toml::Value::Integer(number)) => Some(*number as f64),
            Some(_) => None,
        };
        match number.filter(|number| allowed.contains(number)) {
            Some(number) => number,
            None => {
                let shown =
                    value.map(|value| value.to_string()).unwrap_or_default();
                faults.push(&self.key(name), shown, range);
                default
            }
        }
    }

    /// Reads a boolean.
    pub(super) fn flag(
        &mut self,
        name: &str,
        default: bool,
        faults: &mut Faults,
    ) -> bool {
        match self.table.remove(name) {
            None => default,
            Some(toml::Value::Boolean(flag)) => flag,
            Some(value) => {
                faults.push(&self.key(name), value, "true or false");
                default
            }
        }
    }

    /// Reads a string and parses it. Returns `None` if it is missing or
    /// invalid.
    pub(super) fn optional<T: FromStr>(
        &mut self,
        name: &str,
        allowed: &str,
        faults: &mut Faults,
    ) -> Option<T> {
        let value = self.table.remove(name)?;
        let parsed = value.as_str().and_then(|text| text.parse().ok());
        if parsed.is_none() {
            faults.push(&self.key(name), value, allowed);
        }
        parsed
    }

    /// Reads a string that must be present, and parses it. Returns `None` on a
    /// fault.
    pub(super) fn required<T: FromStr>(
        &mut self,
        name: &str,
        allowed: &str,
        faults: &mut Faults,
    ) -> Option<T> {
        if !self.table.contains_key(name) {
            faults.push(&self.key(name), "missing", allowed);
        }
        self.optional(name, allowed, faults)
    }

    /// Reads a string and parses it.
    pub(super) fn text<T: FromStr>(
        &mut self,
        name: &str,
        default: T,
        allowed: &str,
        faults: &mut Faults,
    ) -> T {
        self.optional(name, allowed, faults).unwrap_or(default)
    }

    /// Reads a list of strings, which must not be empty, and parses them.
    pub(super) fn list<T: FromStr>(
        &mut self,
        name: &str,
        default: Vec<T>,
        allowed: &str,
        faults: &mut Faults,
    ) -> Vec<T> {
        let Some(value) = self.table.remove(name) else { return default };
        let parsed: Option<Vec<T>> = value.as_array().and_then(|values| {
            values
                .iter()
                .map(|value| value.as_str().and_then(|text| text.parse().ok()))
                .collect()
        });
        match parsed {
            Some(values) if !values.is_empty() => values,
            _ => {
                faults.push(&self.key(name), value, allowed);
                default
            }
        }
    }

    /// Adds a fault for each key that was not read, since it is unknown.
    pub(super) fn finish(&self, faults: &mut Faults) {
        for name in self.table.keys() {
            faults.push(
                &self.key(name),
                "unknown",
                "a key of the table in docs/OPERATIONS.md",
            );
        }
    }
}
