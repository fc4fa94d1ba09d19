use bytes::Bytes;
use limpet_core::{DataCentre, WorkerId};
use limpet_platform::{EndpointEntry, embedded::EmbeddedPlatform};

use super::{
    call::{Reply, json},
    fault::{Faults, Port},
    fault_injector::FaultInjector,
};

/// What the paths for the switches start with.
pub(super) const ADMIN_PATH_PREFIX: &str = "/admin/";

/// Sets what goes wrong with some calls.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// The part of the platform; none stands for all.
    #[serde(default)]
    pub port: Option<Port>,
    /// The data centre of the callers; none stands for all.
    #[serde(default)]
    pub data_centre: Option<DataCentre>,
    /// What goes wrong from now on.
    #[serde(default)]
    pub faults: Faults,
}

/// Changes how a worker behaves.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerRequest {
    /// The worker.
    pub worker: WorkerId,
    /// Whether it says that it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Whether everything that it starts fails at once.
    #[serde(default)]
    pub failing: bool,
    /// Whether to stop and forget everything that runs there.
    #[serde(default)]
    pub restart: bool,
}

/// Answers a request for the switches themselves, which never fails on
/// purpose.
pub(super) fn answer(
    what: &str,
    body: &Bytes,
    platform: &EmbeddedPlatform,
    fault_injector: &FaultInjector,
) -> Result<Reply, String> {
    match what {
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
        _ => return Err(format!("no such switch: {what}")),
    }
    Ok(Reply::json(&()))
}

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
