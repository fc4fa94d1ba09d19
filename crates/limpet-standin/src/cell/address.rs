use std::{
    net::{Ipv4Addr, SocketAddr},
    process,
    sync::atomic::{AtomicU8, Ordering},
};

/// The port of every daemon's HTTP interface.
const HTTP_PORT: u16 = 7070;
/// The port of every daemon's link.
const LINK_PORT: u16 = 7071;

/// An IP number of loopback that no other process or cell uses, so that
/// tests which run side by side can all use the same ports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoopbackHost(Ipv4Addr);

impl LoopbackHost {
    /// Returns the next number of this process.
    pub fn next() -> LoopbackHost {
        static COUNT: AtomicU8 = AtomicU8::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let [.., high, low] = process::id().to_be_bytes();
        // 127.0.x.x stays free for what listens there already.
        LoopbackHost(Ipv4Addr::new(127, high | 0x80, low, count % 254 + 1))
    }

    /// Returns the address of a port of this number.
    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.0, port))
    }

    /// Returns the address of a daemon's HTTP interface.
    pub fn http_address(&self) -> SocketAddr {
        self.at(HTTP_PORT)
    }

    /// Returns the address of a daemon's link.
    pub fn link_address(&self) -> SocketAddr {
        self.at(LINK_PORT)
    }
}
