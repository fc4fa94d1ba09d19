use std::{net::UdpSocket, time::Duration};

use cadence::{Counted, StatsdClient, UdpMetricSink};
use limpet_core::{Error, ErrorKind, Result};

use super::{Counter, Metrics};
use crate::settings::MetricSettings;

/// The text that every metric's name starts with.
const PREFIX: &str = "limpetspur";

/// Sends what was counted since the last time, at each interval, for as long
/// as the thread's runtime lives. Does nothing where no address is set.
///
/// # Errors
///
/// [`ErrorKind::Internal`] where no UDP socket can be opened.
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

fn send_changes(client: &StatsdClient, metrics: &Metrics, sent: &mut [u64]) {
    for (&counter, sent) in Counter::ALL.iter().zip(sent) {
        let value = metrics.get(counter);
        // A datagram that doesn't leave is counted again the next time.
        if client.count(counter.name(), (value - *sent) as i64).is_ok() {
            *sent = value;
        }
    }
}
