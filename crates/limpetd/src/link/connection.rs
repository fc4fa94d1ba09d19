//! Connections of the link, whose bytes are counted.

use std::{net::SocketAddr, time::Duration};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use limpet_core::{Error, ErrorKind, Result};
use limpet_wire::peer_capnp::peer;
use tokio::net::{TcpStream, tcp::OwnedReadHalf};
use tokio_util::{
    compat::{Compat, TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt},
    io::{InspectReader, InspectWriter},
};

use crate::metrics::{Counter, Metrics};

/// The longest that opening a connection may take, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// A callback that counts the bytes of a connection.
type OnBytes = Box<dyn FnMut(&[u8])>;
/// The reading half of a connection, whose bytes are counted.
type CountedReader = InspectReader<OwnedReadHalf, OnBytes>;
/// The RPC transport of a connection, whose bytes are counted.
pub(super) type Network = VatNetwork<Compat<CountedReader>>;

/// Returns the RPC transport of a connection, as its client or server side.
pub(super) fn build_network(
    stream: TcpStream,
    side: Side,
    metrics: &Metrics,
) -> Network {
    // Messages are small and must not be delayed to be sent together.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let received = metrics.clone();
    let sent = metrics.clone();
    let on_read: OnBytes = Box::new(move |bytes| {
        received.add(Counter::LinkBytesReceived, bytes.len() as u64);
    });
    let on_write = move |bytes: &[u8]| {
        sent.add(Counter::LinkBytesSent, bytes.len() as u64);
    };
    VatNetwork::new(
        InspectReader::new(reader, on_read).compat(),
        InspectWriter::new(writer, on_write).compat_write(),
        side,
        capnp::message::ReaderOptions::default(),
    )
}

/// Opens a connection to the link of another instance.
///
/// `on_end` is called once the connection has ended.
///
/// # Errors
///
/// [`ErrorKind::ShardUnreachable`] if the address can't be parsed or no
/// connection can be opened. Nothing was sent then.
pub(super) async fn connect(
    address: &str,
    metrics: &Metrics,
    on_end: impl FnOnce() + 'static,
) -> Result<peer::Client> {
    let unreachable = |why: String| {
        Error::new(
            ErrorKind::ShardUnreachable,
            format!("no link to {address}: {why}"),
        )
    };
    let address: SocketAddr = address
        .parse()
        .map_err(|_| unreachable("invalid address".to_owned()))?;
    let connecting = actix_rt::time::timeout(
        Duration::from_millis(CONNECT_TIMEOUT_MS),
        TcpStream::connect(address),
    );
    let stream = connecting
        .await
        .map_err(|_| unreachable("timeout".to_owned()))?
        .map_err(|err| unreachable(err.to_string()))?;
    let network = build_network(stream, Side::Client, metrics);
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(Side::Server);
    actix_rt::spawn(async move {
        // How the connection ended doesn't matter: the next message opens a
        // new one.
        let _ = system.await;
        on_end();
    });
    Ok(client)
}
