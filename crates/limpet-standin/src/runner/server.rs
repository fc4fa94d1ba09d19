use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use actix_http::{HttpService, KeepAlive, Request};
use actix_server::{Server, ServerHandle};
use eyre::{WrapErr, eyre};

use super::{ExecutionLog, RunnerFault, RunnerOptions, service::Runner};

/// How many connections may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// How long an unused connection is kept.
const KEEP_ALIVE_MS: u64 = 30_000;

/// Stand-in runners, served by a thread of this process.
pub struct RunnerServer {
    runners: Vec<RunnerHandle>,
    handle: ServerHandle,
    thread: JoinHandle<io::Result<()>>,
}

/// One runner of a [`RunnerServer`].
#[derive(Clone)]
pub struct RunnerHandle {
    runner: Arc<Runner>,
    address: SocketAddr,
}

impl RunnerHandle {
    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what it does wrong.
    pub fn set_fault(&self, fault: RunnerFault) {
        self.runner.set_fault(fault);
    }

    /// Returns what it did.
    pub fn log(&self) -> &ExecutionLog {
        &self.runner.options().log
    }

    /// Returns how many requests it has under way.
    pub fn in_flight(&self) -> u32 {
        self.runner.in_flight()
    }
}

impl RunnerServer {
    /// Starts one runner for each of `options`, each at a free port of
    /// 127.0.0.1, with `threads` threads for all of them.
    ///
    /// # Errors
    ///
    /// No port is free, or the server can't be built.
    pub fn start(
        options: Vec<RunnerOptions>,
        threads: usize,
    ) -> eyre::Result<RunnerServer> {
        let listeners = options
            .into_iter()
            .map(|options| {
                let listener = TcpListener::bind("127.0.0.1:0")?;
                Ok((options, listener))
            })
            .collect::<io::Result<Vec<_>>>()
            .wrap_err("no port for a runner")?;
        RunnerServer::start_on(listeners, threads)
    }

    /// Starts one runner on each listener.
    ///
    /// # Errors
    ///
    /// A listener has no address, or the server can't be built.
    pub fn start_on(
        listeners: Vec<(RunnerOptions, TcpListener)>,
        threads: usize,
    ) -> eyre::Result<RunnerServer> {
        let mut runners = Vec::new();
        let mut served = Vec::new();
        for (options, listener) in listeners {
            let address = listener.local_addr()?;
            let runner = Arc::new(Runner::new(options));
            served.push((Arc::clone(&runner), listener));
            runners.push(RunnerHandle { runner, address });
        }
        let (sender, receiver) = std::sync::mpsc::channel();
        let thread = thread::Builder::new().name("runners".to_owned()).spawn(
            move || {
                actix_rt::System::new().block_on(async move {
                    let server = build(served, threads)?;
                    // The starter waits for it and can't have gone away.
                    drop(sender.send(server.handle()));
                    server.await
                })
            },
        )?;
        let handle = receiver
            .recv()
            .map_err(|_| eyre!("the runners' server did not start"))?;
        Ok(RunnerServer { runners, handle, thread })
    }

    /// Returns the runners, in the order of their options.
    pub fn runners(&self) -> &[RunnerHandle] {
        &self.runners
    }

    /// Closes the listeners and then, where `graceful`, waits for what is
    /// in flight.
    ///
    /// # Errors
    ///
    /// The server failed.
    pub fn stop(self, graceful: bool) -> eyre::Result<()> {
        // The command is sent at once; its answer is the thread's end.
        drop(self.handle.stop(graceful));
        let ended = self.thread.join();
        ended.map_err(|_| eyre!("the runners' thread panicked"))??;
        Ok(())
    }

    /// Waits until the server ends on its own.
    ///
    /// # Errors
    ///
    /// The server failed.
    pub fn wait(self) -> eyre::Result<()> {
        let ended = self.thread.join();
        ended.map_err(|_| eyre!("the runners' thread panicked"))??;
        Ok(())
    }
}

fn build(
    served: Vec<(Arc<Runner>, TcpListener)>,
    threads: usize,
) -> io::Result<Server> {
    let mut builder = Server::build();
    let shutdown = builder.graceful_shutdown_signal();
    builder = builder
        .workers(threads)
        .backlog(BACKLOG)
        .disable_signals()
        .shutdown_timeout(10);
    for (runner, listener) in served {
        let shutdown = shutdown.clone();
        builder = builder.listen("runner", listener, move || {
            let runner = Arc::clone(&runner);
            let shutdown = shutdown.clone();
            HttpService::build()
                .graceful_shutdown_signal(move || {
                    let shutdown = shutdown.clone();
                    async move { shutdown.notified().await }
                })
                .keep_alive(KeepAlive::Timeout(Duration::from_millis(
                    KEEP_ALIVE_MS,
                )))
                .finish(move |request: Request| {
                    let runner = Arc::clone(&runner);
                    async move {
                        Ok::<_, actix_http::Error>(
                            runner.answer(request).await,
                        )
                    }
                })
                .tcp()
        })?;
    }
    Ok(builder.run())
}
