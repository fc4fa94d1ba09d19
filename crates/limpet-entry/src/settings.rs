use std::path::Path;

use limpet_core::{Error, ErrorKind, Result};

/// The environment variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "LIMPETSPUR_CONFIG";

/// Settings of one entry instance on the platform.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct EntrySettings {
    /// This instance.
    pub instance: InstanceSettings,
    /// The platform's store.
    pub store: StoreSettings,
    /// The service that knows which workers may run a step.
    #[serde(default)]
    pub advice: AdviceSettings,
    /// Figures that the platform and its users set.
    pub bounds: BoundSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Who this instance is and where it listens.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct InstanceSettings {
    /// Its name, which its successors on the same machine bear too.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where clients connect.
    pub front_address: String,
    /// Where the balancer asks whether it is ready.
    pub ready_address: String,
    /// Where the other instances connect.
    pub link_address: String,
    /// Where its metrics are read.
    pub metrics_address: String,
    /// The seconds between the request to end and the kill.
    pub shutdown_s: f64,
}

/// Where the platform's store is.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct StoreSettings {
    /// IP address and port.
    pub address: String,
}

/// Where advice is to be had; none where no queue asks for it.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct AdviceSettings {
    /// IP address and port.
    pub address: Option<String>,
}

/// Figures that the platform and its users set.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct BoundSettings {
    /// After this time a key that was taken away admits nothing, in
    /// milliseconds.
    pub key_freshness_ms: u64,
    /// The longest hold that a worker grants, in milliseconds.
    pub hold_ms: u64,
    /// How long the outcome of a job is kept, in seconds.
    pub status_kept_s: f64,
}

/// Logs.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct LogSettings {
    /// The least level that is written.
    pub level: String,
    /// The lines that may wait; more are dropped and counted.
    pub queue_lines: usize,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings { level: "info".to_owned(), queue_lines: 4_096 }
    }
}

impl EntrySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidRequest`] that names the bad value and the
    /// allowed range.
    pub fn from_file(path: &Path) -> Result<EntrySettings> {
        let text = std::fs::read_to_string(path).map_err(|err| {
            invalid(format!("can't read {}: {err}", path.display()))
        })?;
        EntrySettings::from_toml(&text)
    }

    /// Reads and checks settings in TOML.
    ///
    /// # Errors
    ///
    /// As [`EntrySettings::from_file`].
    pub fn from_toml(text: &str) -> Result<EntrySettings> {
        let settings: EntrySettings = toml::from_str(text)
            .map_err(|err| invalid(format!("settings: {err}")))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<()> {
        let instance = &self.instance;
        check_address("instance.front_address", &instance.front_address)?;
        check_address("instance.ready_address", &instance.ready_address)?;
        check_address("instance.link_address", &instance.link_address)?;
        check_address("instance.metrics_address", &instance.metrics_address)?;
        check_address("store.address", &self.store.address)?;
        if let Some(address) = &self.advice.address {
            check_address("advice.address", address)?;
        }
        check_range(
            "bounds.key_freshness_ms",
            self.bounds.key_freshness_ms,
            1_000,
            3_600_000,
        )?;
        check_range("bounds.hold_ms", self.bounds.hold_ms, 1_000, 3_600_000)
    }
}

fn check_address(name: &str, address: &str) -> Result<()> {
    if address.parse::<std::net::SocketAddr>().is_ok() {
        return Ok(());
    }
    Err(invalid(format!("{name} is `{address}`; it must be IP:PORT")))
}

fn check_range(name: &str, value: u64, least: u64, most: u64) -> Result<()> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(invalid(format!("{name} is {value}; allowed are {least} to {most}")))
}

fn invalid(message: String) -> Error {
    Error::new(ErrorKind::InvalidRequest, message)
}
