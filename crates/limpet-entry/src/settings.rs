//! The settings file of an entry instance.

use std::path::Path;

use limpet_core::{Error, ErrorKind, Result};

/// The environment variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "LIMPETSPUR_CONFIG";

/// The thousandths of a core that an owner uses for each Mbit/s that it sends.
const CORE_MILLI_PER_MBPS: f64 = 10.0;
/// The bandwidth of a network link if the settings have none.
const DEFAULT_LINK_MBPS: f64 = 1_000.0;

/// The settings of an entry instance.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct EntrySettings {
    /// This instance.
    pub instance: InstanceSettings,
    /// The platform's store.
    pub store: StoreSettings,
    /// The advice service, which decides which workers may run a step.
    #[serde(default)]
    pub advice: AdviceSettings,
    /// Bounds that the platform and its users set.
    pub bounds: BoundSettings,
    /// Which parts of the scheduling are enabled.
    #[serde(default)]
    pub scheduling: SchedulingSettings,
    /// The log.
    #[serde(default)]
    pub log: LogSettings,
}

/// The identity and the addresses of an instance.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct InstanceSettings {
    /// The name of the instance, which it keeps when it is restarted.
    pub name: String,
    /// The data centre of the instance.
    pub data_centre: String,
    /// The `IP:PORT` for clients.
    pub front_address: String,
    /// The `IP:PORT` for the balancer's readiness checks.
    pub ready_address: String,
    /// The `IP:PORT` for the other instances.
    pub link_address: String,
    /// The `IP:PORT` for the metrics.
    pub metrics_address: String,
    /// The time from `SIGTERM` until the platform kills the process, in
    /// seconds.
    pub shutdown_s: f64,
    /// The share of the processor that the instance gets.
    #[serde(default = "one")]
    pub cpu_share: f64,
    /// The speed of the processor, in cores.
    #[serde(default = "one")]
    pub cores: f64,
    /// The bandwidth of the instance's network link.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
}

impl InstanceSettings {
    /// Returns the capacity of the instance to own the cell, in thousandths of
    /// a core: what the processor or the network link limits it to.
    pub fn capacity_milli(&self) -> u64 {
        let cpu_milli = self.cpu_share * self.cores * 1_000.0;
        let link_milli = self.link_mbps * CORE_MILLI_PER_MBPS;
        cpu_milli.min(link_milli).round().max(1.0) as u64
    }
}

/// The address of the platform's store.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct StoreSettings {
    /// The `IP:PORT` of the store.
    pub address: String,
}

/// The address of the advice service.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct AdviceSettings {
    /// The `IP:PORT` of the service; `None` if no queue needs advice.
    pub address: Option<String>,
}

/// Bounds that the platform and its users set.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct BoundSettings {
    /// The time after which a withdrawn API key admits no request, in
    /// milliseconds.
    pub key_freshness_ms: u64,
    /// The longest lease that a worker accepts, in milliseconds.
    pub hold_ms: u64,
    /// How long the state of an ended job is retained, in seconds.
    pub status_kept_s: f64,
    /// The time after the acknowledgement of an evacuation from which nothing
    /// starts in its data centre, in milliseconds; `None` if users set no
    /// bound.
    pub evacuate_ms: Option<u64>,
}

/// Which parts of the scheduling are enabled.
#[derive(Clone, Copy, Debug, serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct SchedulingSettings {
    /// Whether the speed of workers is learnt and considered.
    pub worker_speeds: bool,
    /// Whether to learn which images slow each other down, and to keep their
    /// tasks apart where there is room.
    pub keep_apart: bool,
}

impl Default for SchedulingSettings {
    fn default() -> SchedulingSettings {
        SchedulingSettings { worker_speeds: true, keep_apart: false }
    }
}

/// Settings of the log.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct LogSettings {
    /// The lowest level that is logged.
    pub level: String,
    /// The number of lines that may be queued; further lines are dropped and
    /// counted.
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
    /// Returns [`ErrorKind::InvalidRequest`] if the file cannot be read or
    /// decoded, or with the name of an invalid value and the allowed range.
    pub fn from_file(path: &Path) -> Result<EntrySettings> {
        let text = std::fs::read_to_string(path).map_err(|err| {
            invalid(format!("cannot read {}: {err}", path.display()))
        })?;
        EntrySettings::from_toml(&text)
    }

    /// Reads and checks settings in TOML.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`EntrySettings::from_file`].
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
        check_amount("instance.cpu_share", instance.cpu_share, 0.001, 64.0)?;
        check_amount("instance.cores", instance.cores, 0.001, 1_024.0)?;
        check_amount("instance.link_mbps", instance.link_mbps, 0.1, 1e6)?;
        check_range(
            "bounds.key_freshness_ms",
            self.bounds.key_freshness_ms,
            1_000,
            3_600_000,
        )?;
        check_range("bounds.hold_ms", self.bounds.hold_ms, 1_000, 3_600_000)?;
        if let Some(bound_ms) = self.bounds.evacuate_ms {
            check_range("bounds.evacuate_ms", bound_ms, 2_000, 3_600_000)?;
        }
        Ok(())
    }
}

fn one() -> f64 {
    1.0
}

fn default_link_mbps() -> f64 {
    DEFAULT_LINK_MBPS
}

fn check_address(name: &str, address: &str) -> Result<()> {
    if address.parse::<std::net::SocketAddr>().is_ok() {
        return Ok(());
    }
    Err(invalid(format!("{name} is `{address}`; it must be IP:PORT")))
}

fn check_range(name: &str, value: u64, min: u64, max: u64) -> Result<()> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(invalid(format!("{name} is {value}; it must be {min} to {max}")))
}

fn check_amount(name: &str, value: f64, min: f64, max: f64) -> Result<()> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(invalid(format!("{name} is {value}; it must be {min} to {max}")))
}

fn invalid(message: String) -> Error {
    Error::new(ErrorKind::InvalidRequest, message)
}
