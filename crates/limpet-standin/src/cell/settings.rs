use std::{fmt::Write, net::SocketAddr};

use super::address::LoopbackHost;

/// The first operator's key, `ID:SECRET`, in every cell of a test or bench.
pub(super) const OPERATOR_KEY: &str = "first-operator:test-secret";

/// Builds the settings file of a daemon for a test or bench.
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
    /// Returns the settings of an instance on the embedded platform, in a cell
    /// with two teams, two queues, an open service and one data centre.
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

    /// Sets the address of a platform over HTTP, to use it in place of the
    /// embedded one.
    pub fn platform(mut self, address: SocketAddr) -> DaemonSettings {
        self.platform = Some(address);
        self
    }

    /// Sets the data centres of the cell.
    pub fn data_centres(mut self, names: &[&str]) -> DaemonSettings {
        self.data_centres = names.iter().map(|&n| n.to_owned()).collect();
        self
    }

    /// Sets the teams of the first configuration, written as the items of a
    /// TOML array.
    pub fn teams(mut self, items: &str) -> DaemonSettings {
        self.teams = items.to_owned();
        self
    }

    /// Sets a key of the section `embedded` to a value in TOML syntax.
    pub fn embedded(mut self, key: &str, value: &str) -> DaemonSettings {
        self.embedded.push((key.to_owned(), value.to_owned()));
        self
    }

    /// Sets a key of the section `control`, such as a lease or an interval.
    pub fn control(mut self, key: &str, value: u64) -> DaemonSettings {
        self.control.push((key.to_owned(), value));
        self
    }

    /// Sets a key of the section `limits`, which bounds what clients may send.
    pub fn limit(mut self, key: &str, value: u64) -> DaemonSettings {
        self.limits.push((key.to_owned(), value));
        self
    }

    /// Sets the number of threads that serve requests.
    pub fn traffic_threads(mut self, threads: u32) -> DaemonSettings {
        self.traffic_threads = threads;
        self
    }

    /// Sets the least severe level to log.
    pub fn log_level(mut self, level: &str) -> DaemonSettings {
        self.log_level = level.to_owned();
        self
    }

    /// Returns the name of the instance.
    pub fn get_instance(&self) -> &str {
        &self.instance
    }

    /// Returns the IP address of the instance.
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

/// Appends a section of the settings file.
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
