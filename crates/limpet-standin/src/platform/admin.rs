use bytes::Bytes;
use limpet_core::{DataCentre, WorkerId};
use limpet_platform::{EndpointEntry, embedded::EmbeddedPlatform};

use super::{
    call::{Reply, json},
    fault::{Faults, Port},
    fault_injector::FaultInjector,
};

/// The prefix of the paths that control the stand-in itself.
pub(super) const ADMIN_PATH_PREFIX: &str = "/admin/";

/// A request to set the faults of some calls.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// The part of the platform; all parts if absent.
    #[serde(default)]
    pub port: Option<Port>,
    /// The data centre of the callers; all callers if absent.
    #[serde(default)]
    pub data_centre: Option<DataCentre>,
    /// The faults from now on, instead of earlier ones of the same scope.
    #[serde(default)]
    pub faults: Faults,
}

/// A request to change the behaviour of a worker.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerRequest {
    /// The name of the worker.
    pub worker: WorkerId,
    /// Whether it reports that it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Whether every task that it starts fails at once.
    #[serde(default)]
    pub failing: bool,
    /// Whether to restart it now: it stops all tasks and forgets their ends.
    #[serde(default)]
    pub restart: bool,
}

/// Answers a request that controls the stand-in. No faults are injected into
/// these requests. The error tells what is wrong with the request.
pub(super) fn answer(
    action: &str,
    body: &Bytes,
    platform: &EmbeddedPlatform,
    fault_injector: &FaultInjector,
) -> Result<Reply, String> {
    match action {
        "faults" => {
            let request: FaultRequest = json(body)?;
            let FaultRequest { port, data_centre, faults } = request;
            fault_injector.set(port, data_centre, faults);
        }
        "clear" => fault_injector.clear(),
        "worker" => set_worker(&json(body)?, platform),
        "endpoints" => {
            let entries: Vec<EndpointEntry> = json(body)?;
            platform.set_endpoints(entries);
        }
        "records" => {
            let now = platform.clock().now();
            return Ok(Reply::json(&platform.workers().records(now)));
        }
        _ => return Err(format!("unknown action `{action}`")),
    }
    Ok(Reply::json(&()))
}

/// Changes the behaviour of a worker. Does nothing if there is none of that
/// name.
fn set_worker(request: &WorkerRequest, platform: &EmbeddedPlatform) {
    let now = platform.clock().now();
    let mut workers = platform.workers();
    let name = request.worker.as_str();
    if let Some(worker) = workers.get_mut(name) {
        worker.set_leaving(request.leaving);
        worker.set_failing(request.failing);
    }
    if request.restart {
        workers.restart(name, now);
    }
}
