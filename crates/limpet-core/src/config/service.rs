/// The configuration of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ServiceConfig {
    /// Whether requests are accepted without an API key.
    #[serde(default)]
    pub open: bool,
    /// The time limit of a request whose caller sets none, in milliseconds.
    pub deadline_ms: u64,
}

impl Default for ServiceConfig {
    fn default() -> ServiceConfig {
        ServiceConfig { open: false, deadline_ms: 10_000 }
    }
}
