//! Sends the counters to a StatsD server.

use std::{net::UdpSocket, time::Duration};

use cadence::{Counted, StatsdClient, UdpMetricSink};
use limpet_core::{Error, ErrorKind, Result};

use super::{Counter, Metrics};
use crate::settings::MetricSettings;

/// The prefix of every metric's name.
const PREFIX: &str = "limpetspur";

/// Starts a task that sends the increases of all counters at each interval,
/// for as long as the thread's runtime lives. Does nothing if no address is
/// set.
///
/// # Errors
///
/// [`ErrorKind::Internal`] if no UDP socket can be opened.
pub fn spawn_reporter(
    settings: &MetricSettings,
    metrics: Metrics,
) -> Result<()> {
    let Some(address) = settings.address else { return Ok(()) };
    let failed = |err: &dyn std::fmt::Display| {
        Error::new(
            ErrorKind::Internal,
            format!("can't send metrics to {address}: {err}"),
        )
    };
    let socket =
        UdpSocket::bind(("0.0.0.0", 0)).map_err(|err| failed(&err))?;
    socket.set_nonblocking(true).map_err(|err| failed(&err))?;
    let sink =
        UdpMetricSink::from(address, socket).map_err(|err| failed(&err))?;
    let client = StatsdClient::from_sink(PREFIX, sink);
    let interval = Duration::from_millis(settings.interval_ms);
    actix_rt::spawn(async move {
        let mut sent = vec![0; Counter::ALL.len()];
        loop {
            actix_rt::time::sleep(interval).await;
            send_changes(&client, &metrics, &mut sent);
        }
    });
    Ok(())
}

/// Sends the increase of each counter since it was last sent.
fn send_changes(client: &StatsdClient, metrics: &Metrics, sent: &mut [u64]) {
    for (&counter, sent) in Counter::ALL.iter().zip(sent) {
        let value = metrics.get(counter);
        // If sending fails, the increase is part of the next one.
        if client.count(counter.name(), (value - *sent) as i64).is_ok() {
            *sent = value;
        }
    }
}
