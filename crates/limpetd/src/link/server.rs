//! The server side of the link.

use std::{net::SocketAddr, rc::Rc};

use capnp::capability::Rc as CapRc;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side};
use limpet_core::{Error, ErrorKind, Result};
use limpet_wire::{ErrorBody, ForwardAnswer, peer_capnp::peer};
use slog::{Logger, warn};
use tokio::net::TcpListener;

use super::connection::build_network;
use crate::{
    control::{Control, adopt_pushed_config, answer_forward},
    metrics::Metrics,
};

/// Listens for other instances and answers them on the calling thread, for as
/// long as that thread's runtime lives.
///
/// # Errors
///
/// [`ErrorKind::Internal`] if it can't listen on `address`.
pub async fn serve(
    address: SocketAddr,
    control: Control,
    metrics: Metrics,
    log: Logger,
) -> Result<()> {
    let listener = TcpListener::bind(address).await.map_err(|err| {
        Error::new(
            ErrorKind::Internal,
            format!("can't listen on instance.link_address {address}: {err}"),
        )
    })?;
    actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let network =
                        build_network(stream, Side::Server, &metrics);
                    let server = PeerServer { control: control.clone() };
                    let client: peer::Client = capnp_rpc::new_client(server);
                    let system =
                        RpcSystem::new(Box::new(network), Some(client.client));
                    actix_rt::spawn(async move {
                        // An error only means that the peer has closed the
                        // connection.
                        let _ = system.await;
                    });
                }
                Err(err) => {
                    warn!(log, "link: accepting a connection failed; retrying";
                        "error" => %err);
                    // If too many files are open, retrying at once would only
                    // fail again.
                    actix_rt::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

/// How long to wait after an accept has failed.
const ACCEPT_PAUSE: std::time::Duration =
    std::time::Duration::from_millis(100);

/// Answers the calls of one peer.
struct PeerServer {
    control: Control,
}

impl peer::Server for PeerServer {
    async fn forward(
        self: CapRc<Self>,
        params: peer::ForwardParams,
        mut results: peer::ForwardResults,
    ) -> std::result::Result<(), capnp::Error> {
        let body = params.get()?.get_request()?.to_vec();
        let request = serde_json::from_slice(&body)
            .map_err(|err| capnp::Error::failed(err.to_string()))?;
        let state = self.control.state();
        let answer =
            answer_forward(&state, request).await.unwrap_or_else(|err| {
                ForwardAnswer::Refused(ErrorBody::from(&err))
            });
        let body = serde_json::to_vec(&answer)
            .map_err(|err| capnp::Error::failed(err.to_string()))?;
        results.get().set_answer(&body);
        Ok(())
    }

    async fn configure(
        self: CapRc<Self>,
        params: peer::ConfigureParams,
        mut results: peer::ConfigureResults,
    ) -> std::result::Result<(), capnp::Error> {
        let body = params.get()?.get_changes()?.to_vec();
        let state = Rc::clone(&self.control.state());
        let revision = adopt_pushed_config(&state, &body)
            .map_err(|err| capnp::Error::failed(err.to_string()))?;
        results.get().set_revision(revision.get());
        Ok(())
    }
}
