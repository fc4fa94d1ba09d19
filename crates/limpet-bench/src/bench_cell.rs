use std::{
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use eyre::{OptionExt, bail};
use limpet_platform::{
    Clock,
    embedded::{self, EmbeddedOptions},
};
use limpet_standin::{
    cell::{Daemon, DaemonSettings, LoopbackHost},
    platform::PlatformServer,
};
use limpetctl::Client;

use crate::options::BenchOptions;

/// The data centres of the cell.
pub(crate) const DATA_CENTRES: [&str; 3] = ["athens", "patras", "volos"];
/// The API key of the operator that the daemons' settings configure.
const OPERATOR_KEY: &str = "first-operator:test-secret";
/// The time limit of each call to a daemon.
const CALL_TIMEOUT_MS: u64 = 10_000;
/// The number of workers in the cell.
const WORKERS: u32 = 6;
/// How many times a daemon is asked for the owners of the shards before the
/// start counts as failed.
const MAX_POLLS: u32 = 600;
/// The pause between two such queries.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The daemons of one cell, each a process of its own, on a platform that
/// this process serves.
pub(crate) struct BenchCell {
    /// Kept so that the platform is served as long as the daemons run.
    _platform: PlatformServer,
    pub(crate) daemons: Vec<Daemon>,
}

impl BenchCell {
    /// Starts a daemon for each entry of `data_centres`, and waits until each
    /// of them reports an owner for every shard. A data centre may be named
    /// more than once.
    ///
    /// # Errors
    ///
    /// A process can't be started, or a daemon reports no owner for some
    /// shard after about 30 s.
    pub(crate) async fn start(
        options: &BenchOptions,
        data_centres: &[&str],
    ) -> eyre::Result<BenchCell> {
        let platform = start_platform()?;
        let mut daemons = Vec::new();
        for (index, data_centre) in data_centres.iter().enumerate() {
            let name = format!("{data_centre}-{}", index + 1);
            let address = platform.address();
            daemons.push(
                start_daemon(options, &name, data_centre, address).await?,
            );
        }
        let cell = BenchCell { _platform: platform, daemons };
        for client in cell.clients() {
            wait_until_complete(&client).await?;
        }
        Ok(cell)
    }

    /// Returns a client for each daemon that sends the operator's key.
    pub(crate) fn clients(&self) -> Vec<Client> {
        self.clients_with(OPERATOR_KEY)
    }

    /// Returns a client for each daemon that sends the given key.
    pub(crate) fn clients_with(&self, key: &str) -> Vec<Client> {
        let addresses = self.daemons.iter().map(|daemon| {
            let address = daemon.host().http_address().to_string();
            Client::new(&address, Some(key), CALL_TIMEOUT_MS)
        });
        addresses.collect()
    }
}

fn start_platform() -> eyre::Result<PlatformServer> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let data_centres: Result<Vec<_>, _> =
        DATA_CENTRES.iter().map(|name| name.parse()).collect();
    let options = EmbeddedOptions::new()
        .workers(WORKERS)
        .data_centres(data_centres?)
        .worker_address(&PlatformServer::worker_address(address));
    let platform = embedded::platform(&options, Clock::monotonic());
    PlatformServer::start_on(platform, listener)
}

async fn start_daemon(
    options: &BenchOptions,
    instance: &str,
    data_centre: &str,
    platform: SocketAddr,
) -> eyre::Result<Daemon> {
    let settings =
        DaemonSettings::new(instance, data_centre, LoopbackHost::next())
            .platform(platform)
            .data_centres(&DATA_CENTRES)
            .log_level("warning");
    Daemon::start(&options.binaries.join("limpetd"), &settings).await
}

/// Waits until the daemon reports an owner for every shard.
///
/// # Errors
///
/// Some shard has no owner after about 30 s.
pub(crate) async fn wait_until_complete(client: &Client) -> eyre::Result<()> {
    for _ in 0..MAX_POLLS {
        let answer = client.command("show shards").await;
        let complete = answer.as_ref().is_ok_and(|answer| {
            answer.rows.len() == DATA_CENTRES.len()
                && answer.missing.is_empty()
        });
        if complete {
            return Ok(());
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    let last = client.command("show shards").await.ok();
    let last = last.ok_or_eyre("no answer to `show shards`")?;
    bail!("some shard has no owner; last answer: {last:?}")
}
