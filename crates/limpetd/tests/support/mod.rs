//! The traffic code of the daemon behind a listener, with stand-in runners.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod claims;

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use actix_http::{HttpService, Request};
use actix_server::{Server, ServerHandle};
use actix_service::{fn_factory, fn_service};
use arc_swap::ArcSwap;
use limpet_core::{
    DataCentre, EndpointId, InstanceId, KeyId, Revision, ServiceName,
    TeamName, TimeMs,
    config::{CellConfig, KeySecret, Role, ServiceConfig, TeamConfig},
};
use limpet_platform::{Clock, EndpointEntry, MemberState};
use limpet_standin::{
    caller::{CallerAnswer, CallerConnection, CallerError, CallerRequest},
    runner::{RunnerHandle, RunnerOptions, RunnerServer},
};
use limpetd::{
    View, ViewCell,
    routing::{
        ClaimPort, TrafficActivity, TrafficContext, TrafficOptions,
        TrafficParts, handle,
    },
};
use slog::{Discard, Logger, o};

/// The service of these tests.
pub const SERVICE: &str = "signup";
/// The team that the key of these tests was granted to.
pub const TEAM: &str = "rosters";

/// The traffic thread of an instance, behind a listener.
pub struct Proxy {
    pub address: SocketAddr,
    pub view: ViewCell,
    handle: ServerHandle,
    thread: JoinHandle<()>,
}

/// A proxy and its runners.
pub struct Stage {
    pub proxy: Proxy,
    pub runners: RunnerServer,
}

/// The key of [`TEAM`].
pub fn key() -> KeySecret {
    let id = KeyId::new("k1").expect("a name");
    KeySecret::new(id, "the-secret")
}

pub fn service_name() -> ServiceName {
    ServiceName::new(SERVICE).expect("a name")
}

pub fn team_name() -> TeamName {
    TeamName::new(TEAM).expect("a name")
}

/// Returns a configuration with an open service and a team with a key.
pub fn config() -> CellConfig {
    let service = ServiceConfig { open: true, deadline_ms: 10_000 };
    let record =
        key().to_record(Some(team_name()), Role::Submit, [7; 32], None);
    CellConfig {
        revision: Revision::new(1),
        teams: BTreeMap::from([(team_name(), TeamConfig::default())]),
        services: BTreeMap::from([(service_name(), service)]),
        keys: BTreeMap::from([(key().id().clone(), record)]),
        ..CellConfig::default()
    }
}

/// Returns the entry of a runner in the platform's list.
pub fn entry(name: &str, address: SocketAddr) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId::new(name).expect("a name"),
        service: service_name(),
        data_centre: DataCentre::new("athens").expect("a name"),
        address: address.to_string(),
        slots: 8,
        connections: 64,
        state: MemberState::Live,
    }
}

/// Returns the view of a single instance.
pub fn view(config: CellConfig, endpoints: Vec<EndpointEntry>) -> View {
    View {
        instance: InstanceId::new("i1").expect("a name"),
        data_centre: DataCentre::new("athens").expect("a name"),
        config: Arc::new(config),
        keys_fresh_until: TimeMs::MAX,
        endpoints: Arc::new(endpoints),
        instances: 1,
        instance_rank: 0,
        leaving: false,
    }
}

/// Returns the name of the runner with this number.
pub fn runner_name(index: usize) -> String {
    format!("r{index}")
}

impl Proxy {
    /// Starts a proxy on a thread of its own. Without `claims`, it refuses
    /// requests with an idempotency key.
    pub fn start(
        options: TrafficOptions,
        view: View,
        claims: Option<ClaimPort>,
    ) -> Proxy {
        let view: ViewCell = Arc::new(ArcSwap::from_pointee(view));
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, receiver) = std::sync::mpsc::channel();
        let cell = Arc::clone(&view);
        let thread = thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let server = serve(listener, options, cell, claims);
                sender.send(server.handle()).expect("the test waits");
                server.await.expect("the proxy serves");
            });
        });
        let handle = receiver.recv().expect("the proxy starts");
        Proxy { address, view, handle, thread }
    }

    /// Returns the proxy's path for a path of the service.
    pub fn path(path: &str) -> String {
        format!("/services/{SERVICE}{path}")
    }

    /// Publishes a view that `change` has changed.
    pub fn change_view(&self, change: impl FnOnce(&mut View)) {
        let mut view = View::clone(&self.view.load());
        change(&mut view);
        self.view.store(Arc::new(view));
    }

    /// Stops the proxy gracefully and waits until it has ended.
    pub fn stop(self) {
        drop(self.handle.stop(true));
        self.thread.join().expect("the proxy ends");
    }

    /// Begins a graceful shutdown.
    pub fn begin_stop(&self) {
        drop(self.handle.stop(true));
    }

    /// Returns whether the proxy has ended.
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }
}

