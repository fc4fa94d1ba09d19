//! Decodes HTTP requests into calls and carries them out on the embedded
//! platform.

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use limpet_platform::{
    InstanceEntry, Transaction, WorkerRequest,
    embedded::EmbeddedPlatform,
    http::message::{
        COMMIT_PATH, EXCHANGE_PATH_SUFFIX, LIST_MEMBERS_PATH,
        LIST_OBJECTS_PATH, ListObjectsRequest, OBJECT_PATH_PREFIX, READ_PATH,
        REGISTER_PATH, ReadRequest, SCAN_PATH, ScanRequest,
    },
};
use serde::{Serialize, de::DeserializeOwned};

use super::fault::Port;

/// The path before a worker's name in the path of its requests.
pub(super) const WORKER_PATH_PREFIX: &str = "/workers/";

/// A call to the platform.
#[derive(Clone, Debug)]
pub(super) enum Call {
    Commit(Transaction),
    Read(ReadRequest),
    Scan(ScanRequest),
    PutObject { name: String, content: Bytes },
    GetObject { name: String },
    ListObjects(ListObjectsRequest),
    DeleteObject { name: String },
    ListMembers,
    Register(InstanceEntry),
    Exchange { worker: String, request: WorkerRequest },
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) body: Bytes,
    /// Whether the answer tells that the call had no effect.
    pub(super) no_effect: bool,
}

impl Call {
    /// Decodes a call. The error tells what is wrong with the request.
    pub(super) fn parse(
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<Call, String> {
        if let Some(name) = path.strip_prefix(OBJECT_PATH_PREFIX) {
            return object_call(method, name, body);
        }
        if let Some(worker) = worker_of(path) {
            let worker = worker.to_owned();
            let request = json(body)?;
            return Ok(Call::Exchange { worker, request });
        }
        match path {
            COMMIT_PATH => json(body).map(Call::Commit),
            READ_PATH => json(body).map(Call::Read),
            SCAN_PATH => json(body).map(Call::Scan),
            LIST_OBJECTS_PATH => json(body).map(Call::ListObjects),
            LIST_MEMBERS_PATH => Ok(Call::ListMembers),
            REGISTER_PATH => json(body).map(Call::Register),
            _ => Err(format!("unknown path `{path}`")),
        }
    }

    /// Returns the part of the platform that is called.
    pub(super) fn port(&self) -> Port {
        match self {
            Call::Commit(_) | Call::Read(_) | Call::Scan(_) => Port::Table,
            Call::PutObject { .. }
            | Call::GetObject { .. }
            | Call::ListObjects(_)
            | Call::DeleteObject { .. } => Port::Objects,
            Call::ListMembers | Call::Register(_) => Port::Directory,
            Call::Exchange { .. } => Port::Workers,
        }
    }

    /// Carries the call out and returns its answer.
    pub(super) fn perform(&self, platform: &EmbeddedPlatform) -> Reply {
        let now = platform.clock().now();
        match self {
            Call::Commit(transaction) => {
                Reply::json(&platform.table().commit(transaction))
            }
            Call::Read(request) => {
                Reply::json(&platform.table().read(&request.key))
            }
            Call::Scan(ScanRequest { prefix, after, limit }) => {
                Reply::json(&platform.table().scan(prefix, after, *limit))
            }
            Call::PutObject { name, content } => {
                platform.objects().put(name, content.clone());
                Reply::json(&())
            }
            Call::GetObject { name } => match platform.objects().get(name) {
                Some(body) => Reply::new(StatusCode::OK, body),
                None => Reply::new(StatusCode::NO_CONTENT, Bytes::new()),
            },
            Call::ListObjects(request) => {
                Reply::json(&platform.objects().list(&request.prefix))
            }
            Call::DeleteObject { name } => {
                platform.objects().delete(name);
                Reply::json(&())
            }
            Call::ListMembers => Reply::json(&platform.directory().list(now)),
            Call::Register(entry) => {
                platform.directory().register(entry.clone(), now);
                Reply::json(&())
            }
            Call::Exchange { worker, request } => {
                match platform.workers().exchange(worker, request, now) {
                    Some(report) => Reply::json(&report),
                    None => Reply::refusal(format!("no worker `{worker}`")),
                }
            }
        }
    }
}

impl Reply {
    pub(super) fn new(status: StatusCode, body: Bytes) -> Reply {
        Reply { status, body, no_effect: false }
    }

    /// Returns a successful answer with a JSON body.
    pub(super) fn json(value: &impl Serialize) -> Reply {
        match serde_json::to_vec(value) {
            Ok(body) => Reply::new(StatusCode::OK, Bytes::from(body)),
            Err(err) => Reply::new(
                StatusCode::INTERNAL_SERVER_ERROR,
                Bytes::from(err.to_string()),
            ),
        }
    }

    /// Returns a refusal which tells that the call had no effect.
    pub(super) fn refusal(why: String) -> Reply {
        Reply {
            status: StatusCode::SERVICE_UNAVAILABLE,
            body: Bytes::from(why),
            no_effect: true,
        }
    }
}

fn object_call(
    method: &Method,
    name: &str,
    body: &Bytes,
) -> Result<Call, String> {
    let name = name.to_owned();
    match *method {
        Method::PUT => Ok(Call::PutObject { name, content: body.clone() }),
        Method::GET => Ok(Call::GetObject { name }),
        Method::DELETE => Ok(Call::DeleteObject { name }),
        _ => Err(format!(
            "method {method} for an object: expected PUT, GET or DELETE"
        )),
    }
}

/// Returns the name of the worker that a request to this path goes to, or
/// `None` if the path isn't that of a worker.
fn worker_of(path: &str) -> Option<&str> {
    path.strip_prefix(WORKER_PATH_PREFIX)?.strip_suffix(EXCHANGE_PATH_SUFFIX)
}

/// Decodes a JSON body. The error tells what is wrong with it.
pub(super) fn json<T: DeserializeOwned>(body: &Bytes) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|err| err.to_string())
}
