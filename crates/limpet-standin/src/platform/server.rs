use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
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
use crate::slow_link::SlowLink;

/// How long an idle connection is kept.
const KEEP_ALIVE_MS: u64 = 30_000;
/// The most connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// A server of a platform over HTTP, on a thread of this process.
pub struct PlatformServer {
    address: SocketAddr,
    fault_injector: FaultInjector,
    link: Arc<SlowLink>,
    platform: EmbeddedPlatform,
    handle: ServerHandle,
    thread: JoinHandle<io::Result<()>>,
}

impl PlatformServer {
    /// Returns the text before a worker's name in its address if a server
    /// listens at `address`.
    pub fn worker_address(address: SocketAddr) -> String {
        format!("{address}{WORKER_PATH_PREFIX}")
    }

    /// Starts to serve `platform` at `address`.
    ///
    /// # Errors
    ///
    /// Fails if the server can't listen at the address.
    pub fn start(
        platform: EmbeddedPlatform,
        address: SocketAddr,
    ) -> eyre::Result<PlatformServer> {
        let listener = TcpListener::bind(address)
            .wrap_err_with(|| format!("can't listen at {address}"))?;
        PlatformServer::start_on(platform, listener)
    }

    /// Starts to serve `platform` on a listener. A caller needs the listener's
    /// address beforehand, if it is part of the addresses of the platform's
    /// workers.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no address or the server doesn't start.
    pub fn start_on(
        platform: EmbeddedPlatform,
        listener: TcpListener,
    ) -> eyre::Result<PlatformServer> {
        let address = listener.local_addr()?;
        let fault_injector = FaultInjector::default();
        let link = Arc::new(SlowLink::default());
        let service = Service::new(
            platform.clone(),
            fault_injector.clone(),
            Arc::clone(&link),
        );
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
            link,
            platform,
            handle,
            thread,
        })
    }

    /// Returns the address that the server listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the faults, to change them.
    pub fn fault_injector(&self) -> &FaultInjector {
        &self.fault_injector
    }

    /// Limits the bytes per second of the bodies of all requests and answers
    /// together; 0 sets no limit.
    pub fn limit_bandwidth(&self, bytes_per_s: u64) {
        self.link.limit(bytes_per_s);
    }

    /// Returns the platform that is served.
    pub fn platform(&self) -> &EmbeddedPlatform {
        &self.platform
    }

    /// Waits until the server ends.
    ///
    /// # Errors
    ///
    /// Fails if the server failed or panicked.
    pub fn wait(self) -> eyre::Result<()> {
        let result = self.thread.join();
        Ok(result.map_err(|_| eyre!("the server panicked"))??)
    }

    /// Stops the server at once, without waiting for calls in flight.
    ///
    /// # Errors
    ///
    /// As [`PlatformServer::wait`].
    pub fn stop(self) -> eyre::Result<()> {
        // The stop is sent by the call itself, so its future need not be
        // polled.
        drop(self.handle.stop(false));
        self.wait()
    }
}

/// Builds a server that answers on the listener with a single thread.
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
