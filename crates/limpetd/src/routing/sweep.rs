//! Checks a traffic thread's idle connections and suspected runners.

use std::time::Duration;

use limpet_core::{EndpointId, ServiceName, TimeMs};
use slog::info;
use tokio::time::sleep;

use super::{
    TrafficContext, context::WeakContext, pool::connect_within,
    thread_state::ThreadState,
};

/// How often idle connections are checked. A runner that has left must get no
/// new requests after 2 s; closed connections reveal it well before.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Starts the background task of a traffic thread. It ends when the context
/// is dropped.
pub(crate) fn start(weak: WeakContext) {
    actix_rt::spawn(async move {
        loop {
            sleep(SWEEP_INTERVAL).await;
            let Some(context) = TrafficContext::upgrade(&weak) else { return };
            sweep(&context, &weak);
        }
    });
}

/// Applies the newest view, removes unusable idle connections and probes the
/// suspected runners.
fn sweep(context: &TrafficContext, weak: &WeakContext) {
    let now = context.now();
    let view = context.view();
    context
        .with_state(|state| state.force_sync(context.options(), &view, now));
    let suspects = context.with_state(|state| find_suspects(state, now));
    for (service, endpoint, address) in suspects {
        let weak = weak.clone();
        let timeout_ms = context.options().connect_timeout_ms;
        actix_rt::spawn(async move {
            let connected = connect_within(&address, timeout_ms).await;
            let Some(context) = TrafficContext::upgrade(&weak) else { return };
            record_probe(&context, &service, &endpoint, connected.is_ok());
        });
    }
}

/// The service, the name and the address of a suspected runner.
type Suspect = (ServiceName, EndpointId, String);

/// Removes the unusable idle connections of all runners. Returns the runners
/// that must be probed, because they closed a connection and have neither
/// answered a request nor accepted a connection since.
fn find_suspects(state: &mut ThreadState, now: TimeMs) -> Vec<Suspect> {
    let mut suspects = Vec::new();
    for (service, service_state) in &mut state.services {
        let names: Vec<EndpointId> = service_state
            .router
            .endpoints()
            .iter()
            .map(|endpoint| endpoint.spec.endpoint.clone())
            .collect();
        for name in names {
            let Some(pool) = state.pools.get_mut(&name) else { continue };
            let closed = pool.sweep(now).closed > 0;
            let Some(endpoint) = service_state.router.get_mut(&name) else {
                continue;
            };
            if closed {
                endpoint.mark_suspected();
            }
            if endpoint.needs_probe() {
                let address = pool.address().to_owned();
                suspects.push((service.clone(), name, address));
            }
        }
    }
    suspects
}

/// Records whether a suspected runner accepted a new connection.
fn record_probe(
    context: &TrafficContext,
    service: &ServiceName,
    endpoint: &EndpointId,
    accepted: bool,
) {
    let now = context.now();
    context.with_service(service, |state| {
        if let Some(endpoint) = state.router.get_mut(endpoint) {
            endpoint.record_probe(accepted, now);
        }
    });
    if !accepted {
        info!(
            context.logger(),
            "route: runner unreachable; sending it no requests for now";
            "service" => service.as_str(),
            "runner" => endpoint.as_str(),
            "why" => "closed a connection and accepts no new one",
        );
    }
    context.assign_free_slots(service);
}
