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

/// The data centres of every cell of a bench.
pub(crate) const CENTRES: [&str; 3] = ["athens", "patras", "volos"];
/// The key with which daemons of a bench start.
const KEY: &str = "first-operator:test-secret";
/// The longest that a call may take, in milliseconds.
const TIMEOUT_MS: u64 = 10_000;
/// The workers of the whole cell.
const WORKERS: u32 = 6;
/// How often, and with which pause, a cell is asked whether it is whole.
const WAIT_ROUNDS: u32 = 600;
const WAIT_PAUSE: Duration = Duration::from_millis(50);

/// Daemons of one cell as processes, and the platform under them.
pub(crate) struct BenchCell {
    /// Stays alive as long as the daemons.
    _platform: PlatformServer,
    pub(crate) daemons: Vec<Daemon>,
}

impl BenchCell {
    /// Starts a daemon in each of these data centres, and waits until every
    /// one of them sees an owner for each shard.
    ///
    /// # Errors
    ///
    /// A process could not be started, or the cell didn't become whole.
    pub(crate) async fn start(
        options: &BenchOptions,
        centres: &[&str],
    ) -> eyre::Result<BenchCell> {
        let platform = start_platform()?;
        let mut daemons = Vec::new();
        for (index, centre) in centres.iter().enumerate() {
            let name = format!("{centre}-{}", index + 1);
            let address = platform.address();
            daemons.push(start(options, &name, centre, address).await?);
        }
        let cell = BenchCell { _platform: platform, daemons };
        for client in cell.clients() {
            wait_until_complete(&client).await?;
        }
        Ok(cell)
    }

    /// Returns a caller with the operator's key for each daemon.
    pub(crate) fn clients(&self) -> Vec<Client> {
        self.clients_with(KEY)
    }

    /// Returns a caller with a key for each daemon.
    pub(crate) fn clients_with(&self, key: &str) -> Vec<Client> {
        let addresses = self.daemons.iter().map(|daemon| {
            let address = daemon.host().http_address().to_string();
            Client::new(&address, Some(key), TIMEOUT_MS)
        });
        addresses.collect()
    }
}

fn start_platform() -> eyre::Result<PlatformServer> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let centres: Result<Vec<_>, _> =
        CENTRES.iter().map(|name| name.parse()).collect();
    let options = EmbeddedOptions::new()
        .workers(WORKERS)
        .data_centres(centres?)
        .worker_address(&PlatformServer::worker_address(address));
    let platform = embedded::platform(&options, Clock::monotonic());
    PlatformServer::start_on(platform, listener)
}

async fn start(
    options: &BenchOptions,
    instance: &str,
    centre: &str,
    platform: SocketAddr,
) -> eyre::Result<Daemon> {
    let settings = DaemonSettings::new(instance, centre, LoopbackHost::next())
        .platform(platform)
        .data_centres(&CENTRES)
        .log_level("warning");
    Daemon::start(&options.binaries.join("limpetd"), &settings).await
}

/// Waits until a daemon names an owner for every shard.
pub(crate) async fn wait_until_complete(client: &Client) -> eyre::Result<()> {
    for _ in 0..WAIT_ROUNDS {
        let answer = client.command("show shards").await;
        let complete = answer.as_ref().is_ok_and(|answer| {
            answer.rows.len() == CENTRES.len() && answer.missing.is_empty()
        });
        if complete {
            return Ok(());
        }
        actix_rt::time::sleep(WAIT_PAUSE).await;
    }
    let last = client.command("show shards").await.ok();
    let last = last.ok_or_eyre("no answer at all")?;
    bail!("not every shard has an owner: {last:?}")
}
