//! Every caller gets the complete answer to its own request, or an error.

mod support;

use std::time::Duration;

use futures::future::join_all;
use limpet_core::check::CompleteAnswerCheck;
use limpet_standin::{
    caller::{CallerError, CallerRequest},
    runner::{RunnerFault, expected_body},
};
use limpetd::routing::TrafficOptions;

use self::support::{Proxy, Stage, get, run};

/// The length of each answer, in bytes.
const BYTES: usize = 300;

/// Sends `count` concurrent requests while the only runner has a fault, and as
/// many after the fault has ended. Returns how many of the first ones got
/// complete answers.
fn answers_under(
    fault: RunnerFault,
    count: usize,
    echo: bool,
    options: TrafficOptions,
) -> usize {
    let stage = Stage::start_with(1, options, |runner| runner.echo(echo));
    stage.runner(0).set_fault(fault);
    let mut check = CompleteAnswerCheck::default();
    run(async {
        let first = requests(&stage, &mut check, "under", count).await;
        stage.runner(0).set_fault(RunnerFault::None);
        support::wait_for_answer(&stage).await;
        let second = requests(&stage, &mut check, "after", count).await;
        assert_eq!(second, count, "complete answers after the fault");
        first
    })
}

/// Sends `count` concurrent requests, checks their answers, and returns how
/// many were complete.
async fn requests(
    stage: &Stage,
    check: &mut CompleteAnswerCheck,
    prefix: &str,
    count: usize,
) -> usize {
    let path = format!("/x?bytes={BYTES}");
    let ids: Vec<String> =
        (0..count).map(|index| format!("{prefix}-{index}")).collect();
    for id in &ids {
        check.record_request(id, &expected_body(id, BYTES));
    }
    let calls = ids.iter().map(|id| get(&stage.proxy, &path, id));
    let answers = join_all(calls).await;
    let mut complete = 0;
    for (id, answer) in ids.iter().zip(answers) {
        if let Ok(answer) = answer
            && answer.status == 200
        {
            check.record_answer(id, &answer.body).expect("its own answer");
            complete += 1;
        }
    }
    complete
}

#[test]
fn runner_without_fault() {
    let complete =
        answers_under(RunnerFault::None, 8, true, TrafficOptions::new());
    assert_eq!(complete, 8);
}

/// The runner closes the connection in the middle of an answer.
#[test]
fn cut_short() {
    let options = TrafficOptions::new();
    assert_eq!(answers_under(RunnerFault::CutShort, 4, true, options), 0);
}

#[test]
fn cut_at_chunk() {
    let options = TrafficOptions::new();
    assert_eq!(answers_under(RunnerFault::CutAtChunk, 4, true, options), 0);
}

#[test]
fn wrong_length() {
    let options = TrafficOptions::new().idle_timeout_ms(200);
    assert_eq!(answers_under(RunnerFault::WrongLength, 4, true, options), 0);
}

#[test]
fn out_of_order() {
    let options = TrafficOptions::new();
    answers_under(RunnerFault::OutOfOrder, 8, true, options);
}

#[test]
fn answered_twice() {
    for echo in [true, false] {
        let options = TrafficOptions::new();
        answers_under(RunnerFault::Twice, 24, echo, options);
    }
}

/// A slow answer is passed on, but not beyond the caller's deadline.
#[test]
fn trickled_answer() {
    let stage = Stage::start(1);
    stage.runner(0).set_fault(RunnerFault::Trickle);
    run(async {
        let answer = get(&stage.proxy, "/x?bytes=30", "a").await;
        assert_eq!(
            answer.expect("a complete answer").body,
            expected_body("a", 30)
        );
        let asked = CallerRequest::get(Proxy::path("/x?bytes=1000"))
            .header("limpet-timeout-ms", 200);
        let answer = support::call(&stage.proxy, asked, "b").await;
        let fault = answer.expect_err("cut at the deadline");
        assert!(matches!(fault, CallerError::Truncated(_)), "{fault}");
    });
}

/// Guards against an answer that arrives after its deadline and is passed on as
/// the answer to a later request.
#[test]
fn late_answer() {
    let stage = Stage::start(1);
    stage.runner(0).set_fault(RunnerFault::Late(400));
    let mut check = CompleteAnswerCheck::default();
    run(async {
        for index in 0..3 {
            let asked = CallerRequest::post(Proxy::path("/x"), "body")
                .header("limpet-timeout-ms", 100);
            let id = format!("late-{index}");
            let answer = support::call(&stage.proxy, asked, &id).await;
            let answer = answer.expect("an answer");
            assert_eq!(answer.status, 504);
            assert_eq!(answer.header("limpet-run"), Some("unknown"));
        }
        stage.runner(0).set_fault(RunnerFault::None);
        support::wait_for_answer(&stage).await;
        // The late answers arrive during these requests, which must not get
        // one of them.
        for round in 0..20 {
            let prefix = format!("own-{round}");
            requests(&stage, &mut check, &prefix, 4).await;
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(check.complete() > 0);
    });
}
