//! Runners of the embedded platform. They listen on the loopback address in
//! this process, so that a cell of one instance can serve requests without any
//! other program.

use std::{convert::Infallible, io, net::SocketAddr, net::TcpListener};

use actix_http::{
    HttpService, Request, Response, StatusCode,
    body::BoxBody,
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};
use actix_server::Server;
use limpet_core::EndpointId;

/// The number of requests that an embedded runner declares to handle at once.
pub(crate) const SLOTS: u32 = 8;
/// The number of connections that an embedded runner declares to accept.
pub(crate) const CONNECTIONS: u32 = 64;

/// The header with the number of a request, which a runner echoes.
const REQUEST_HEADER: &str = "limpet-request";

/// Starts a runner that answers each request with its method and path, and
/// returns the runner's address.
///
/// # Errors
///
/// Any error of listening on the loopback address.
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
    // The echoed number shows which request this answer belongs to.
    let number = HeaderName::from_static(REQUEST_HEADER);
    if let Some(value) = request.head().headers.get(&number) {
        headers.insert(number, value.clone());
    }
    response
}
