use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use limpet_standin::{
    caller::{CallerConnection, CallerRequest},
    runner::{OverloadPolicy, RunnerOptions, RunnerServer},
};
use slog::{Discard, Logger, o};

use super::proxy::{path, start_proxy};
use crate::{
    BenchOptions, Record,
    load::{self, LoadOptions, LoadOutcome, Reply},
};

/// The rates, and whether the bound is stated for it.
const RATES: [(f64, bool); 2] = [(2_000.0, true), (10_000.0, false)];
/// What the proxy adds at the 99th percentile.
const MOST_ADDED_MS: f64 = 1.0;
/// The runners behind the proxy.
const RUNNERS: usize = 8;
/// The threads that serve them.
const RUNNER_THREADS: usize = 2;
/// The length of an answer.
const ANSWER_BYTES: usize = 256;

/// Calls runners directly and through one traffic thread.
pub(super) fn measure(options: &BenchOptions) -> eyre::Result<Vec<Record>> {
    let mut records = Vec::new();
    for (rate_per_s, bounded) in RATES {
        let case = format!("added-{rate_per_s:.0}");
        if options.includes(&case) {
            let found = measure_rate(options, &case, rate_per_s, bounded)?;
            records.extend(found);
        }
    }
    Ok(records)
}

fn measure_rate(
    options: &BenchOptions,
    case: &str,
    rate_per_s: f64,
    bounded: bool,
) -> eyre::Result<Vec<Record>> {
    let runners = (0..RUNNERS)
        .map(|index| {
            RunnerOptions::new(format!("r{index}"))
                .slots(1_024)
                .overload_policy(OverloadPolicy::Queue)
                .log_executions(false)
        })
        .collect();
    let runners = RunnerServer::start(runners, RUNNER_THREADS)?;
    let logger = Logger::root(Discard, o!());
    let proxy = start_proxy(&runners, logger)?;
    let direct: Vec<SocketAddr> =
        runners.runners().iter().map(|runner| runner.address()).collect();
    let ask = format!("/x?bytes={ANSWER_BYTES}");
    let load = LoadOptions::new(rate_per_s, options.duration_ms);
    let alone = offer(load, &direct, &ask);
    let through = offer(load, &[proxy], &path(&ask));
    runners.stop(false)?;
    Ok(compare(case, bounded, &alone, &through))
}

/// Offers a load from a system of its own, over kept connections.
fn offer(
    load: LoadOptions,
    addresses: &[SocketAddr],
    path: &str,
) -> LoadOutcome {
    let idle: Rc<RefCell<Vec<(usize, CallerConnection)>>> = Rc::default();
    actix_rt::System::new().block_on(load::run(load, |index| {
        let at = index as usize % addresses.len();
        let (address, path) = (addresses[at], path.to_owned());
        let idle = Rc::clone(&idle);
        async move {
            let found =
                idle.borrow().iter().rposition(|(kept, _)| *kept == at);
            let kept = found.map(|found| idle.borrow_mut().swap_remove(found));
            let connection = match kept {
                Some((_, connection)) => connection,
                None => match CallerConnection::open(address).await {
                    Ok(connection) => connection,
                    Err(_) => return Reply::Failed,
                },
            };
            let request = CallerRequest::get(path).header("x-request-id", "b");
            match connection.send(request).await {
                Ok((answer, connection)) if answer.status == 200 => {
                    idle.borrow_mut().push((at, connection));
                    Reply::Answered
                }
                Ok((answer, _))
                    if answer.header("limpet-run") == Some("not_run") =>
                {
                    Reply::Refused
                }
                _ => Reply::Failed,
            }
        }
    }))
}

fn compare(
    case: &str,
    bounded: bool,
    alone: &LoadOutcome,
    through: &LoadOutcome,
) -> Vec<Record> {
    let ms = |outcome: &LoadOutcome, quantile| {
        outcome.latency_us.value_at_quantile(quantile) as f64 / 1e3
    };
    let record =
        |metric, value, unit| Record::new("route", case, metric, value, unit);
    let added = ms(through, 0.99) - ms(alone, 0.99);
    let added = record("added_p99", added, "ms");
    let failed = through.offered - through.answered;
    vec![
        if bounded { added.at_most(MOST_ADDED_MS) } else { added },
        record("added_p50", ms(through, 0.5) - ms(alone, 0.5), "ms"),
        record("direct_p50", ms(alone, 0.5), "ms"),
        record("direct_p99", ms(alone, 0.99), "ms"),
        record("through_p50", ms(through, 0.5), "ms"),
        record("through_p99", ms(through, 0.99), "ms"),
        record("not_answered", failed as f64, "requests"),
    ]
}
