//! Starts the parts of an instance, and shuts them down.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use limpet_core::{
    EndpointId, Error, ErrorKind, Resources, Result, TimeMs,
    config::CellConfig, ownership::Holder,
};
use limpet_platform::{
    Clock, EndpointEntry, MemberState, Platform,
    embedded::{self, EmbeddedOptions},
    http::{self, HttpOptions},
};
use slog::{Logger, info, o, warn};

use crate::{
    Settings, View, ViewCell,
    api::{ApiContext, build_server},
    control::{Control, ControlHandle, ControlParts, spawn_control},
    embedded_runner,
    link::{self, Peers},
    metrics::{Metrics, spawn_reporter},
    refusals::Refusals,
    routing::{TrafficActivity, claim_channel},
    settings::PlatformSettings,
};

/// How often a shutdown checks for requests in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How many checks in a row must find no request before the listener closes.
const IDLE_POLLS: u32 = 50;

/// Runs an instance until SIGTERM or SIGINT, and then shuts it down
/// gracefully.
///
/// The calling thread, which must run an `actix_rt` system, becomes the
/// control thread.
///
/// # Errors
///
/// [`ErrorKind::Internal`] if an address can't be listened on.
pub async fn run_daemon(settings: Settings, log: Logger) -> Result<()> {
    let log =
        log.new(o!("instance" => settings.instance.id.as_str().to_owned()));
    let clock = Clock::monotonic();
    let wall_clock = Clock::steady_wall();
    let metrics = Metrics::default();
    let view: ViewCell =
        Arc::new(ArcSwap::from_pointee(initial_view(&settings)));
    let platform = open_platform(&settings, &clock)?;
    spawn_reporter(&settings.metrics, metrics.clone())?;

    let activity = TrafficActivity::default();
    let incarnation = rand::random();
    let (claims, claim_server) = claim_channel();
    let holder = Holder {
        instance: settings.instance.id.clone(),
        incarnation,
        link_address: settings.instance.link_address.to_string(),
    };
    actix_rt::spawn(claim_server.serve(
        platform.table.clone(),
        holder,
        wall_clock.clone(),
    ));
    let refusals = Refusals::new(settings.instance.id.clone(), incarnation);
    let (handle, requests) = ControlHandle::new();
    let control = spawn_control(
        ControlParts {
            settings: settings.clone(),
            platform,
            clock: clock.clone(),
            wall_clock: wall_clock.clone(),
            log: log.clone(),
            metrics: metrics.clone(),
            view: view.clone(),
            peers: Peers::new(metrics.clone()),
            refusals: refusals.clone(),
            incarnation,
        },
        requests,
    );
    link::serve(
        settings.instance.link_address,
        control.clone(),
        metrics.clone(),
        log.clone(),
    )
    .await?;
    let server = build_server(&ApiContext {
        settings: settings.clone(),
        control: handle,
        claims,
        activity: activity.clone(),
        view,
        clock,
        wall_clock,
        log: log.clone(),
        metrics,
        refusals,
    })?;
    info!(log, "daemon: started; serving requests";
        "http" => %settings.instance.http_address,
        "link" => %settings.instance.link_address);
    let server_handle = server.handle();
    let serving = actix_rt::spawn(server);
    wait_for_signal(&log).await;
    shut_down(&settings, &control, server_handle, &activity, &log).await;
    drop(serving);
    info!(log, "daemon: stopped; exiting");
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal(log: &Logger) {
    use tokio::signal::unix::{SignalKind, signal};

    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        warn!(log, "daemon: can't handle signals; only killing it stops it");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Shuts down gracefully: refuses new jobs, releases the shards to other
/// instances, and finishes the requests in flight, in the time that the
/// settings allow.
async fn shut_down(
    settings: &Settings,
    control: &Control,
    server: actix_server::ServerHandle,
    activity: &TrafficActivity,
    log: &Logger,
) {
    info!(log, "daemon: shutting down; refusing new work");
    control.start_leaving();
    let time_limit = Duration::from_millis(settings.instance.shutdown_ms);
    let shutdown = async {
        control.release_shards().await;
        wait_until_idle(activity, time_limit / 2).await;
        // The server waits for the requests in flight and closes idle
        // connections.
        server.stop(true).await;
        actix_rt::time::sleep(POLL_INTERVAL).await;
    };
    if actix_rt::time::timeout(time_limit, shutdown).await.is_err() {
        warn!(log, "daemon: shutdown took too long; ending requests in flight";
            "shutdown_ms" => settings.instance.shutdown_ms);
    }
}

/// Waits until no more requests arrive, but for `time_limit` at most.
///
/// Answers tell callers to close their connections, and the health check tells
/// the load balancer that this instance is leaving. The listener stays open
/// until callers have moved on, because a refused or reset connection is a
/// failed request to them.
async fn wait_until_idle(activity: &TrafficActivity, time_limit: Duration) {
    let until_idle = async {
        let mut begun = activity.begun();
        let mut idle_polls = 0;
        while idle_polls < IDLE_POLLS {
            actix_rt::time::sleep(POLL_INTERVAL).await;
            let now_begun = activity.begun();
            let idle = now_begun == begun && activity.in_flight() == 0;
            idle_polls = if idle { idle_polls + 1 } else { 0 };
            begun = now_begun;
        }
    };
    // A caller that doesn't move on must not block the shutdown.
    drop(actix_rt::time::timeout(time_limit, until_idle).await);
}

/// Returns the view for the time before the control thread publishes one.
fn initial_view(settings: &Settings) -> View {
    View {
        instance: settings.instance.id.clone(),
        data_centre: settings.instance.data_centre.clone(),
        config: Arc::new(CellConfig::default()),
        keys_fresh_until: TimeMs::ZERO,
        endpoints: Arc::default(),
        instances: 1,
        instance_rank: 0,
        leaving: false,
    }
}

/// Returns the ports of the platform in the settings.
fn open_platform(settings: &Settings, clock: &Clock) -> Result<Platform> {
    match settings.platform {
        PlatformSettings::Embedded => open_embedded(settings, clock),
        PlatformSettings::Http { address, timeout_ms } => {
            let options = HttpOptions::new(address)
                .data_centre(settings.instance.data_centre.clone())
                .timeout_ms(timeout_ms);
            Ok(http::platform(options))
        }
    }
}

/// Starts the embedded platform with its runners.
fn open_embedded(settings: &Settings, clock: &Clock) -> Result<Platform> {
    let embedded = &settings.embedded;
    let options = EmbeddedOptions::new()
        .workers(embedded.workers as u32)
        .workers_per_rack(embedded.workers_per_rack as u32)
        .worker_capacity(Resources::new(
            embedded.cores * 1_000,
            embedded.memory_mb,
            embedded.accelerators,
        ))
        .data_centres(settings.cell.data_centres.clone())
        .run_time_scale(embedded.run_time_scale);
    let platform = embedded::platform(&options, clock.clone());
    platform.set_endpoints(start_runners(settings)?);
    Ok(platform.ports())
}

/// Starts the runners of each service and returns their endpoints.
fn start_runners(settings: &Settings) -> Result<Vec<EndpointEntry>> {
    let mut entries = Vec::new();
    for service in &settings.cell.services {
        for number in 1..=settings.embedded.runners {
            let name = format!("{}-{number}", service.name);
            let endpoint = EndpointId::new(&name)?;
            let address =
                embedded_runner::start(&endpoint).map_err(|err| {
                    Error::new(
                        ErrorKind::Internal,
                        format!("can't start runner {endpoint}: {err}"),
                    )
                })?;
            entries.push(EndpointEntry {
                endpoint,
                service: service.name.clone(),
                data_centre: settings.instance.data_centre.clone(),
                address: address.to_string(),
                slots: embedded_runner::SLOTS,
                connections: embedded_runner::CONNECTIONS,
                state: MemberState::Live,
            });
        }
    }
    Ok(entries)
}
