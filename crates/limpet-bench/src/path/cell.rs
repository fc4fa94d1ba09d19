use std::{net::SocketAddr, time::Duration};

use eyre::bail;
use limpet_platform::{
    Clock, EndpointEntry, MemberState,
    embedded::{self, EmbeddedOptions},
};
use limpet_standin::{
    cell::{Client, Daemon, DaemonSettings, LoopbackHost},
    platform::PlatformServer,
    runner::{RunnerHandle, RunnerOptions, RunnerServer},
};

use crate::options::BenchOptions;

/// The number of workers of the embedded platform, as written to the
/// daemon's settings.
const WORKERS: &str = "64";
/// The number of runners of the routed service.
const RUNNERS: u32 = 4;
/// The pause between two checks whether the daemon accepts work.
const POLL_MS: u64 = 50;
/// The time within which the daemon must accept work after its start.
const START_TIMEOUT_MS: u64 = 20_000;

/// Starts a release build of the daemon with its embedded platform, and waits
/// until it accepts a job and routes a request.
pub(super) async fn start_daemon(
    options: &BenchOptions,
) -> eyre::Result<Daemon> {
    let host = LoopbackHost::next();
    let settings = DaemonSettings::new("bench-1", "athens", host)
        .traffic_threads(2)
        .embedded("workers", WORKERS)
        .log_level("warning");
    let binary = options.binaries.join("limpetd");
    let daemon = Daemon::start(&binary, &settings).await?;
    let client = daemon.client();
    for _ in 0..START_TIMEOUT_MS / POLL_MS {
        if accepts_work(&client).await {
            return Ok(daemon);
        }
        sleep_ms(POLL_MS).await;
    }
    bail!("daemon accepts no work; its log: {}", daemon.log())
}

/// A daemon with a platform and runners that this process serves.
pub(super) struct RoutedCell {
    pub(super) daemon: Daemon,
    runners: RunnerServer,
    _platform: PlatformServer,
}

impl RoutedCell {
    /// Starts the cell and waits until the daemon routes a request.
    pub(super) async fn start(
        options: &BenchOptions,
    ) -> eyre::Result<RoutedCell> {
        let names = (1..=RUNNERS).map(|number| format!("r-{number}"));
        let runner = |name| RunnerOptions::new(name).log_executions(false);
        let runners = RunnerServer::start(names.map(runner).collect(), 1)?;
        let workers = EmbeddedOptions::new().workers(1);
        let platform = embedded::platform(&workers, Clock::monotonic());
        platform.set_endpoints(endpoints(&runners)?);
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformServer::start(platform, any_port)?;
        let host = LoopbackHost::next();
        let settings = DaemonSettings::new("bench-1", "athens", host)
            .platform(platform.address())
            .traffic_threads(2)
            .log_level("warning");
        let binary = options.binaries.join("limpetd");
        let daemon = Daemon::start(&binary, &settings).await?;
        let cell = RoutedCell { daemon, runners, _platform: platform };
        let client = cell.daemon.client();
        for _ in 0..START_TIMEOUT_MS / POLL_MS {
            let answer = client.call_service("/services/enrolment/").await;
            if matches!(answer, Ok((200, _))) {
                return Ok(cell);
            }
            sleep_ms(POLL_MS).await;
        }
        bail!("daemon routes no request; its log: {}", cell.daemon.log())
    }

    /// Returns the address of the first runner.
    pub(super) fn runner_address(&self) -> SocketAddr {
        self.runners.runners()[0].address()
    }
}

/// Returns the directory's entries for the runners.
fn endpoints(runners: &RunnerServer) -> eyre::Result<Vec<EndpointEntry>> {
    let runners = runners.runners().iter().enumerate();
    let entry = |(index, runner): (usize, &RunnerHandle)| {
        Ok(EndpointEntry {
            endpoint: format!("r-{}", index + 1).parse()?,
            service: "enrolment".parse()?,
            data_centre: "athens".parse()?,
            address: runner.address().to_string(),
            slots: 8,
            connections: 64,
            state: MemberState::Live,
        })
    };
    runners.map(entry).collect()
}

/// Returns whether the daemon accepts a job and routes a request.
async fn accepts_work(client: &Client) -> bool {
    let accepted = client.submit(&job_file(1, 1)).await.is_ok();
    let answer = client.call_service("/services/enrolment/").await;
    accepted && matches!(answer, Ok((200, _)))
}

/// Returns a job file with a number of equal tasks.
pub(super) fn job_file(tasks: u32, run_time_ms: u64) -> String {
    format!(
        "name = \"bench\"\nteam = \"rosters\"\nqueue = \"batch\"\n[[tasks]]\n\
         name = \"part\"\ncount = {tasks}\ncores = 1\nmemory_mb = \
         64\nrun_time_ms = {run_time_ms}\nidempotent = true\n"
    )
}

async fn sleep_ms(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}
