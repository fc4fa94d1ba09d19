use std::rc::Rc;

use bytes::Bytes;
use limpet_standin::{
    cell::{CallError, Client},
    runner::expected_body,
};

use super::{BENCH, cell::RoutedCell};
use crate::{
    load::{self, LoadOptions, LoadOutcome, Reply},
    options::BenchOptions,
    record::Record,
};

/// The name of the case.
pub(super) const CASE: &str = "route";
/// The rate at which the latency that the proxy adds is measured.
const REQUESTS_PER_S: f64 = 2_000.0;
/// The most that the proxy may add to the 99th percentile of the latency.
const MAX_ADDED_P99_MS: f64 = 1.0;
/// The path of the requests, both to the proxy and directly to a runner.
const PATH: &str = "/services/enrolment/seat?bytes=64";
/// The length of the answer that `PATH` asks for.
const ANSWER_BYTES: usize = 64;

/// Sends the same load through the daemon and directly to a runner, and
/// compares the latencies.
pub(super) async fn measure(
    options: &BenchOptions,
) -> eyre::Result<Vec<Record>> {
    let cell = RoutedCell::start(options).await?;
    let before = cell.daemon.usage()?;
    // Both loads run at the same time, so that other activity on the machine
    // slows them equally.
    let (direct, routed) = futures::join!(
        send_load(Client::new(cell.runner_address()), options),
        send_load(cell.daemon.client(), options),
    );
    let after = cell.daemon.usage()?;
    let cpu_ms = (after.cpu_ms - before.cpu_ms) as f64;
    let mut records = outcome_records("route direct", &direct);
    records.extend(outcome_records(CASE, &routed));
    let record =
        |metric, value, unit| Record::new(BENCH, CASE, metric, value, unit);
    let added =
        |percent| routed.latency_ms(percent) - direct.latency_ms(percent);
    records.push(record("added_p50", added(50.0), "ms"));
    records.push(
        record("added_p99", added(99.0), "ms").at_most(MAX_ADDED_P99_MS),
    );
    let per_request_us = cpu_ms * 1_000.0 / routed.answered.max(1) as f64;
    records.push(record("cpu_per_request", per_request_us, "us"));
    Ok(records)
}

async fn send_load(client: Client, options: &BenchOptions) -> LoadOutcome {
    let client = Rc::new(client);
    let load = LoadOptions::new(REQUESTS_PER_S, options.duration_ms);
    load::run(load, |_| {
        let client = Rc::clone(&client);
        async move { classify(client.call_service(PATH).await) }
    })
    .await
}

/// Classifies an answer. It counts as answered only if it holds exactly the
/// body that the runner sends.
fn classify(answer: Result<(u16, Bytes), CallError>) -> Reply {
    match answer {
        Ok((200, body)) if body == expected_body("", ANSWER_BYTES) => {
            Reply::Answered
        }
        Ok((429 | 503, _)) => Reply::Refused,
        _ => Reply::Failed,
    }
}

fn outcome_records(case: &str, outcome: &LoadOutcome) -> Vec<Record> {
    let record =
        |metric, value, unit| Record::new(BENCH, case, metric, value, unit);
    let not_answered = (outcome.refused + outcome.failed) as f64;
    vec![
        record("answered", outcome.goodput_per_s(), "requests/s"),
        record("not_answered", not_answered, "requests").at_most(0.0),
        record("answer_p50", outcome.latency_ms(50.0), "ms"),
        record("answer_p99", outcome.latency_ms(99.0), "ms"),
    ]
}
