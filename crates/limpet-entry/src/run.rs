use std::{path::PathBuf, rc::Rc, time::Duration};

use limpet_core::Result;
use slog::{Logger, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{
    clock, config_watch::follow_config, link::serve_advice, node::Node,
    ownership::take_part, serve::serve, settings::EntrySettings,
};

/// The part of the time to end in which clients are still served. The
/// balancer needs two misses of a second each to send no new ones.
const SERVING_SHARE: f64 = 0.7;
/// The part of the time to end after which the process ends in any case.
const LAST_SHARE: f64 = 0.92;
/// How often the counters are written to the log.
const COUNTS_PERIOD_S: u64 = 10;
/// How often the end looks for requests in flight.
const END_POLL_MS: u64 = 50;

/// Runs an entry instance until it is asked to end.
///
/// # Errors
///
/// Those of binding the listeners and of the signals.
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
    let terminate = catch(SignalKind::terminate())?;
    let reload = catch(SignalKind::hangup())?;
    serve(&node).await?;
    actix_rt::spawn(follow_config(Rc::clone(&node)));
    actix_rt::spawn(take_part(Rc::clone(&node)));
    actix_rt::spawn(serve_advice(Rc::clone(&node)));
    actix_rt::spawn(report_counts(Rc::clone(&node)));
    actix_rt::spawn(follow_reloads(Rc::clone(&node), reload, path));
    wait_for_end(&node, terminate).await;
    info!(node.log, "entry: ended"; "in_flight" => node.in_flight.get());
    Ok(())
}

fn catch(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|err| {
        limpet_core::Error::new(
            limpet_core::ErrorKind::Internal,
            format!("signal {}: {err}", kind.as_raw_value()),
        )
    })
}

/// Writes the counters to the log, for those who have only the log.
async fn report_counts(node: Rc<Node>) {
    let period = Duration::from_secs(COUNTS_PERIOD_S);
    loop {
        actix_rt::time::sleep(period).await;
        info!(node.log, "entry: counts";
            "accepted" => node.metrics.accepted.get(),
            "refused" => node.metrics.refused(),
            "starts" => node.metrics.starts.get(),
            "store_calls" => ?node.store.calls());
    }
}

async fn follow_reloads(node: Rc<Node>, mut reload: Signal, path: PathBuf) {
    while reload.recv().await.is_some() {
        match EntrySettings::from_file(&path) {
            Ok(_) => info!(node.log, "entry: settings read anew"),
            Err(err) => {
                warn!(node.log, "entry: settings not read";
                    "reason" => err.message());
            }
        }
    }
}

/// Serves on until the request to end, then lets what is under way finish.
async fn wait_for_end(node: &Node, mut terminate: Signal) {
    terminate.recv().await;
    let began = clock::now();
    node.stopping.set(true);
    info!(node.log, "entry: ends"; "in_flight" => node.in_flight.get());
    if let Some(owner) = node.owner.borrow().as_ref() {
        owner.hurry();
    }
    let grace_ms = node.settings.instance.shutdown_s * 1_000.0;
    let serving_ms = (grace_ms * SERVING_SHARE) as u64;
    let last_ms = (grace_ms * LAST_SHARE) as u64;
    loop {
        let passed_ms = clock::now().ms_since(began);
        let idle = node.in_flight.get() == 0;
        if passed_ms >= last_ms || passed_ms >= serving_ms && idle {
            return;
        }
        let pause = Duration::from_millis(END_POLL_MS);
        actix_rt::time::sleep(pause).await;
    }
}
