//! A minimal HTTP server, by which each part of the stand-in answers calls.

use std::{
    convert::Infallible,
    future::Future,
    io,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::Arc,
    thread,
};

use actix_http::{HttpService, Request, Response, StatusCode, body::BoxBody};
use actix_service::{Service, ServiceFactory};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use serde_json::Value;
use tokio::sync::Notify;

use crate::slow_link::SlowLink;

/// A call to one of the platform's interfaces.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) path: String,
    pub(super) query: String,
    bytes: Bytes,
}

/// The answer to a call. Without a status the call is never answered.
#[derive(Debug)]
pub(super) struct Answer {
    status: Option<u16>,
    body: Vec<u8>,
}

impl Call {
    /// Returns the JSON body, or null if it can't be parsed.
    pub(super) fn body(&self) -> Value {
        serde_json::from_slice(&self.bytes).unwrap_or(Value::Null)
    }

    /// Returns the size of the body in bytes.
    pub(super) fn body_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Returns a field of the query, percent-decoded; empty if it is missing.
    pub(super) fn field(&self, name: &str) -> String {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map_or(String::new(), |(_, value)| decode_percent(value))
    }
}

impl Answer {
    pub(super) fn json(status: u16, body: &Value) -> Answer {
        Answer { status: Some(status), body: body.to_string().into_bytes() }
    }

    pub(super) fn empty(status: u16) -> Answer {
        Answer { status: Some(status), body: Vec::new() }
    }

    /// Returns an answer that is never sent.
    pub(super) fn none() -> Answer {
        Answer { status: None, body: Vec::new() }
    }
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let code = (*first == b'%')
            .then(|| std::str::from_utf8(tail.get(..2)?).ok())
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        bytes.push(code.unwrap_or(*first));
        rest = if code.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Serves calls at a free port of 127.0.0.1 on a thread of its own, and
/// returns the address.
pub(super) fn serve<H, F>(handle: H) -> io::Result<SocketAddr>
where
    H: Fn(Call) -> F + Clone + Send + 'static,
    F: Future<Output = Answer> + 'static,
{
    serve_over(Arc::default(), handle)
}

/// Like [`serve`], until `stop` is notified: then the port is closed and all
/// connections are dropped, as when a process dies.
pub(super) fn serve_until<H, F>(
    stop: Arc<Notify>,
    handle: H,
) -> io::Result<SocketAddr>
where
    H: Fn(Call) -> F + Clone + Send + 'static,
    F: Future<Output = Answer> + 'static,
{
    listen(stop, Arc::default(), handle)
}

/// Like [`serve`], with answers that pass over a link.
pub(super) fn serve_over<H, F>(
    link: Arc<SlowLink>,
    handle: H,
) -> io::Result<SocketAddr>
where
    H: Fn(Call) -> F + Clone + Send + 'static,
    F: Future<Output = Answer> + 'static,
{
    listen(Arc::default(), link, handle)
}

fn listen<H, F>(
    stop: Arc<Notify>,
    link: Arc<SlowLink>,
    handle: H,
) -> io::Result<SocketAddr>
where
    H: Fn(Call) -> F + Clone + Send + 'static,
    F: Future<Output = Answer> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    thread::Builder::new().name("site".to_owned()).spawn(move || {
        actix_rt::System::new().block_on(async {
            tokio::select! {
                ended = accept(listener, link, handle) => ended,
                () = stop.notified() => Ok(()),
            }
        })
    })?;
    Ok(address)
}

async fn accept<H, F>(
    listener: TcpListener,
    link: Arc<SlowLink>,
    handle: H,
) -> io::Result<()>
where
    H: Fn(Call) -> F + Clone + 'static,
    F: Future<Output = Answer> + 'static,
{
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let service = HttpService::build()
        .h1(move |request: Request| {
            answer(handle.clone(), Arc::clone(&link), request)
        })
        .new_service(())
        .await
        .map_err(|()| io::Error::other("the HTTP service did not start"))?;
    let service = Rc::new(service);
    loop {
        let (stream, peer) = listener.accept().await?;
        let service = Rc::clone(&service);
        actix_rt::spawn(async move {
            // An error is that of one connection; its caller sees it too.
            service.call((stream, Some(peer))).await.ok();
        });
    }
}

async fn answer<H, F>(
    handle: H,
    link: Arc<SlowLink>,
    mut request: Request,
) -> Result<Response<BoxBody>, Infallible>
where
    H: Fn(Call) -> F,
    F: Future<Output = Answer>,
{
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(Ok(chunk)) = payload.next().await {
        body.extend_from_slice(&chunk);
    }
    let call = Call {
        path: request.path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        bytes: body.freeze(),
    };
    let answer = handle(call).await;
    let Some(status) = answer.status else {
        // The caller's time-out ends the call.
        std::future::pending::<()>().await;
        return Ok(Response::internal_server_error());
    };
    let status = StatusCode::from_u16(status)
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let response = Response::build(status).body(link.body(answer.body.into()));
    Ok(response.map_into_boxed_body())
}
