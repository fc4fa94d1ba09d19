use std::{
    net::{Ipv4Addr, SocketAddr},
    process,
    sync::atomic::{AtomicU8, Ordering},
};

/// The port of every daemon's HTTP interface.
const HTTP_PORT: u16 = 7070;
/// The port of every daemon's link.
const LINK_PORT: u16 = 7071;

/// A loopback IP address for one daemon. Tests that run at the same time get
/// different addresses, so that all of them can use the same ports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoopbackHost(Ipv4Addr);

impl LoopbackHost {
    /// Returns the next address of this process. It is derived from the
    /// process id and a count, which starts again after 254.
    pub fn next() -> LoopbackHost {
        static COUNT: AtomicU8 = AtomicU8::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let [.., high, low] = process::id().to_be_bytes();
        // Leaves 127.0.x.x to other programs of the machine.
        LoopbackHost(Ipv4Addr::new(127, high | 0x80, low, count % 254 + 1))
    }

    /// Returns the address of a port at this IP address.
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
