use std::net::SocketAddr;

use bpaf::{Parser, construct, long};
use limpet_core::{DataCentre, Resources};
use limpet_platform::{
    Clock,
    embedded::{self, EmbeddedOptions},
};
use limpet_standin::platform::PlatformServer;

/// The flags of `limpet-standin platform`.
#[derive(Clone, Debug)]
pub struct PlatformCommand {
    address: SocketAddr,
    workers: u32,
    workers_per_rack: u32,
    cores: u64,
    memory_mb: u64,
    accelerators: u64,
    data_centres: Vec<DataCentre>,
    run_time_scale: f64,
    directory_lag_ms: u64,
}

/// Returns the parser of the flags.
pub fn parser() -> impl Parser<PlatformCommand> {
    let address = long("address")
        .help("IP address and port to listen at")
        .argument("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 7000)))
        .display_fallback();
    let workers = number("workers", "Number of workers", 8);
    let workers_per_rack = number("workers-per-rack", "Workers in a rack", 8);
    let cores = number("cores", "Cores of a worker", 16);
    let memory_mb = number("memory-mb", "Memory of a worker, in MiB", 65_536);
    let accelerators = number("accelerators", "Accelerators of a worker", 0);
    let data_centres = long("data-centre")
        .help("A data centre; repeat the flag for several")
        .argument("NAME")
        .many();
    let run_time_scale = long("run-time-scale")
        .help("Ratio of actual to declared run time of tasks")
        .argument("FACTOR")
        .fallback(1.0)
        .display_fallback();
    let directory_lag_ms =
        number("directory-lag-ms", "Lag of the directory, in ms", 0);
    construct!(PlatformCommand {
        address,
        workers,
        workers_per_rack,
        cores,
        memory_mb,
        accelerators,
        data_centres,
        run_time_scale,
        directory_lag_ms,
    })
}

/// Returns the parser of a flag that takes a number.
fn number<T>(
    name: &'static str,
    help: &'static str,
    fallback: T,
) -> impl Parser<T>
where
    T: std::str::FromStr + std::fmt::Display + Clone + 'static,
    T::Err: std::fmt::Display,
{
    long(name)
        .help(help)
        .argument("NUMBER")
        .fallback(fallback)
        .display_fallback()
}

impl PlatformCommand {
    /// Serves the platform until the process is stopped.
    ///
    /// # Errors
    ///
    /// Fails if the server can't listen at the address, or fails later.
    pub fn run(self) -> eyre::Result<()> {
        let capacity = Resources::new(
            self.cores * 1_000,
            self.memory_mb,
            self.accelerators,
        );
        let options = EmbeddedOptions::new()
            .workers(self.workers)
            .workers_per_rack(self.workers_per_rack)
            .worker_capacity(capacity)
            .data_centres(self.data_centres)
            .run_time_scale(self.run_time_scale)
            .directory_lag_ms(self.directory_lag_ms)
            .worker_address(&PlatformServer::worker_address(self.address))
            .keep_records(true);
        let platform = embedded::platform(&options, Clock::monotonic());
        let server = PlatformServer::start(platform, self.address)?;
        println!("platform at http://{}", server.address());
        server.wait()
    }
}
