//! The HTTP server and its traffic threads.

use std::{
    convert::Infallible,
    net::TcpListener,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use actix_http::{HttpService, Request};
use actix_server::Server;
use limpet_core::{Error, ErrorKind, Result};

use super::{
    context::{ApiContext, ThreadContext},
    dispatch::dispatch,
};
use crate::routing::{TrafficContext, TrafficOptions, TrafficParts};

/// Returns the HTTP server, listening with its traffic threads running. Await
/// it to serve until it is stopped.
///
/// # Errors
///
/// [`ErrorKind::Internal`] if it can't listen on the address in the settings.
pub fn build_server(context: &ApiContext) -> Result<Server> {
    let address = context.settings.instance.http_address;
    let failed = |err: &dyn std::fmt::Display| {
        Error::new(
            ErrorKind::Internal,
            format!("can't listen on instance.http_address {address}: {err}"),
        )
    };
    let listener = TcpListener::bind(address).map_err(|err| failed(&err))?;
    let limits = context.settings.limits;
    let instance = &context.settings.instance;
    let threads = instance.traffic_threads as u32;
    let started = Arc::new(AtomicU32::new(0));
    let context = context.clone();
    let builder = Server::build();
    let shutdown = builder.graceful_shutdown_signal();
    let server = builder
        .workers(instance.traffic_threads as usize)
        .disable_signals()
        .shutdown_timeout(instance.shutdown_ms.div_ceil(1_000))
        .max_concurrent_connections(limits.connections as usize)
        .listen("http", listener, move || {
            // Called once for each traffic thread, and again for a thread
            // that replaces a crashed one: its index starts again at 0.
            let number = started.fetch_add(1, Ordering::Relaxed) % threads;
            let thread = build_thread_context(&context, number);
            let shutdown = shutdown.clone();
            HttpService::build()
                .client_request_timeout(Duration::from_millis(
                    limits.header_ms,
                ))
                .keep_alive(Duration::from_millis(limits.idle_ms))
                .graceful_shutdown_signal(move || {
                    let shutdown = shutdown.clone();
                    async move { shutdown.notified().await }
                })
                .finish(move |request: Request| {
                    let thread = thread.clone();
                    async move {
                        Ok::<_, Infallible>(dispatch(request, &thread).await)
                    }
                })
                .tcp_auto_h2c()
        })
        .map_err(|err| failed(&err))?
        .run();
    Ok(server)
}

/// Returns the context of the traffic thread with this index.
fn build_thread_context(context: &ApiContext, number: u32) -> ThreadContext {
    let settings = &context.settings;
    let options = TrafficOptions::new()
        .thread(number, settings.instance.traffic_threads as u32)
        .body_limit_bytes(settings.limits.service_body_bytes);
    ThreadContext {
        traffic: TrafficContext::new(TrafficParts {
            options,
            view: context.view.clone(),
            claims: Some(context.claims.clone()),
            activity: context.activity.clone(),
            logger: context.log.clone(),
            clock: context.clock.clone(),
            wall_clock: context.wall_clock.clone(),
        }),
        api: Rc::new(context.clone()),
    }
}
