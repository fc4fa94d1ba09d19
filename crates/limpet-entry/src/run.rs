//! Starts an entry instance, and shuts it down on `SIGTERM`.

use std::{path::PathBuf, rc::Rc, time::Duration};

use limpet_core::Result;
use slog::{Logger, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{
    clock, config_watch::follow_config, link::serve_advice_requests,
    node::Node, ownership::contend_for_ownership, serve::serve,
    settings::EntrySettings,
};

/// The fraction of the shutdown time in which clients are served in any case.
/// The balancer needs two failed checks, of a second each, before it stops
/// sending new ones.
const SERVING_SHARE: f64 = 0.7;
/// The fraction of the shutdown time after which the process exits even with
/// requests in progress.
const EXIT_SHARE: f64 = 0.92;
/// How often the counters are logged.
const COUNTS_PERIOD_S: u64 = 10;
/// How often a shutdown checks for requests in progress.
const SHUTDOWN_POLL_MS: u64 = 50;

/// Runs an entry instance until `SIGTERM`, then shuts it down gracefully.
///
/// `path` is the settings file, which `SIGHUP` checks again. The settings in
/// use do not change.
///
/// # Errors
///
/// Returns an error if a listener cannot be bound or a signal handler cannot
/// be installed.
pub async fn run_entry(
    settings: EntrySettings,
    path: PathBuf,
    log: Logger,
) -> Result<()> {
    let node = Node::new(settings, log);
    info!(node.log, "entry: started";
        "instance" => &node.settings.instance.name,
        "data_centre" => &node.settings.instance.data_centre,
        "incarnation" => node.incarnation);
    let terminate = listen_for(SignalKind::terminate())?;
    let reload = listen_for(SignalKind::hangup())?;
    serve(&node).await?;
    actix_rt::spawn(follow_config(Rc::clone(&node)));
    actix_rt::spawn(contend_for_ownership(Rc::clone(&node)));
    actix_rt::spawn(serve_advice_requests(Rc::clone(&node)));
    actix_rt::spawn(report_counts(Rc::clone(&node)));
    actix_rt::spawn(check_reloads(Rc::clone(&node), reload, path));
    wait_for_shutdown(&node, terminate).await;
    info!(node.log, "entry: stopped"; "in_flight" => node.in_flight.get());
    Ok(())
}

/// Installs a signal handler.
fn listen_for(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|err| {
        limpet_core::Error::new(
            limpet_core::ErrorKind::Internal,
            format!("cannot handle signal {}: {err}", kind.as_raw_value()),
        )
    })
}

/// Logs the counters periodically, for operators without the metrics.
async fn report_counts(node: Rc<Node>) {
    let period = Duration::from_secs(COUNTS_PERIOD_S);
    loop {
        actix_rt::time::sleep(period).await;
        info!(node.log, "entry: counters so far";
            "accepted" => node.metrics.accepted.get(),
            "refused" => node.metrics.refused(),
            "starts" => node.metrics.starts.get(),
            "store_calls" => ?node.store.calls());
    }
}

/// Checks the settings file on each reload signal.
async fn check_reloads(node: Rc<Node>, mut reload: Signal, path: PathBuf) {
    while reload.recv().await.is_some() {
        match EntrySettings::from_file(&path) {
            Ok(_) => info!(
                node.log,
                "entry: settings file valid; a restart applies it"
            ),
            Err(err) => {
                warn!(node.log, "entry: settings file invalid; ignored";
                    "reason" => err.message());
            }
        }
    }
}

/// Waits for the signal to terminate. Then serves clients for
/// [`SERVING_SHARE`] of the shutdown time, and waits for requests in progress
/// and for the release of the cell up to [`EXIT_SHARE`] of it.
async fn wait_for_shutdown(node: &Node, mut terminate: Signal) {
    terminate.recv().await;
    let began = clock::now();
    node.stopping.set(true);
    info!(node.log, "entry: shutting down; requests may finish";
        "in_flight" => node.in_flight.get());
    if let Some(owner) = node.owner.borrow().as_ref() {
        owner.notify_shutdown();
    }
    let grace_ms = node.settings.instance.shutdown_s * 1_000.0;
    let serving_ms = (grace_ms * SERVING_SHARE) as u64;
    let last_ms = (grace_ms * EXIT_SHARE) as u64;
    loop {
        let passed_ms = clock::now().ms_since(began);
        let is_owner = node.owner.borrow().is_some();
        let idle = node.in_flight.get() == 0 && !is_owner;
        if passed_ms >= last_ms || passed_ms >= serving_ms && idle {
            return;
        }
        let pause = Duration::from_millis(SHUTDOWN_POLL_MS);
        actix_rt::time::sleep(pause).await;
    }
}
