//! Answers HTTP requests, with the injected faults.

use std::{convert::Infallible, io, sync::Arc, time::Duration};

use actix_http::{
    HttpMessage, Method, Request, Response, StatusCode,
    body::{BodyStream, BoxBody},
};
use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream};
use limpet_core::DataCentre;
use limpet_platform::{
    embedded::EmbeddedPlatform,
    http::message::{DATA_CENTRE_HEADER, EFFECT_HEADER, NO_EFFECT},
};

use super::{
    admin::{self, ADMIN_PATH_PREFIX},
    call::{Call, Reply},
    fault_injector::FaultInjector,
};
use crate::slow_link::SlowLink;

/// How often a held call checks whether it may go on.
const POLL_MS: u64 = 2;
/// How long after a call took effect its duplicate does.
const DUPLICATE_DELAY_MS: u64 = 20;

/// The service that answers the requests of one server.
#[derive(Clone)]
pub(super) struct Service {
    platform: EmbeddedPlatform,
    fault_injector: FaultInjector,
    link: Arc<SlowLink>,
}

/// What the caller receives.
enum Outcome {
    Reply(Reply),
    /// A broken connection.
    Cut,
}

impl Service {
    pub(super) fn new(
        platform: EmbeddedPlatform,
        fault_injector: FaultInjector,
        link: Arc<SlowLink>,
    ) -> Service {
        Service { platform, fault_injector, link }
    }

    /// Answers one request.
    pub(super) async fn answer(
        self,
        mut request: Request,
    ) -> Result<Response<BoxBody>, Infallible> {
        let link = Arc::clone(&self.link);
        let Some(body) = read_body(&mut request, &link).await else {
            return Ok(cut());
        };
        if let Some(action) = request.path().strip_prefix(ADMIN_PATH_PREFIX) {
            let Service { platform, fault_injector, .. } = &self;
            let reply = admin::answer(action, &body, platform, fault_injector);
            return Ok(respond(reply.unwrap_or_else(invalid), &link));
        }
        let method: &Method = request.method();
        let call = match Call::parse(method, request.path(), &body) {
            Ok(call) => call,
            Err(why) => return Ok(respond(invalid(why), &link)),
        };
        let data_centre = data_centre_of(&request);
        // The call runs in a task of its own, so that it takes effect even if
        // the caller closes the connection while the call is held.
        let (port, fault_injector) =
            (call.port(), self.fault_injector.clone());
        let outcome = actix_rt::spawn(self.perform(call, data_centre)).await;
        if let Ok(Outcome::Reply(reply)) = &outcome {
            let bytes = body.len() + reply.body.len();
            fault_injector.count_bytes(port, bytes as u64);
        }
        Ok(match outcome {
            Ok(Outcome::Reply(reply)) => respond(reply, &link),
            Ok(Outcome::Cut) | Err(_) => cut(),
        })
    }

    /// Carries out a call under the faults that apply to it.
    async fn perform(
        self,
        call: Call,
        data_centre: Option<DataCentre>,
    ) -> Outcome {
        let port = call.port();
        let faults = self.fault_injector.get(port, data_centre.as_ref());
        if faults.down {
            let why = format!("{port:?} is down");
            return Outcome::Reply(Reply::refusal(why));
        }
        if faults.cut {
            return Outcome::Cut;
        }
        let call_faults = self.fault_injector.count_call(port, &faults);
        if faults.slow_ms > 0 {
            sleep_ms(faults.slow_ms).await;
        }
        while self.fault_injector.get(port, data_centre.as_ref()).paused {
            sleep_ms(POLL_MS).await;
        }
        if call_faults.reorder {
            self.wait_for_later_call(&call, faults.reorder_limit_ms).await;
        }
        let reply = call.perform(&self.platform);
        self.fault_injector.count_effect(port);
        if call_faults.duplicate {
            actix_rt::spawn(self.repeat(call));
        }
        if call_faults.lost { Outcome::Cut } else { Outcome::Reply(reply) }
    }

    /// Waits until a later call to the same part has taken effect, for at most
    /// `limit_ms`.
    async fn wait_for_later_call(&self, call: &Call, limit_ms: u64) {
        let before = self.fault_injector.effect_count(call.port());
        for _ in 0..limit_ms / POLL_MS {
            if self.fault_injector.effect_count(call.port()) > before {
                return;
            }
            sleep_ms(POLL_MS).await;
        }
    }

    /// Lets a call take effect a second time, after a delay.
    async fn repeat(self, call: Call) {
        sleep_ms(DUPLICATE_DELAY_MS).await;
        call.perform(&self.platform);
        self.fault_injector.count_effect(call.port());
    }
}

async fn sleep_ms(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}

/// Reads the body of a request; `None` if it can't be read to its end.
async fn read_body(request: &mut Request, link: &SlowLink) -> Option<Bytes> {
    let mut body = BytesMut::new();
    let mut payload = request.take_payload();
    while let Some(part) = payload.next().await {
        let part = part.ok()?;
        link.pass(part.len()).await;
        body.extend_from_slice(&part);
    }
    Some(body.freeze())
}

/// Returns the data centre that the caller names, if it names a valid one.
fn data_centre_of(request: &Request) -> Option<DataCentre> {
    let value = request.headers().get(DATA_CENTRE_HEADER)?;
    DataCentre::new(value.to_str().ok()?).ok()
}

/// Returns the refusal of a request that can't be decoded.
fn invalid(why: String) -> Reply {
    let mut reply = Reply::new(StatusCode::BAD_REQUEST, Bytes::from(why));
    reply.no_effect = true;
    reply
}

fn respond(reply: Reply, link: &Arc<SlowLink>) -> Response<BoxBody> {
    let mut response = Response::build(reply.status);
    if reply.no_effect {
        response.insert_header((EFFECT_HEADER, NO_EFFECT));
    }
    response.body(link.body(reply.body)).map_into_boxed_body()
}

/// Returns an answer whose body fails, which closes the connection.
fn cut() -> Response<BoxBody> {
    let broken = io::Error::new(io::ErrorKind::ConnectionReset, "cut");
    let body = stream::iter([Err::<Bytes, _>(broken)]);
    Response::build(StatusCode::OK)
        .body(BodyStream::new(body))
        .map_into_boxed_body()
}
