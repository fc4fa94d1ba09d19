/// What operators have decided for a service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ServiceConfig {
    /// Whether requests are accepted without a key.
    #[serde(default)]
    pub open: bool,
    /// The deadline of a request whose caller names none, in milliseconds.
    pub deadline_ms: u64,
}

impl Default for ServiceConfig {
    fn default() -> ServiceConfig {
        ServiceConfig { open: false, deadline_ms: 10_000 }
    }
}
