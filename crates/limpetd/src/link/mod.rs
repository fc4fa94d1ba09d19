//! The link between instances: Cap'n Proto over TCP.
//!
//! Every instance listens, and connects to each peer that it has something
//! to say to. A connection that breaks is made anew by the next message.

mod connection;
mod peers;
mod server;

pub use self::{peers::Peers, server::serve};
