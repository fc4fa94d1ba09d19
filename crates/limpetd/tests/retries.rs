//! Retries: a request is retried only if it did not run or is idempotent, each
//! time on another runner, and within the retry budget.

mod support;

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
};

use futures::{StreamExt, stream};
use limpet_standin::{
    caller::CallerRequest,
    runner::{ExecutionLog, RunnerFault},
};
use limpetd::routing::TrafficOptions;

use self::support::{Proxy, call, get, run, start_runners, view};

/// The number of requests that are answered before one is deadly.
const REQUESTS: usize = 60;

/// A proxy and its runners, which log to one log.
struct Fleet {
    proxy: Proxy,
    runners: limpet_standin::runner::RunnerServer,
    log: ExecutionLog,
}

/// Starts a proxy with `count` runners.
fn start(count: usize) -> Fleet {
    let log = ExecutionLog::default();
    let (runners, entries) =
        start_runners(count, |runner| runner.log(log.clone()));
    let view = view(support::config(), entries);
    let proxy = Proxy::start(TrafficOptions::new(), view, None);
    Fleet { proxy, runners, log }
}

impl Fleet {
    /// Sets the fault of the first `count` runners.
    fn set_faults(&self, count: usize, fault: RunnerFault) {
        for runner in &self.runners.runners()[..count] {
            runner.set_fault(fault);
        }
    }

    /// Returns the runners that each request reached, including those that
    /// refused it.
    fn reached(&self) -> HashMap<String, Vec<String>> {
        let mut reached: HashMap<String, Vec<String>> = HashMap::new();
        for execution in self.log.to_vec() {
            let runners = reached.entry(execution.request_id).or_default();
            runners.push(execution.runner);
        }
        reached
    }

    /// Sends `count` requests, four at a time, and returns how many were
    /// answered with status 200.
    async fn call_many(&self, post: bool, count: usize) -> usize {
        let calls = stream::iter(0..count).map(|index| async move {
            let id = format!("m-{index}");
            let path = Proxy::path("/x");
            let request = match post {
                true => CallerRequest::post(path, "body"),
                false => CallerRequest::get(path),
            };
            let request = request.header("limpet-timeout-ms", 1_000);
            let answer = call(&self.proxy, request, &id).await;
            answer.is_ok_and(|answer| answer.status == 200)
        });
        let served: Vec<bool> = calls.buffer_unordered(4).collect().await;
        served.into_iter().filter(|served| *served).count()
    }
}

#[test]
fn idempotent_retried() {
    let fleet = start(2);
    fleet.set_faults(1, RunnerFault::Refuse);
    run(async {
        for index in 0..4 {
            let id = format!("g-{index}");
            let answer = get(&fleet.proxy, "/x", &id).await;
            assert_eq!(answer.expect("an answer").status, 200);
        }
    });
    for (id, runners) in fleet.reached() {
        let mut distinct = runners.clone();
        distinct.sort();
        distinct.dedup();
        assert_eq!(distinct.len(), runners.len(), "{id} on {runners:?}");
    }
}

#[test]
fn non_idempotent_not_retried() {
    let fleet = start(3);
    fleet.set_faults(3, RunnerFault::Hang);
    run(async {
        fleet.call_many(true, 12).await;
    });
    for (id, runners) in fleet.reached() {
        assert_eq!(runners.len(), 1, "{id} reached {runners:?}");
    }
}

#[test]
fn retry_budget_respected() {
    for (fault, post) in [
        (RunnerFault::Refuse, true),
        (RunnerFault::Refuse, false),
        (RunnerFault::CutShort, false),
    ] {
        let fleet = start(6);
        fleet.set_faults(6, fault);
        run(async {
            fleet.call_many(post, 200).await;
        });
        let attempts: usize = fleet.reached().values().map(Vec::len).sum();
        assert!(attempts <= 220, "{attempts} attempts under {fault}");
    }
}

#[test]
fn dead_runners_avoided() {
    let (gone, mut entries) = start_runners(1, |runner| runner);
    let (_kept, others) = support::start_numbered(1, 2, |runner| runner);
    entries.extend(others);
    gone.stop(false).expect("stopped");
    let view = view(support::config(), entries);
    let proxy = Proxy::start(TrafficOptions::new(), view, None);
    run(async {
        for index in 0..50 {
            let request = CallerRequest::post(Proxy::path("/x"), "body");
            let id = format!("d-{index}");
            let answer = call(&proxy, request, &id).await;
            assert_eq!(answer.expect("an answer").status, 200);
        }
    });
}

#[test]
fn no_live_runner() {
    let (gone, entries) = start_runners(2, |runner| runner);
    gone.stop(false).expect("stopped");
    let view = view(support::config(), entries);
    let proxy = Proxy::start(TrafficOptions::new(), view, None);
    run(async {
        for index in 0..5 {
            let answer = get(&proxy, "/x", &format!("e-{index}")).await;
            let answer = answer.expect("an answer");
            assert!(answer.status >= 500);
            assert_eq!(answer.header("limpet-run"), Some("not_run"));
        }
    });
}

/// Runners that answer until they are told to die, and then close each
/// connection once they have read a request.
#[derive(Default)]
struct DyingRunners {
    dying: AtomicBool,
    /// The requests that were read by dying runners.
    requests: AtomicUsize,
}

impl DyingRunners {
    /// Starts one of the runners, and returns its address.
    fn start(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let runners = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let runners = Arc::clone(&runners);
                thread::spawn(move || {
                    runners.serve(stream.expect("a connection"));
                });
            }
        });
        address
    }

    fn serve(&self, mut stream: TcpStream) {
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        // A connection that its client closes reads nothing.
        while stream.read(&mut [0; 4_096]).is_ok_and(|read| read > 0) {
            if self.dying.load(Ordering::SeqCst) {
                self.requests.fetch_add(1, Ordering::SeqCst);
                return;
            }
            stream.write_all(answer.as_bytes()).expect("an open connection");
        }
    }
}

/// Guards against a request that crashes one runner after another: it is not
/// sent to a third.
#[test]
fn deadly_request() {
    let runners = Arc::new(DyingRunners::default());
    let entries = (0..5)
        .map(|index| support::entry(&format!("r-{index}"), runners.start()))
        .collect();
    let view = view(support::config(), entries);
    let proxy = Proxy::start(TrafficOptions::new(), view, None);
    run(async {
        // Each request adds to the budget of retries, which begins almost
        // empty.
        for index in 0..REQUESTS {
            let answer = get(&proxy, "/x", &format!("sound-{index}")).await;
            let answer = answer.expect("an answer");
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        runners.dying.store(true, Ordering::SeqCst);
        let answer = get(&proxy, "/x", "deadly").await;
        assert_eq!(answer.expect("an answer").status, 502);
    });
    assert_eq!(runners.requests.load(Ordering::SeqCst), 2);
}
