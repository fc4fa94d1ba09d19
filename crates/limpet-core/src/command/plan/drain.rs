use super::{Plan, PlanContext, plan_if_changed, unknown_name};
use crate::{
    EndpointId, ErrorKind, InstanceId, Result, WorkerId, command::DrainTarget,
    config::ConfigChange,
};

/// The known machines, which can be drained.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Machines {
    /// The workers.
    pub workers: Vec<WorkerId>,
    /// The endpoints.
    pub endpoints: Vec<EndpointId>,
    /// The instances.
    pub instances: Vec<InstanceId>,
}

/// Plans to drain a machine, or to release it where `drained` is false.
pub(super) fn drain(
    context: PlanContext<'_>,
    target: &DrainTarget,
    drained: bool,
) -> Result<Plan> {
    let config = context.config;
    check_known(target, context.machines, drained)?;
    let (was_drained, change) = match target.clone() {
        DrainTarget::Worker(worker) => (
            config.drained_workers.contains(&worker),
            ConfigChange::DrainWorker { worker, drained },
        ),
        DrainTarget::Endpoint(endpoint) => (
            config.drained_endpoints.contains(&endpoint),
            ConfigChange::DrainEndpoint { endpoint, drained },
        ),
        DrainTarget::Instance(instance) => (
            config.drained_instances.contains(&instance),
            ConfigChange::DrainInstance { instance, drained },
        ),
    };
    let describe = |drained: bool| match drained {
        true => format!("{target} drained"),
        false => format!("{target} in use"),
    };
    Ok(plan_if_changed(
        (&was_drained, describe(was_drained)),
        (&drained, describe(drained)),
        change,
    ))
}

/// Checks that a machine to be drained is known, so that a misspelt name is
/// refused.
///
/// An unknown machine can still be released, so that the name of a machine
/// that no longer exists can be removed from the configuration.
fn check_known(
    target: &DrainTarget,
    machines: &Machines,
    drained: bool,
) -> Result<()> {
    let (object, name, known): (_, _, Vec<&str>) = match target {
        DrainTarget::Worker(worker) => (
            "worker",
            worker.as_str(),
            machines.workers.iter().map(WorkerId::as_str).collect(),
        ),
        DrainTarget::Endpoint(endpoint) => (
            "endpoint",
            endpoint.as_str(),
            machines.endpoints.iter().map(EndpointId::as_str).collect(),
        ),
        DrainTarget::Instance(instance) => (
            "instance",
            instance.as_str(),
            machines.instances.iter().map(InstanceId::as_str).collect(),
        ),
    };
    if !drained || known.contains(&name) {
        return Ok(());
    }
    Err(unknown_name(ErrorKind::NotFound, object, name, known.into_iter()))
}
