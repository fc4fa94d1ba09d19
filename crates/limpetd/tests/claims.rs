//! A request with an idempotency key runs at most once, whichever instances
//! its repeats are sent to.

mod support;

use std::sync::atomic::Ordering;

use futures::future::join_all;
use limpet_core::check::{AtMostOnceCheck, NotRunCheck};
use limpet_standin::{
    caller::{CallerAnswer, CallerError, CallerRequest},
    runner::{ExecutionLog, RunnerFault, RunnerServer},
};
use limpetd::routing::TrafficOptions;

use self::support::{
    Proxy, call, claims,
    claims::{TableFaults, serve_claims},
    run, start_runners,
};

/// Two proxies in front of the same runners, with claims in the same table.
struct Cell {
    proxies: Vec<Proxy>,
    runners: RunnerServer,
    log: ExecutionLog,
    faults: TableFaults,
}

/// Starts two proxies and `runners` runners.
fn start_cell(runners: usize) -> Cell {
    let log = ExecutionLog::default();
    let (runners, entries) =
        start_runners(runners, |runner| runner.log(log.clone()));
    let platform = claims::platform();
    let faults = TableFaults::default();
    let proxies = ["i1", "i2"]
        .into_iter()
        .map(|instance| {
            let view = support::view(support::config(), entries.clone());
            let claims = serve_claims(&platform, instance, &faults);
            Proxy::start(TrafficOptions::new(), view, Some(claims))
        })
        .collect();
    Cell { proxies, runners, log, faults }
}

impl Cell {
    /// Sends a settlement with an idempotency key through a proxy.
    async fn settle(
        &self,
        proxy: usize,
        key: &str,
        body: &'static str,
        timeout_ms: u64,
    ) -> Result<CallerAnswer, CallerError> {
        let request = CallerRequest::post(Proxy::path("/settle?ms=5"), body)
            .header("idempotency-key", key)
            .header("limpet-timeout-ms", timeout_ms);
        call(&self.proxies[proxy], request, key).await
    }

    /// Sets the fault of all runners.
    fn set_faults(&self, fault: RunnerFault) {
        for runner in self.runners.runners() {
            runner.set_fault(fault);
        }
    }

    /// Checks that no request ran twice, and returns the check with the runs.
    fn check_runs(&self) -> AtMostOnceCheck {
        let mut check = AtMostOnceCheck::default();
        for execution in self.log.to_vec().iter().filter(|run| run.ran) {
            check.record_run(&execution.request_id).expect("at most once");
        }
        check
    }
}

/// A repeat through another instance gets the stored answer.
#[test]
fn repeat_replayed() {
    let cell = start_cell(2);
    run(async {
        let first = cell.settle(0, "k", "120 EUR", 5_000).await;
        let first = first.expect("an answer");
        assert_eq!(first.status, 200);
        let repeat = cell.settle(1, "k", "120 EUR", 5_000).await;
        let repeat = repeat.expect("an answer");
        assert_eq!(repeat.body, first.body);
        assert_eq!(repeat.header("limpet-replay"), Some("true"));
        assert_eq!(cell.check_runs().runs("k"), 1);
    });
}

/// A key that is used again for another request is refused.
#[test]
fn other_request() {
    let cell = start_cell(1);
    run(async {
        cell.settle(0, "k", "120 EUR", 5_000).await.expect("an answer");
        let other = cell.settle(1, "k", "999 EUR", 5_000).await;
        let other = other.expect("an answer");
        assert_eq!(other.status, 422);
        assert_eq!(other.header("limpet-run"), Some("not_run"));
    });
}

/// Concurrent repeats through both instances run once; the others get the
/// stored answer, or are told that the outcome is pending.
#[test]
fn racing_repeats() {
    let cell = start_cell(4);
    run(async {
        let calls = (0..40).map(|index| {
            let key = ["a", "b", "c", "d", "e"][index % 5];
            cell.settle(index % 2, key, "120 EUR", 5_000)
        });
        for answer in join_all(calls).await {
            let answer = answer.expect("an answer");
            let pending = answer.status == 409
                && answer.header("limpet-run") == Some("unknown");
            assert!(answer.status == 200 || pending, "{answer:?}");
        }
        let check = cell.check_runs();
        assert_eq!(check.runs("a"), 1);
    });
}

/// If it is unknown whether a request ran, a repeat must not run it again.
#[test]
fn unclear_outcome() {
    for fault in
        [RunnerFault::Hang, RunnerFault::CutShort, RunnerFault::Late(300)]
    {
        let cell = start_cell(2);
        cell.set_faults(fault);
        run(async {
            let first = cell.settle(0, "k", "120 EUR", 150).await;
            let first = first.expect("an answer");
            assert!(first.status >= 500, "{first:?}");
            assert_eq!(first.header("limpet-run"), Some("unknown"));
            cell.set_faults(RunnerFault::None);
            let repeat = cell.settle(1, "k", "120 EUR", 5_000).await;
            let repeat = repeat.expect("an answer");
            assert_eq!(repeat.status, 409);
            assert_eq!(repeat.header("limpet-run"), Some("unknown"));
            assert_eq!(cell.check_runs().runs("k"), 1);
        });
    }
}

/// A request that did not run must not use up its key.
#[test]
fn refused_claim_freed() {
    let cell = start_cell(1);
    cell.set_faults(RunnerFault::Refuse);
    let mut check = NotRunCheck::default();
    run(async {
        let refused = cell.settle(0, "k", "120 EUR", 500).await;
        let refused = refused.expect("an answer");
        assert_eq!(refused.header("limpet-run"), Some("not_run"));
        check.record_refusal("k").expect("not run");
        for execution in cell.log.to_vec().iter().filter(|run| run.ran) {
            check.record_run(&execution.request_id).expect("not run");
        }
        cell.set_faults(RunnerFault::None);
        let mut status = 0;
        for _ in 0..200 {
            let again = cell.settle(1, "k", "120 EUR", 5_000).await;
            status = again.expect("an answer").status;
            if status == 200 {
                break;
            }
            actix_rt::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        assert_eq!(status, 200);
        assert_eq!(cell.check_runs().runs("k"), 1);
    });
}

/// Without a claim in the table, a request must not be sent.
#[test]
fn table_down() {
    let cell = start_cell(1);
    cell.faults.down.store(true, Ordering::SeqCst);
    run(async {
        let refused = cell.settle(0, "k", "120 EUR", 200).await;
        let refused = refused.expect("an answer");
        assert_eq!(refused.status, 503);
        assert_eq!(refused.header("limpet-run"), Some("not_run"));
        assert_eq!(cell.check_runs().runs("k"), 0);
    });
}

/// A claim whose commit took effect but got no answer is neither lost nor made
/// twice.
#[test]
fn lost_commits() {
    let cell = start_cell(2);
    cell.faults.lost_every.store(2, Ordering::SeqCst);
    const KEYS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
    run(async {
        for key in KEYS {
            for proxy in [0, 1] {
                let answer = cell.settle(proxy, key, "1", 5_000).await;
                assert_eq!(answer.expect("an answer").status, 200);
            }
        }
        let check = cell.check_runs();
        assert!(KEYS.iter().all(|key| check.runs(key) == 1));
    });
}
