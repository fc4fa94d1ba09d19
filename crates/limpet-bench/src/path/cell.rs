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

/// The workers of the embedded platform.
const WORKERS: &str = "64";
/// The runners of the routed service.
const RUNNERS: u32 = 4;
/// How often the daemon is asked whether it takes work.
const POLL_MS: u64 = 50;
/// The longest that a start may take.
const START_LIMIT_MS: u64 = 20_000;

/// Starts a release daemon on the embedded platform and waits until it
/// takes work.
pub(super) async fn start(options: &BenchOptions) -> eyre::Result<Daemon> {
    let host = LoopbackHost::next();
    let settings = DaemonSettings::new("bench-1", "athens", host)
        .traffic_threads(2)
        .embedded("workers", WORKERS)
        .log_level("warning");
    let binary = options.binaries.join("limpetd");
    let daemon = Daemon::start(&binary, &settings).await?;
    let client = daemon.client();
    for _ in 0..START_LIMIT_MS / POLL_MS {
        if takes_work(&client).await {
            return Ok(daemon);
        }
        sleep_ms(POLL_MS).await;
    }
    bail!("the daemon takes no work: {}", daemon.log())
}

/// A daemon, a stand-in platform and stand-in runners.
pub(super) struct RoutedCell {
    pub(super) daemon: Daemon,
    runners: RunnerServer,
    _platform: PlatformServer,
}

impl RoutedCell {
    /// Starts the cell and waits until requests are routed.
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
        for _ in 0..START_LIMIT_MS / POLL_MS {
            let answer = client.call_service("/services/enrolment/").await;
            if matches!(answer, Ok((200, _))) {
                return Ok(cell);
            }
            sleep_ms(POLL_MS).await;
        }
        bail!("no request is routed: {}", cell.daemon.log())
    }

    /// Returns the address of one of the runners.
    pub(super) fn runner_address(&self) -> SocketAddr {
        self.runners.runners()[0].address()
    }
}

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

async fn takes_work(client: &Client) -> bool {
    let accepted = client.submit(&job_file(1, 1)).await.is_ok();
    let answer = client.call_service("/services/enrolment/").await;
    accepted && matches!(answer, Ok((200, _)))
}

/// Returns a job file of like tasks.
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
