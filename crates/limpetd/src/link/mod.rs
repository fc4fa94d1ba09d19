//! The link between instances: Cap'n Proto RPC over TCP.
//!
//! Every instance listens, and connects to a peer when it first has a message
//! for it. After a connection has broken, the next message opens a new one.

mod connection;
mod peers;
mod server;

pub use self::{peers::Peers, server::serve};
