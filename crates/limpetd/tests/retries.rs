//! Retries: a request is retried only if it did not run or is idempotent, each
//! time on another runner, and within the retry budget.

mod support;

use std::collections::HashMap;

use futures::{StreamExt, stream};
use limpet_standin::{
    caller::CallerRequest,
    runner::{ExecutionLog, RunnerFault},
};
use limpetd::routing::TrafficOptions;

use self::support::{Proxy, call, get, run, start_runners, view};

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