/// Returns the proxy's server with one traffic thread.
fn serve(
    listener: TcpListener,
    options: TrafficOptions,
    view: ViewCell,
    claims: Option<ClaimPort>,
) -> Server {
    let builder = Server::build();
    let shutdown = builder.graceful_shutdown_signal();
    builder
        .workers(1)
        .disable_signals()
        .shutdown_timeout(20)
        .listen("proxy", listener, move || {
            let (options, view) = (options.clone(), Arc::clone(&view));
            let claims = claims.clone();
            let shutdown = shutdown.clone();
            HttpService::build()
                .graceful_shutdown_signal(move || {
                    let shutdown = shutdown.clone();
                    async move { shutdown.notified().await }
                })
                .finish(fn_factory(move || {
                    let context = TrafficContext::new(TrafficParts {
                        options: options.clone(),
                        view: Arc::clone(&view),
                        claims: claims.clone(),
                        activity: TrafficActivity::default(),
                        logger: Logger::root(Discard, o!()),
                        clock: Clock::monotonic(),
                        wall_clock: Clock::wall(),
                    });
                    async move {
                        Ok::<_, ()>(fn_service(move |request: Request| {
                            let context = context.clone();
                            async move {
                                Ok::<_, actix_http::Error>(
                                    handle(request, &context).await,
                                )
                            }
                        }))
                    }
                }))
                .tcp_auto_h2c()
        })
        .expect("the listener works")
        .run()
}

impl Stage {
    /// Starts `count` runners without faults and a proxy.
    pub fn start(count: usize) -> Stage {
        Stage::start_with(count, TrafficOptions::new(), |options| options)
    }

    /// Starts `count` runners with adjusted options and a proxy.
    pub fn start_with(
        count: usize,
        options: TrafficOptions,
        adjust: impl Fn(RunnerOptions) -> RunnerOptions,
    ) -> Stage {
        Stage::start_claiming(count, options, adjust, None)
    }

    /// Starts `count` runners with adjusted options and a proxy with claims.
    pub fn start_claiming(
        count: usize,
        options: TrafficOptions,
        adjust: impl Fn(RunnerOptions) -> RunnerOptions,
        claims: Option<ClaimPort>,
    ) -> Stage {
        let (runners, entries) = start_runners(count, adjust);
        let proxy = Proxy::start(options, view(config(), entries), claims);
        Stage { proxy, runners }
    }

    /// Returns the runner with this index.
    pub fn runner(&self, index: usize) -> &RunnerHandle {
        &self.runners.runners()[index]
    }
}

/// Starts runners with adjusted options, and returns them with their entries
/// in the platform's list.
pub fn start_runners(
    count: usize,
    adjust: impl Fn(RunnerOptions) -> RunnerOptions,
) -> (RunnerServer, Vec<EndpointEntry>) {
    start_numbered(0, count, adjust)
}

/// As [`start_runners`], with runners that are numbered from `first`.
pub fn start_numbered(
    first: usize,
    count: usize,
    adjust: impl Fn(RunnerOptions) -> RunnerOptions,
) -> (RunnerServer, Vec<EndpointEntry>) {
    let options = (first..first + count)
        .map(|index| adjust(RunnerOptions::new(runner_name(index))))
        .collect();
    let runners = RunnerServer::start(options, 1).expect("runners start");
    let entries = runners
        .runners()
        .iter()
        .zip(first..)
        .map(|(runner, index)| entry(&runner_name(index), runner.address()))
        .collect();
    (runners, entries)
}

/// Runs a future on an `actix_rt` system.
pub fn run<T>(client: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(client)
}

/// Sends a GET request with an id on a new connection.
pub async fn get(
    proxy: &Proxy,
    path: &str,
    request_id: &str,
) -> Result<CallerAnswer, CallerError> {
    call(proxy, CallerRequest::get(Proxy::path(path)), request_id).await
}

/// Sends a POST request with an id on a new connection.
pub async fn post(
    proxy: &Proxy,
    path: &str,
    request_id: &str,
    body: &'static [u8],
) -> Result<CallerAnswer, CallerError> {
    let request = CallerRequest::post(Proxy::path(path), body);
    call(proxy, request, request_id).await
}

/// Sends a request with an id on a new connection.
pub async fn call(
    proxy: &Proxy,
    request: CallerRequest,
    request_id: &str,
) -> Result<CallerAnswer, CallerError> {
    let request = request.header("x-request-id", request_id);
    CallerConnection::call(proxy.address, request).await
}

/// Waits until `condition` holds.
///
/// # Panics
///
/// If it doesn't hold within about 20 s.
pub async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..2_000 {
        if condition() {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out waiting for {what}");
}

/// Waits until the proxy answers a request, after the end of a fault.
///
/// # Panics
///
/// If it answers none within about 10 s.
pub async fn wait_for_answer(stage: &Stage) {
    for _ in 0..500 {
        let answer = get(&stage.proxy, "/ready", "ready").await;
        if answer.is_ok_and(|answer| answer.status == 200) {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("no request was answered after the fault");
}
