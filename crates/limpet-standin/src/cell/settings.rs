use std::{fmt::Write, net::SocketAddr};

use super::address::LoopbackHost;

/// The secret of the operator's key in every cell of a test or bench.
pub(super) const OPERATOR_KEY: &str = "first-operator:test-secret";

/// The settings file of a daemon in a test or bench.
///
/// # Examples
///
/// ```
/// use limpet_standin::cell::{DaemonSettings, LoopbackHost};
///
/// let settings = DaemonSettings::new("i-1", "athens", LoopbackHost::next())
///     .control("lease_ms", 1_000)
///     .to_toml();
/// assert!(settings.contains("lease_ms = 1000"));
/// ```
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    instance: String,
    data_centre: String,
    host: LoopbackHost,
    platform: Option<SocketAddr>,
    data_centres: Vec<String>,
    teams: String,
    queues: String,
    services: String,
    embedded: Vec<(String, String)>,
    control: Vec<(String, u64)>,
    limits: Vec<(String, u64)>,
    traffic_threads: u32,
    log_level: String,
}

impl DaemonSettings {
    /// Returns the settings of an instance on the embedded platform.
    pub fn new(
        instance: &str,
        data_centre: &str,
        host: LoopbackHost,
    ) -> DaemonSettings {
        DaemonSettings {
            instance: instance.to_owned(),
            data_centre: data_centre.to_owned(),
            host,
            platform: None,
            data_centres: vec![data_centre.to_owned()],
            teams: "{ name = \"rosters\", weight = 2 }, { name = \
                    \"settlements\", weight = 1 }"
                .to_owned(),
            queues: "{ name = \"batch\", policy = \"batch\" }, { name = \
                     \"gang\", policy = \"gang\" }"
                .to_owned(),
            services: "{ name = \"enrolment\", open = true }".to_owned(),
            embedded: Vec::new(),
            control: Vec::new(),
            limits: Vec::new(),
            traffic_threads: 1,
            log_level: "info".to_owned(),
        }
    }

    /// Sets the address of a platform over HTTP.
    pub fn platform(mut self, address: SocketAddr) -> DaemonSettings {
        self.platform = Some(address);
        self
    }

    /// Sets the data centres of the cell.
    pub fn data_centres(mut self, names: &[&str]) -> DaemonSettings {
        self.data_centres = names.iter().map(|&n| n.to_owned()).collect();
        self
    }

    /// Sets the first teams, written as the items of a TOML list.
    pub fn teams(mut self, items: &str) -> DaemonSettings {
        self.teams = items.to_owned();
        self
    }

    /// Sets a value of the embedded platform, written as in TOML.
    pub fn embedded(mut self, key: &str, value: &str) -> DaemonSettings {
        self.embedded.push((key.to_owned(), value.to_owned()));
        self
    }

    /// Sets a lease or an interval of the control thread.
    pub fn control(mut self, key: &str, value: u64) -> DaemonSettings {
        self.control.push((key.to_owned(), value));
        self
    }

    /// Sets a limit on what a caller may send.
    pub fn limit(mut self, key: &str, value: u64) -> DaemonSettings {
        self.limits.push((key.to_owned(), value));
        self
    }

    /// Sets the number of threads for traffic.
    pub fn traffic_threads(mut self, threads: u32) -> DaemonSettings {
        self.traffic_threads = threads;
        self
    }

    /// Sets the least severe level that is logged.
    pub fn log_level(mut self, level: &str) -> DaemonSettings {
        self.log_level = level.to_owned();
        self
    }

    /// Returns the name of the instance.
    pub fn get_instance(&self) -> &str {
        &self.instance
    }

    /// Returns the host of the instance.
    pub fn get_host(&self) -> LoopbackHost {
        self.host
    }

    /// Returns the text of the settings file.
    pub fn to_toml(&self) -> String {
        let mut text = format!(
            "[instance]\nid = {:?}\ndata_centre = {:?}\nhttp_address = \
             \"{}\"\nlink_address = \"{}\"\ntraffic_threads = {}\n",
            self.instance,
            self.data_centre,
            self.host.http_address(),
            self.host.link_address(),
            self.traffic_threads,
        );
        let platform = match self.platform {
            None => "kind = \"embedded\"\n".to_owned(),
            Some(at) => format!("kind = \"http\"\naddress = \"{at}\"\n"),
        };
        let _ = write!(
            text,
            "[platform]\n{platform}[log]\nlevel = {:?}\n[cell]\n\
             data_centres = {:?}\noperator_key = {OPERATOR_KEY:?}\nteams = \
             [{}]\nqueues = [{}]\nservices = [{}]\n",
            self.log_level,
            self.data_centres,
            self.teams,
            self.queues,
            self.services,
        );
        push_section(&mut text, "embedded", &self.embedded);
        push_section(&mut text, "control", &self.control);
        push_section(&mut text, "limits", &self.limits);
        text
    }
}

fn push_section(
    text: &mut String,
    name: &str,
    values: &[(String, impl std::fmt::Display)],
) {
    let _ = writeln!(text, "[{name}]");
    for (key, value) in values {
        let _ = writeln!(text, "{key} = {value}");
    }
}
