use std::net::SocketAddr;

use limpet_core::DataCentre;

/// The default time-out of a call.
const CALL_TIMEOUT_MS: u64 = 2_000;
/// The default limit of a whole read. The largest answer takes about half of
/// it over 10 Mbit/s.
const MAX_READ_MS: u64 = 120_000;
/// The default time-out for opening a connection.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// The largest body of an answer that is read. The largest objects are
/// snapshots of large shards.
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
    max_read_ms: u64,
    connect_timeout_ms: u64,
    answer_limit_bytes: usize,
}

impl HttpOptions {
    /// Returns options for a platform at this address, with default time-outs
    /// and no data centre.
    pub fn new(address: SocketAddr) -> HttpOptions {
        HttpOptions {
            address,
            data_centre: None,
            timeout_ms: CALL_TIMEOUT_MS,
            max_read_ms: MAX_READ_MS,
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            answer_limit_bytes: ANSWER_LIMIT_BYTES,
        }
    }

    /// Sets the data centre of the caller, which is sent with each call.
    pub fn data_centre(mut self, data_centre: DataCentre) -> HttpOptions {
        self.data_centre = Some(data_centre);
        self
    }

    /// Sets the time-out of a call, 2 s by default. The outcome of a call that
    /// times out is unknown.
    ///
    /// It bounds the whole of a call that has an effect, apart from the time
    /// to upload a long body. A read may take as long as bytes keep arriving:
    /// the time-out bounds the wait for the head of its answer and each pause
    /// within it.
    pub fn timeout_ms(mut self, timeout_ms: u64) -> HttpOptions {
        self.timeout_ms = timeout_ms;
        self
    }

    /// Sets the longest that a read may take as a whole, 2 min by default.
    pub fn max_read_ms(mut self, max_ms: u64) -> HttpOptions {
        self.max_read_ms = max_ms;
        self
    }

    /// Sets the time-out for opening a connection, 500 ms by default. A call
    /// that finds no connection in that time has no effect.
    pub fn connect_timeout_ms(mut self, timeout_ms: u64) -> HttpOptions {
        self.connect_timeout_ms = timeout_ms;
        self
    }

    /// Returns the platform's address.
    pub fn get_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the data centre of the caller, if it is set.
    pub fn get_data_centre(&self) -> Option<&DataCentre> {
        self.data_centre.as_ref()
    }

    /// Returns the time-out of a call, in milliseconds.
    pub fn get_timeout_ms(&self) -> u64 {
        self.timeout_ms
    }

    /// Returns the longest that a read may take as a whole, in milliseconds.
    pub fn get_max_read_ms(&self) -> u64 {
        self.max_read_ms
    }

    /// Returns the time-out for opening a connection, in milliseconds.
    pub fn get_connect_timeout_ms(&self) -> u64 {
        self.connect_timeout_ms
    }

    /// Returns the largest body of an answer that is read; a larger one fails
    /// the call with an unknown outcome.
    pub(super) fn answer_limit_bytes(&self) -> usize {
        self.answer_limit_bytes
    }
}
