//! Runners of the embedded platform: they answer on this process's own
//! loopback address, so that a one-instance cell has something to route to.

use std::{convert::Infallible, io, net::SocketAddr, net::TcpListener};

use actix_http::{
    HttpService, Request, Response, StatusCode,
    body::BoxBody,
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};
use actix_server::Server;
use limpet_core::EndpointId;

/// How many requests an embedded runner works on at once.
pub(crate) const SLOTS: u32 = 8;
/// How many connections an embedded runner takes.
pub(crate) const CONNECTIONS: u32 = 64;

/// The header in which an instance numbers its requests to runners.
const REQUEST_HEADER: &str = "limpet-request";

/// Starts a runner that tells which request it was given, and returns its
/// address.
pub(crate) fn start(endpoint: &EndpointId) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let address = listener.local_addr()?;
    let name = endpoint.as_str().to_owned();
    let server = Server::build()
        .workers(1)
        .disable_signals()
        .listen("runner", listener, move || {
            let name = name.clone();
            HttpService::build()
                .finish(move |request: Request| {
                    let answer = answer(&name, &request);
                    async move { Ok::<_, Infallible>(answer) }
                })
                .tcp()
        })?
        .run();
    actix_rt::spawn(server);
    Ok(address)
}

fn answer(name: &str, request: &Request) -> Response<BoxBody> {
    let text = format!("{name}: {} {}\n", request.method(), request.path());
    let mut response = Response::with_body(StatusCode::OK, BoxBody::new(text));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    // The echo of its number proves whose answer this is.
    let number = HeaderName::from_static(REQUEST_HEADER);
    if let Some(value) = request.head().headers.get(&number) {
        headers.insert(number, value.clone());
    }
    response
}
