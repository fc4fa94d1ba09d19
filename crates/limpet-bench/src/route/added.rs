use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use limpet_standin::{
    caller::{CallerConnection, CallerRequest},
    runner::{OverloadPolicy, RunnerOptions, RunnerServer},
};
use slog::{Discard, Logger, o};

use super::proxy::{proxy_path, start_proxy};
use crate::{
    BenchOptions, Record,
    load::{self, LoadOptions, LoadOutcome, Reply},
};

/// The rates in requests a second, and whether the target states a bound on
/// the added latency at that rate.
const RATES: [(f64, bool); 2] = [(2_000.0, true), (10_000.0, false)];
/// The most that the proxy may add to the 99th percentile of the latency.
const MAX_ADDED_P99_MS: f64 = 1.0;
/// The number of runners behind the proxy.
const RUNNERS: usize = 8;
/// The number of threads that serve the runners.
const RUNNER_THREADS: usize = 2;
/// The length of each answer's body.
const ANSWER_BYTES: usize = 256;

/// Calls the same runners directly and through one traffic thread, one after
/// the other, and compares the latencies.
pub(super) fn measure(options: &BenchOptions) -> eyre::Result<Vec<Record>> {
    let mut records = Vec::new();
    for (rate_per_s, bounded) in RATES {
        let case = format!("added-{rate_per_s:.0}");
        if options.includes(&case) {
            let measured = measure_rate(options, &case, rate_per_s, bounded)?;
            records.extend(measured);
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
    let runner_addresses: Vec<SocketAddr> =
        runners.runners().iter().map(|runner| runner.address()).collect();
    let request_path = format!("/x?bytes={ANSWER_BYTES}");
    let load = LoadOptions::new(rate_per_s, options.duration_ms);
    let direct = send_load(load, &runner_addresses, &request_path);
    let proxied = send_load(load, &[proxy], &proxy_path(&request_path));
    runners.stop(false)?;
    Ok(compare(case, bounded, &direct, &proxied))
}

/// Sends the load to the addresses in turn, from an actix system of its own.
/// Connections are kept open and used again.
fn send_load(
    load: LoadOptions,
    addresses: &[SocketAddr],
    path: &str,
) -> LoadOutcome {
    let idle: Rc<RefCell<Vec<(usize, CallerConnection)>>> = Rc::default();
    actix_rt::System::new().block_on(load::run(load, |index| {
        let address_index = index as usize % addresses.len();
        let (address, path) = (addresses[address_index], path.to_owned());
        let idle = Rc::clone(&idle);
        async move {
            let position =
                idle.borrow().iter().rposition(|(of, _)| *of == address_index);
            let reused = position
                .map(|position| idle.borrow_mut().swap_remove(position));
            let connection = match reused {
                Some((_, connection)) => connection,
                None => match CallerConnection::open(address).await {
                    Ok(connection) => connection,
                    Err(_) => return Reply::Failed,
                },
            };
            let request = CallerRequest::get(path).header("x-request-id", "b");
            match connection.send(request).await {
                Ok((answer, connection)) if answer.status == 200 => {
                    idle.borrow_mut().push((address_index, connection));
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

/// Returns the records of both runs and of the differences between their
/// percentiles.
fn compare(
    case: &str,
    bounded: bool,
    direct: &LoadOutcome,
    proxied: &LoadOutcome,
) -> Vec<Record> {
    let ms = |outcome: &LoadOutcome, quantile| {
        outcome.latency_us.value_at_quantile(quantile) as f64 / 1e3
    };
    let record =
        |metric, value, unit| Record::new("route", case, metric, value, unit);
    let added = ms(proxied, 0.99) - ms(direct, 0.99);
    let added = record("added_p99", added, "ms");
    let not_answered = proxied.offered - proxied.answered;
    vec![
        if bounded { added.at_most(MAX_ADDED_P99_MS) } else { added },
        record("added_p50", ms(proxied, 0.5) - ms(direct, 0.5), "ms"),
        record("direct_p50", ms(direct, 0.5), "ms"),
        record("direct_p99", ms(direct, 0.99), "ms"),
        record("through_p50", ms(proxied, 0.5), "ms"),
        record("through_p99", ms(proxied, 0.99), "ms"),
        record("not_answered", not_answered as f64, "requests"),
    ]
}
