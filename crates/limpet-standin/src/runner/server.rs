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

/// The most connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// How long an idle connection is kept.
const KEEP_ALIVE_MS: u64 = 30_000;

/// A server of stand-in runners, on a thread of this process.
pub struct RunnerServer {
    runners: Vec<RunnerHandle>,
    handle: ServerHandle,
    thread: JoinHandle<io::Result<()>>,
}

/// A handle to one runner of a [`RunnerServer`].
#[derive(Clone)]
pub struct RunnerHandle {
    runner: Arc<Runner>,
    address: SocketAddr,
}

impl RunnerHandle {
    /// Returns the address that it listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets its fault, for requests that arrive from now on.
    pub fn set_fault(&self, fault: RunnerFault) {
        self.runner.set_fault(fault);
    }

    /// Returns the log of its executions.
    pub fn log(&self) -> &ExecutionLog {
        &self.runner.options().log
    }

    /// Returns the number of requests in flight, also those that wait for a
    /// slot.
    pub fn in_flight(&self) -> u32 {
        self.runner.in_flight()
    }
}

impl RunnerServer {
    /// Starts a runner for each of `options`, each at a free port of
    /// 127.0.0.1. They share `threads` threads.
    ///
    /// # Errors
    ///
    /// Fails if no port is free or the server doesn't start.
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
            .wrap_err("can't listen at a free port for a runner")?;
        RunnerServer::start_on(listeners, threads)
    }

    /// Starts a runner on each listener. They share `threads` threads.
    ///
    /// # Errors
    ///
    /// Fails if a listener has no address or the server doesn't start.
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
                    // The receiver exists: `start_on` waits for this message.
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

    /// Closes the listeners and stops the server. If `graceful`, requests in
    /// flight are answered first, for at most 10 s.
    ///
    /// # Errors
    ///
    /// Fails if the server failed or panicked.
    pub fn stop(self, graceful: bool) -> eyre::Result<()> {
        // The stop is sent by the call itself; the thread ends when the
        // server has stopped.
        drop(self.handle.stop(graceful));
        let ended = self.thread.join();
        ended.map_err(|_| eyre!("the runners' thread panicked"))??;
        Ok(())
    }

    /// Waits until the server ends.
    ///
    /// # Errors
    ///
    /// Fails if the server failed or panicked.
    pub fn wait(self) -> eyre::Result<()> {
        let ended = self.thread.join();
        ended.map_err(|_| eyre!("the runners' thread panicked"))??;
        Ok(())
    }
}

/// Builds a server that answers for each runner on its listener.
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
