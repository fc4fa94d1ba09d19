use std::net::{SocketAddr, TcpListener};

use bpaf::{Parser, construct, long};
use limpet_standin::runner::{
    OverloadPolicy, RunnerFault, RunnerOptions, RunnerServer,
};

/// The flags of `limpet-standin runner`.
#[derive(Clone, Debug)]
pub struct RunnerCommand {
    address: SocketAddr,
    name: String,
    slots: u32,
    run_time_ms: u64,
    queue: bool,
    fault: RunnerFault,
}

/// Returns the parser of the flags.
pub fn parser() -> impl Parser<RunnerCommand> {
    let address = long("address")
        .help("IP address and port to listen at")
        .argument("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 7100)))
        .display_fallback();
    let name = long("name")
        .help("Name in the log of executions")
        .argument("NAME")
        .fallback("runner".to_owned());
    let slots = long("slots")
        .help("Number of requests that run at once")
        .argument("NUMBER")
        .fallback(8)
        .display_fallback();
    let run_time_ms = long("run-time-ms")
        .help("Run time in ms of a request that names none")
        .argument("NUMBER")
        .fallback(0)
        .display_fallback();
    let queue = long("queue")
        .help("Let requests wait for a slot instead of refusing them")
        .switch();
    let fault = long("fault")
        .help("How the runner misbehaves")
        .argument("FAULT")
        .fallback(RunnerFault::None)
        .display_fallback();
    construct!(RunnerCommand {
        address,
        name,
        slots,
        run_time_ms,
        queue,
        fault
    })
}

impl RunnerCommand {
    /// Serves requests until the process is stopped.
    ///
    /// # Errors
    ///
    /// Fails if the server can't listen at the address, or fails later.
    pub fn run(self) -> eyre::Result<()> {
        let overload_policy = match self.queue {
            true => OverloadPolicy::Queue,
            false => OverloadPolicy::Refuse,
        };
        let options = RunnerOptions::new(self.name)
            .slots(self.slots)
            .overload_policy(overload_policy)
            .run_time_ms(self.run_time_ms);
        let listener = TcpListener::bind(self.address)?;
        let server = RunnerServer::start_on(vec![(options, listener)], 1)?;
        for runner in server.runners() {
            runner.set_fault(self.fault);
            println!("runner at http://{}", runner.address());
        }
        server.wait()
    }
}
