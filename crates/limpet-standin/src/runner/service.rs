use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use actix_http::{
    HttpMessage, Request, Response, StatusCode,
    body::BoxBody,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use actix_rt::time::sleep;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use tokio::sync::{Semaphore, oneshot};

use super::{
    Execution, OverloadPolicy, RunnerFault, RunnerOptions,
    respond::{
        complete, cut_at_chunk, cut_short, empty, expected_body, trickle,
        twice, wrong_length,
    },
};

/// The path that answers with the log of executions, one JSON object a line.
const LOG_PATH: &str = "/limpet-runner/executions";
/// The path to post the name of a fault to.
const FAULT_PATH: &str = "/limpet-runner/fault";
/// The factor by which a slow runner extends the run time.
const SLOW_FACTOR: u64 = 10;

/// A request that waits for the next one, to swap answers with it.
struct Held {
    body: Bytes,
    /// The request's `limpet-request` header.
    number: Option<HeaderValue>,
    swap: oneshot::Sender<Swapped>,
}

/// The answer that belongs to another request.
struct Swapped {
    body: Bytes,
    number: Option<HeaderValue>,
}

/// A runner, shared by its connections.
pub(super) struct Runner {
    options: RunnerOptions,
    fault: Mutex<RunnerFault>,
    /// The request that waits for another one under `OutOfOrder`.
    held: Mutex<Option<Held>>,
    slots: Semaphore,
    in_flight: AtomicU32,
}

/// The parameters of a request.
struct RequestParams {
    request_id: String,
    /// The `limpet-request` header.
    number: Option<HeaderValue>,
    run_time_ms: u64,
    /// The length of the answer's body.
    bytes: usize,
}

impl Runner {
    pub(super) fn new(options: RunnerOptions) -> Runner {
        Runner {
            slots: Semaphore::new(options.slots as usize),
            options,
            fault: Mutex::default(),
            held: Mutex::default(),
            in_flight: AtomicU32::new(0),
        }
    }

    pub(super) fn set_fault(&self, fault: RunnerFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    pub(super) fn options(&self) -> &RunnerOptions {
        &self.options
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    fn fault(&self) -> RunnerFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a request to run, or to read the log or set the fault.
    pub(super) async fn answer(
        self: Arc<Runner>,
        mut request: Request,
    ) -> Response<BoxBody> {
        let body = read_body(&mut request).await;
        match (request.path(), body) {
            (_, None) => empty(StatusCode::BAD_REQUEST),
            (LOG_PATH, _) => self.executions(),
            (FAULT_PATH, Some(body)) => self.change_fault(&body),
            (_, Some(body)) => self.work(&request, body).await,
        }
    }

    fn executions(&self) -> Response<BoxBody> {
        let lines: Vec<String> = self
            .options
            .log
            .to_vec()
            .iter()
            .filter_map(|execution| serde_json::to_string(execution).ok())
            .collect();
        complete(Bytes::from(lines.join("\n")))
    }

    fn change_fault(&self, name: &[u8]) -> Response<BoxBody> {
        match String::from_utf8_lossy(name).parse() {
            Ok(fault) => {
                self.set_fault(fault);
                empty(StatusCode::OK)
            }
            Err(_) => empty(StatusCode::BAD_REQUEST),
        }
    }

    /// Runs a request once it has a slot, or refuses it under a fault or the
    /// overload policy.
    async fn work(&self, request: &Request, body: Bytes) -> Response<BoxBody> {
        let params = self.read_params(request);
        let fault = self.fault();
        let refuses =
            matches!(fault, RunnerFault::Refuse | RunnerFault::Leaving);
        let full = self.slots.available_permits() == 0
            && self.options.overload_policy == OverloadPolicy::Refuse;
        if refuses || full {
            self.record(&params, false);
            return self.refusal(&params, fault);
        }
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let guard = InFlight(&self.in_flight);
        let slot = self.slots.acquire().await;
        self.record(&params, true);
        let mut response = self.run(&params, fault, body).await;
        drop(slot);
        drop(guard);
        self.add_headers(response.headers_mut(), &params, self.fault());
        response
    }

    /// Takes the run time of a request and answers it in the way of the fault.
    async fn run(
        &self,
        params: &RequestParams,
        fault: RunnerFault,
        body: Bytes,
    ) -> Response<BoxBody> {
        let run_time_ms = match fault {
            RunnerFault::Slow => params.run_time_ms * SLOW_FACTOR,
            RunnerFault::Late(ms) => params.run_time_ms + ms,
            _ => params.run_time_ms,
        };
        if run_time_ms > 0 {
            sleep(Duration::from_millis(run_time_ms)).await;
        }
        let body = match body.is_empty() {
            true => expected_body(&params.request_id, params.bytes),
            false => body,
        };
        match fault {
            RunnerFault::Hang => std::future::pending().await,
            RunnerFault::OutOfOrder => self.swap(params, body).await,
            RunnerFault::Twice => twice(body),
            RunnerFault::CutShort => cut_short(body),
            RunnerFault::CutAtChunk => cut_at_chunk(body),
            RunnerFault::WrongLength => wrong_length(body),
            RunnerFault::Trickle => trickle(body),
            RunnerFault::Fail => empty(StatusCode::INTERNAL_SERVER_ERROR),
            _ => complete(body),
        }
    }

    /// Waits for another request and swaps the two answers, with their
    /// `limpet-request` headers.
    async fn swap(
        &self,
        params: &RequestParams,
        body: Bytes,
    ) -> Response<BoxBody> {
        let own = Swapped { body, number: params.number.clone() };
        let held =
            self.held.lock().unwrap_or_else(PoisonError::into_inner).take();
        let other = match held {
            Some(held) => {
                // The other caller may have closed its connection.
                drop(held.swap.send(own));
                Swapped { body: held.body, number: held.number }
            }
            None => {
                let (swap, swapped) = oneshot::channel();
                let Swapped { body, number } = own;
                let held = Held { body, number, swap };
                *self.held.lock().unwrap_or_else(PoisonError::into_inner) =
                    Some(held);
                match swapped.await {
                    Ok(other) => other,
                    Err(_) => std::future::pending().await,
                }
            }
        };
        let mut response = complete(other.body);
        if let Some(number) = other.number {
            response
                .headers_mut()
                .insert(HeaderName::from_static("limpet-request"), number);
        }
        response
    }

    /// Reads the parameters of a request from its headers and its query.
    fn read_params(&self, request: &Request) -> RequestParams {
        let headers = request.headers();
        let text = |name: &str| {
            let value = headers.get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        let query = request.uri().query().unwrap_or("");
        RequestParams {
            request_id: text("x-request-id").unwrap_or_default(),
            number: headers.get("limpet-request").cloned(),
            run_time_ms: query_number(query, "ms")
                .unwrap_or(self.options.run_time_ms),
            bytes: query_number(query, "bytes").unwrap_or(0) as usize,
        }
    }

    /// Logs that a request runs or was refused, if executions are logged.
    fn record(&self, params: &RequestParams, ran: bool) {
        if !self.options.log_executions {
            return;
        }
        self.options.log.push(Execution {
            request_id: params.request_id.clone(),
            runner: self.options.name.clone(),
            arrived_at_ms: self.options.clock.now().as_ms(),
            ran,
        });
    }

    /// Returns an answer which tells that the request did not run.
    fn refusal(
        &self,
        params: &RequestParams,
        fault: RunnerFault,
    ) -> Response<BoxBody> {
        let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
        self.add_headers(response.headers_mut(), params, fault);
        response.headers_mut().insert(
            HeaderName::from_static("limpet-run"),
            HeaderValue::from_static("not_run"),
        );
        response
    }

    /// Adds the headers that tell the load, whether the runner is leaving, and
    /// which request is answered. A `limpet-request` header that is there
    /// already stays.
    fn add_headers(
        &self,
        headers: &mut HeaderMap,
        params: &RequestParams,
        fault: RunnerFault,
    ) {
        let load = self.in_flight.load(Ordering::SeqCst);
        headers.insert(
            HeaderName::from_static("limpet-load"),
            HeaderValue::from(load),
        );
        if fault == RunnerFault::Leaving {
            headers.insert(
                HeaderName::from_static("limpet-leaving"),
                HeaderValue::from_static("true"),
            );
        }
        let number = params.number.clone().filter(|_| self.options.echo);
        let name = HeaderName::from_static("limpet-request");
        if let Some(number) = number
            && !headers.contains_key(&name)
        {
            headers.insert(name, number);
        }
    }
}

/// Decrements the number of requests in flight when dropped, also if the
/// caller closes its connection.
struct InFlight<'a>(&'a AtomicU32);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Reads the body of a request; `None` if it can't be read to its end.
async fn read_body(request: &mut Request) -> Option<Bytes> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        body.extend_from_slice(&chunk.ok()?);
    }
    Some(body.freeze())
}

/// Returns a number from a query; `None` if it is missing or malformed.
fn query_number(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}
