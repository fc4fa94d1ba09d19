use std::{
    io,
    net::{SocketAddr, TcpListener},
    thread::{self, JoinHandle},
    time::Duration,
};

use actix_http::HttpService;
use actix_server::{Server, ServerHandle};
use eyre::{WrapErr, eyre};
use limpet_platform::embedded::EmbeddedPlatform;

use super::{
    call::WORKER_PATH_PREFIX, fault_injector::FaultInjector, service::Service,
};

/// How long an unused connection is kept.
const KEEP_ALIVE_MS: u64 = 30_000;
/// How many connections may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// A platform served over HTTP by a thread of this process.
pub struct PlatformServer {
    address: SocketAddr,
    fault_injector: FaultInjector,
    platform: EmbeddedPlatform,
    handle: ServerHandle,
    thread: JoinHandle<io::Result<()>>,
}

impl PlatformServer {
    /// Returns the text that stands before a worker's name in its address,
    /// where a server listens at `address`.
    pub fn worker_address(address: SocketAddr) -> String {
        format!("{address}{WORKER_PATH_PREFIX}")
    }

    /// Starts to serve `platform` at `address`.
    ///
    /// # Errors
    ///
    /// The address can't be listened at.
    pub fn start(
        platform: EmbeddedPlatform,
        address: SocketAddr,
    ) -> eyre::Result<PlatformServer> {
        let listener = TcpListener::bind(address)
            .wrap_err_with(|| format!("can't listen at {address}"))?;
        PlatformServer::start_on(platform, listener)
    }

    /// Starts to serve `platform` on a listener, which tells its address
    /// before the workers are described.
    ///
    /// # Errors
    ///
    /// The listener has no address, or the server can't be built.
    pub fn start_on(
        platform: EmbeddedPlatform,
        listener: TcpListener,
    ) -> eyre::Result<PlatformServer> {
        let address = listener.local_addr()?;
        let fault_injector = FaultInjector::default();
        let service = Service::new(platform.clone(), fault_injector.clone());
        let (sender, receiver) = std::sync::mpsc::channel();
        let thread = thread::Builder::new()
            .name("platform".to_owned())
            .spawn(move || {
                actix_rt::System::new().block_on(async move {
                    let server = build(service, listener)?;
                    let _ = sender.send(server.handle());
                    server.await
                })
            })?;
        let handle = receiver
            .recv()
            .map_err(|_| eyre!("the server at {address} didn't start"))?;
        Ok(PlatformServer {
            address,
            fault_injector,
            platform,
            handle,
            thread,
        })
    }

    /// Returns the address that is listened at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the fault switches.
    pub fn fault_injector(&self) -> &FaultInjector {
        &self.fault_injector
    }

    /// Returns the platform that is served.
    pub fn platform(&self) -> &EmbeddedPlatform {
        &self.platform
    }

    /// Serves until the process is told to end.
    ///
    /// # Errors
    ///
    /// The server failed.
    pub fn wait(self) -> eyre::Result<()> {
        let result = self.thread.join();
        Ok(result.map_err(|_| eyre!("the server panicked"))??)
    }

    /// Stops at once, in the midst of calls.
    ///
    /// # Errors
    ///
    /// The server failed.
    pub fn stop(self) -> eyre::Result<()> {
        // The stop is sent before the returned future is first polled.
        drop(self.handle.stop(false));
        self.wait()
    }
}

fn build(service: Service, listener: TcpListener) -> io::Result<Server> {
    let server = Server::build()
        .workers(1)
        .disable_signals()
        .backlog(BACKLOG)
        .listen("platform", listener, move || {
            let service = service.clone();
            HttpService::build()
                .keep_alive(Duration::from_millis(KEEP_ALIVE_MS))
                .finish(move |request| service.clone().answer(request))
                .tcp()
        })?
        .run();
    Ok(server)
}
