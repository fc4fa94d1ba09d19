use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
};

use actix_http::{HttpService, Request};
use actix_server::Server;
use actix_service::{fn_factory, fn_service};
use arc_swap::ArcSwap;
use limpet_core::{
    DataCentre, EndpointId, InstanceId, ServiceName, TimeMs,
    config::{CellConfig, ServiceConfig},
};
use limpet_platform::{Clock, EndpointEntry, MemberState};
use limpet_standin::runner::RunnerServer;
use limpetd::{
    View, ViewCell,
    routing::{
        TrafficActivity, TrafficContext, TrafficOptions, TrafficParts, handle,
    },
};
use slog::Logger;

/// The name of the routed service.
const SERVICE: &str = "signup";
/// The slots of each runner: more than the load can fill, so that requests
/// never wait and the benchmark shows the proxy's own time.
const SLOTS: u32 = 1_024;

/// Returns the path at the proxy of a path of the service.
pub(super) fn proxy_path(path: &str) -> String {
    format!("/services/{SERVICE}{path}")
}

/// Starts a proxy with one traffic thread in front of `runners` and returns
/// its address. The proxy runs until the process ends.
pub(super) fn start_proxy(
    runners: &RunnerServer,
    logger: Logger,
) -> eyre::Result<SocketAddr> {
    let view: ViewCell = Arc::new(ArcSwap::from_pointee(view(runners)?));
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        actix_rt::System::new()
            .block_on(async move { serve(listener, view, logger)?.await })
    });
    Ok(address)
}

fn serve(
    listener: TcpListener,
    view: ViewCell,
    logger: Logger,
) -> std::io::Result<Server> {
    let builder = Server::build().workers(1).disable_signals();
    let builder = builder.listen("proxy", listener, move || {
        let (view, logger) = (Arc::clone(&view), logger.clone());
        HttpService::build()
            .finish(fn_factory(move || {
                let ctx = TrafficContext::new(TrafficParts {
                    options: TrafficOptions::new(),
                    view: Arc::clone(&view),
                    claims: None,
                    activity: TrafficActivity::default(),
                    logger: logger.clone(),
                    clock: Clock::monotonic(),
                    wall_clock: Clock::wall(),
                });
                async move {
                    Ok::<_, ()>(fn_service(move |request: Request| {
                        let ctx = ctx.clone();
                        async move {
                            Ok::<_, Infallible>(handle(request, &ctx).await)
                        }
                    }))
                }
            }))
            .tcp()
    })?;
    Ok(builder.run())
}

/// Returns a view with one service, whose endpoints are the runners.
fn view(runners: &RunnerServer) -> eyre::Result<View> {
    let service = ServiceName::new(SERVICE)?;
    let data_centre = DataCentre::new("athens")?;
    let open = ServiceConfig { open: true, ..ServiceConfig::default() };
    let endpoints = runners
        .runners()
        .iter()
        .zip(0..)
        .map(|(runner, index)| {
            Ok(EndpointEntry {
                endpoint: EndpointId::new(&format!("r{index}"))?,
                service: service.clone(),
                data_centre: data_centre.clone(),
                address: runner.address().to_string(),
                slots: SLOTS,
                connections: SLOTS,
                state: MemberState::Live,
            })
        })
        .collect::<limpet_core::Result<Vec<_>>>()?;
    Ok(View {
        instance: InstanceId::new("i1")?,
        data_centre,
        config: Arc::new(CellConfig {
            services: BTreeMap::from([(service, open)]),
            ..CellConfig::default()
        }),
        keys_fresh_until: TimeMs::MAX,
        endpoints: Arc::new(endpoints),
        instances: 1,
        instance_rank: 0,
        leaving: false,
    })
}
