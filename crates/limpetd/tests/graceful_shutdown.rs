//! A graceful shutdown of an instance lets every request in flight finish.

mod support;

use std::cell::RefCell;

use futures::future::join_all;
use limpet_core::check::{GracefulShutdownCheck, RequestEnd};
use limpet_standin::caller::{CallerConnection, CallerRequest};
use limpetd::routing::TrafficOptions;

use self::support::{Proxy, Stage, call, run, wait_for};

type Check = RefCell<GracefulShutdownCheck>;

/// Sends requests on one keep-alive connection until an answer closes it, and
/// returns their number.
async fn call_until_closed(stage: &Stage, check: &Check, name: &str) -> u32 {
    let opened = CallerConnection::open(stage.proxy.address).await;
    let mut connection = opened.expect("the listener is open");
    for count in 1.. {
        let id = format!("{name}-{count}");
        check.borrow_mut().record_request(&id);
        let request = CallerRequest::get(Proxy::path("/x?ms=3"))
            .header("x-request-id", &id);
        let (answer, kept) = match connection.send(request).await {
            Ok(answered) => answered,
            Err(fault) => {
                let ended =
                    check.borrow_mut().record_end(&id, RequestEnd::Truncated);
                panic!("{fault}: {ended:?}");
            }
        };
        assert_eq!(answer.status, 200, "{id}");
        let ended = check.borrow_mut().record_end(&id, RequestEnd::Complete);
        ended.expect("a complete answer");
        if !answer.keep_alive {
            return count;
        }
        connection = kept;
    }
    unreachable!("an answer closes the connection")
}

/// Sends a request with a long answer and records how it ends.
async fn call_long(stage: &Stage, check: &Check, name: &str) {
    check.borrow_mut().record_request(name);
    let path = Proxy::path("/x?ms=700&bytes=20000");
    let answer = call(&stage.proxy, CallerRequest::get(path), name).await;
    let complete = answer.is_ok_and(|answer| answer.status == 200);
    let end =
        if complete { RequestEnd::Complete } else { RequestEnd::Truncated };
    check.borrow_mut().record_end(name, end).expect("a complete answer");
}

/// Guards against truncated answers at a shutdown: keep-alive callers are moved
/// to other instances first, and long answers are sent to their end.
#[test]
fn requests_in_flight_finish() {
    let options = TrafficOptions::new();
    let stage = Stage::start_with(4, options, |runner| runner);
    let check = Check::default();
    run(async {
        let names: Vec<String> =
            (0..12).map(|index| format!("kept-{index}")).collect();
        let kept = join_all(
            names.iter().map(|name| call_until_closed(&stage, &check, name)),
        );
        let leave = async {
            wait_for("requests in flight", || {
                stage.runners.runners()[0].log().to_vec().len() > 100
            })
            .await;
            check.borrow_mut().record_shutdown();
            stage.proxy.change_view(|view| view.leaving = true);
        };
        let (made, ()) = futures::join!(kept, leave);
        assert!(made.iter().sum::<u32>() > 12, "connections were kept");
        // The callers have moved on. Requests in flight must still be
        // finished.
        let names: Vec<String> =
            (0..8).map(|index| format!("long-{index}")).collect();
        let long =
            join_all(names.iter().map(|name| call_long(&stage, &check, name)));
        let stop = async {
            wait_for("long requests in flight", || in_flight(&stage) == 8)
                .await;
            stage.proxy.begin_stop();
        };
        futures::join!(long, stop);
        wait_for("the end of the proxy", || stage.proxy.is_finished()).await;
        check.borrow_mut().record_exit().expect("nothing open");
    });
}

/// Returns how many requests the runners are working on.
fn in_flight(stage: &Stage) -> u32 {
    let runners = stage.runners.runners();
    runners.iter().map(|runner| runner.in_flight()).sum()
}

/// Guards against a shutdown that waits for a connection without a request.
#[test]
fn idle_connection_closed() {
    let stage = Stage::start(1);
    run(async {
        let opened = CallerConnection::open(stage.proxy.address).await;
        let connection = opened.expect("the listener is open");
        let request = CallerRequest::get(Proxy::path("/x"));
        let (answer, _kept) =
            connection.send(request).await.expect("an answer");
        assert!(answer.keep_alive);
        stage.proxy.begin_stop();
        wait_for("the end of the proxy", || stage.proxy.is_finished()).await;
    });
}
