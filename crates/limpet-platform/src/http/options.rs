use std::net::SocketAddr;

use limpet_core::DataCentre;

/// The longest that a call takes unless the options say otherwise.
const CALL_TIMEOUT_MS: u64 = 2_000;
/// The longest that a connection takes to come about.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// The largest answer that is read: a snapshot of a large shard.
const ANSWER_LIMIT_BYTES: usize = 64 << 20;

/// How to reach a platform over HTTP.
///
/// # Examples
///
/// ```
/// use limpet_platform::http::HttpOptions;
///
/// let address = "127.0.0.1:7000".parse().unwrap();
/// let options = HttpOptions::new(address).timeout_ms(500);
/// assert_eq!(options.get_timeout_ms(), 500);
/// ```
#[derive(Clone, Debug)]
pub struct HttpOptions {
    address: SocketAddr,
    data_centre: Option<DataCentre>,
    timeout_ms: u64,
    connect_timeout_ms: u64,
    answer_limit_bytes: usize,
}

impl HttpOptions {
    /// Returns the options for a platform at this address.
    pub fn new(address: SocketAddr) -> HttpOptions {
        HttpOptions {
            address,
            data_centre: None,
            timeout_ms: CALL_TIMEOUT_MS,
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            answer_limit_bytes: ANSWER_LIMIT_BYTES,
        }
    }

    /// Sets the data centre that the caller stands in.
    pub fn data_centre(mut self, data_centre: DataCentre) -> HttpOptions {
        self.data_centre = Some(data_centre);
        self
    }

    /// Sets the longest that a call takes. What happened to one that takes
    /// longer is unknown.
    pub fn timeout_ms(mut self, timeout_ms: u64) -> HttpOptions {
        self.timeout_ms = timeout_ms;
        self
    }

    /// Sets the longest that a connection takes to come about. A call that
    /// got none has no effect.
    pub fn connect_timeout_ms(mut self, timeout_ms: u64) -> HttpOptions {
        self.connect_timeout_ms = timeout_ms;
        self
    }

    /// Returns the platform's address.
    pub fn get_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the data centre that the caller stands in, where it is set.
    pub fn get_data_centre(&self) -> Option<&DataCentre> {
        self.data_centre.as_ref()
    }

    /// Returns the longest that a call takes.
    pub fn get_timeout_ms(&self) -> u64 {
        self.timeout_ms
    }

    /// Returns the longest that a connection takes to come about.
    pub fn get_connect_timeout_ms(&self) -> u64 {
        self.connect_timeout_ms
    }

    pub(super) fn answer_limit_bytes(&self) -> usize {
        self.answer_limit_bytes
    }
}
