//! The HTTP listeners of an entry instance.

use std::{convert::Infallible, future::Future, rc::Rc, time::Duration};

use actix_http::{HttpService, Request, Response, body::BoxBody};
use actix_service::{Service, ServiceFactory};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http::StatusCode;
use limpet_core::{Error, ErrorKind, Result};
use slog::warn;
use tokio::net::TcpListener;

use crate::{front::serve_client, link::answer_link, node::Node};

/// How long an idle connection stays open. Clients and peers close theirs
/// earlier.
const KEEP_ALIVE_S: u64 = 60;
/// The time-out for receiving the head of a request.
const HEAD_TIMEOUT_MS: u64 = 3_000;
/// The number of connections that the kernel queues until they are accepted.
const BACKLOG: u32 = 1_024;
/// The maximum size of a message on the link.
const LINK_BODY_BYTES: usize = 1 << 20;

/// Binds the listeners and serves them in the background.
///
/// # Errors
///
/// Returns [`ErrorKind::Internal`] with the address that cannot be bound.
pub async fn serve(node: &Rc<Node>) -> Result<()> {
    let instance = node.settings.instance.clone();
    let front = Rc::clone(node);
    listen(node, &instance.front_address, move |request| {
        serve_client(Rc::clone(&front), request)
    })
    .await?;
    let ready = Rc::clone(node);
    listen(node, &instance.ready_address, move |_| {
        let is_ready = ready.is_ready();
        async move {
            Response::new(match is_ready {
                true => StatusCode::OK,
                false => StatusCode::SERVICE_UNAVAILABLE,
            })
        }
    })
    .await?;
    let metrics = Rc::clone(node);
    listen(node, &instance.metrics_address, move |_| {
        let text = metrics.metrics.to_text(&metrics);
        async move {
            Response::ok().set_body(Bytes::from(text)).map_into_boxed_body()
        }
    })
    .await?;
    let link = Rc::clone(node);
    listen(node, &instance.link_address, move |request| {
        serve_link(Rc::clone(&link), request)
    })
    .await
}

/// Answers a message on the link.
async fn serve_link(
    node: Rc<Node>,
    mut request: Request,
) -> Response<BoxBody> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(Ok(chunk)) = payload.next().await {
        body.extend_from_slice(&chunk);
        if body.len() > LINK_BODY_BYTES {
            return Response::new(StatusCode::PAYLOAD_TOO_LARGE);
        }
    }
    let reply = answer_link(&node, &body).await;
    Response::ok().set_body(Bytes::from(reply)).map_into_boxed_body()
}

/// Binds a listener and serves its connections with `handle` in the
/// background.
async fn listen<H, F>(node: &Rc<Node>, address: &str, handle: H) -> Result<()>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let failed = |err: &dyn std::fmt::Display| {
        Error::new(
            ErrorKind::Internal,
            format!("cannot listen on {address}: {err}"),
        )
    };
    let listener = bind(address).map_err(|err| failed(&err))?;
    let factory = HttpService::build()
        .client_request_timeout(Duration::from_millis(HEAD_TIMEOUT_MS))
        .keep_alive(Duration::from_secs(KEEP_ALIVE_S))
        .h1(move |request: Request| {
            let answer = handle(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
    let service = factory
        .new_service(())
        .await
        .map_err(|()| failed(&"the HTTP service cannot be started"))?;
    let service = Rc::new(service);
    let log = node.log.clone();
    actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    stream.set_nodelay(true).ok();
                    let service = Rc::clone(&service);
                    actix_rt::spawn(async move {
                        // A broken connection only concerns its client.
                        service.call((stream, Some(peer))).await.ok();
                    });
                }
                Err(err) => {
                    warn!(log, "serve: accept failed; retrying";
                        "reason" => %err);
                    let pause = Duration::from_millis(20);
                    actix_rt::time::sleep(pause).await;
                }
            }
        }
    });
    Ok(())
}

/// Binds a listener to an address that a previous process may have used.
fn bind(address: &str) -> std::io::Result<TcpListener> {
    let address: std::net::SocketAddr =
        address.parse().map_err(std::io::Error::other)?;
    let socket = match address {
        std::net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        std::net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
