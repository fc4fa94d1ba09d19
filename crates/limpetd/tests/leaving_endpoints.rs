//! A leaving endpoint gets no new requests from 2 s after the first evidence
//! that it is leaving.

mod support;

use std::{cell::Cell, sync::Arc, time::Duration};

use futures::future::join_all;
use limpet_core::{EndpointId, TimeMs, check::LeavingEndpointCheck};
use limpet_platform::{Clock, MemberState};
use limpet_standin::runner::{ExecutionLog, RunnerFault};
use limpetd::routing::TrafficOptions;

use self::support::{
    Proxy, get, run, runner_name, start_numbered, start_runners, view,
    wait_for,
};

/// The number of callers, enough to keep each runner busy.
const CALLERS: usize = 12;

/// The number of requests before the runner leaves. They fill the retry budget
/// for the requests that it then refuses.
const FIRST_REQUESTS: usize = 300;

/// The evidence that the first runner is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Evidence {
    /// The platform lists it as leaving.
    List,
    /// An operator has drained it.
    Drained,
    /// Its own answers say so.
    OwnAnswer,
    /// It closes its connections and accepts no new ones.
    ConnectionClose,
}

/// Sends requests while the first of three runners leaves, and for longer than
/// it may get any, and checks the times of those that it got.
fn check_leaving(evidence: Evidence) {
    let clock = Clock::monotonic();
    let log = ExecutionLog::default();
    let adjust = |runner: limpet_standin::runner::RunnerOptions| {
        runner.log(log.clone()).clock(clock.clone())
    };
    // The leaving runner has its own server, which can stop on its own.
    let (leaving, mut entries) = start_runners(1, adjust);
    let (others, other_entries) = start_numbered(1, 2, adjust);
    entries.extend(other_entries);
    let view = view(support::config(), entries);
    let proxy = Proxy::start(TrafficOptions::new(), view, None);
    let first = EndpointId::new(&runner_name(0)).expect("a name");
    let leaving = Cell::new(Some(leaving));
    let mut check = LeavingEndpointCheck::default();
    let shown_at = Cell::new(TimeMs::ZERO);
    run(async {
        let done = Cell::new(false);
        let (done, proxy) = (&done, &proxy);
        let call = |caller: usize| async move {
            let mut count = 0;
            while !done.get() {
                count += 1;
                let id = format!("c-{caller}-{count}");
                let answer = get(proxy, "/x?ms=1", &id).await;
                assert_eq!(answer.expect("an answer").status, 200, "{id}");
            }
        };
        let calls = join_all((0..CALLERS).map(call));
        let leave = async {
            wait_for("work for the first runner", || {
                !runs_of_first(&log).is_empty()
                    && log.to_vec().len() >= FIRST_REQUESTS
            })
            .await;
            // An answer of the runner is evidence only from the time at which
            // it is first given.
            if evidence != Evidence::OwnAnswer {
                check.record_evidence(&first, clock.now());
            }
            shown_at.set(clock.now());
            show(evidence, proxy, &leaving);
            actix_rt::time::sleep(Duration::from_millis(3_000)).await;
            done.set(true);
        };
        futures::join!(calls, leave);
    });
    if evidence == Evidence::OwnAnswer {
        let executions = log.to_vec();
        let refused = executions.iter().find(|execution| !execution.ran);
        // If it refused no request, the evidence is in the answer to a
        // request that was running when the runner began to leave.
        let at = refused.map_or(shown_at.get(), |refused| {
            TimeMs::from_ms(refused.arrived_at_ms)
        });
        check.record_evidence(&first, at);
    }
    for at_ms in runs_of_first(&log) {
        let at = TimeMs::from_ms(at_ms);
        check.record_request(&first, at).expect("nothing after 2 s");
    }
    drop(others);
}

/// Makes the first runner leave with this evidence.
fn show(
    evidence: Evidence,
    proxy: &Proxy,
    leaving: &Cell<Option<limpet_standin::runner::RunnerServer>>,
) {
    let Some(server) = leaving.take() else { return };
    match evidence {
        Evidence::List => proxy.change_view(|view| {
            let mut entries = view.endpoints.as_ref().clone();
            entries[0].state = MemberState::Leaving;
            view.endpoints = Arc::new(entries);
        }),
        Evidence::Drained => proxy.change_view(|view| {
            let mut config = view.config.as_ref().clone();
            let first = EndpointId::new(&runner_name(0)).expect("a name");
            config.drained_endpoints.insert(first);
            view.config = Arc::new(config);
        }),
        Evidence::OwnAnswer => {
            server.runners()[0].set_fault(RunnerFault::Leaving);
        }
        Evidence::ConnectionClose => {
            std::thread::spawn(move || server.stop(true));
            return;
        }
    }
    leaving.set(Some(server));
}

/// Returns when the first runner got requests, including refused ones.
fn runs_of_first(log: &ExecutionLog) -> Vec<u64> {
    let name = runner_name(0);
    log.to_vec()
        .into_iter()
        .filter(|execution| execution.runner == name)
        .map(|execution| execution.arrived_at_ms)
        .collect()
}

#[test]
fn listed_leaving() {
    check_leaving(Evidence::List);
}

#[test]
fn drained_endpoint() {
    check_leaving(Evidence::Drained);
}

#[test]
fn own_answer() {
    check_leaving(Evidence::OwnAnswer);
}

#[test]
fn connection_close() {
    check_leaving(Evidence::ConnectionClose);
}
