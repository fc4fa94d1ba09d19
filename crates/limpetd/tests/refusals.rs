//! Refusals: requests that are refused before they run, and that a request
//! whose refusal says `not_run` has not run.

mod support;

use futures::future::join_all;
use limpet_core::{
    TimeMs,
    check::NotRunCheck,
    config::{CellConfig, ServiceConfig, TeamConfig},
};
use limpet_standin::{
    caller::{CallerAnswer, CallerRequest},
    runner::{ExecutionLog, RunnerFault},
};
use limpetd::routing::TrafficOptions;

use self::support::{
    Proxy, Stage, call, get, key, run, service_name, start_runners, team_name,
};

/// Starts a proxy with one runner.
fn start(config: CellConfig, options: TrafficOptions) -> Stage {
    let (runners, entries) = start_runners(1, |runner| runner);
    let view = support::view(config, entries);
    Stage { proxy: Proxy::start(options, view, None), runners }
}

/// Returns a configuration whose service requires a key.
fn closed_config() -> CellConfig {
    let mut config = support::config();
    let service = ServiceConfig { open: false, deadline_ms: 10_000 };
    config.services.insert(service_name(), service);
    config
}

/// Sends a GET request with a key.
async fn call_with_key(stage: &Stage, key: &str, path: &str) -> CallerAnswer {
    let request = CallerRequest::get(Proxy::path(path))
        .header("authorization", format!("Bearer {key}"));
    call(&stage.proxy, request, "keyed").await.expect("an answer")
}

#[test]
fn keys_checked() {
    let stage = start(closed_config(), TrafficOptions::new());
    run(async {
        let none = get(&stage.proxy, "/x", "none").await.expect("an answer");
        assert_eq!(none.status, 401);
        let wrong = call_with_key(&stage, "k1:guess", "/x").await;
        assert_eq!(wrong.status, 401);
        let good = call_with_key(&stage, &key().reveal(), "/x").await;
        assert_eq!(good.status, 200);
        stage.proxy.change_view(|view| {
            let mut config = view.config.as_ref().clone();
            let record = config.keys.get_mut(key().id()).expect("granted");
            record.withdrawn = true;
            view.config = config.into();
        });
        let withdrawn = call_with_key(&stage, &key().reveal(), "/x").await;
        assert_eq!(withdrawn.status, 401);
    });
    assert_eq!(stage.runner(0).log().to_vec().len(), 1);
}

/// Guards against accepting a withdrawn key: an instance that has not read the
/// configuration for too long refuses all keys.
#[test]
fn stale_keys() {
    let stage = start(closed_config(), TrafficOptions::new());
    run(async {
        stage.proxy.change_view(|view| view.keys_fresh_until = TimeMs::ZERO);
        let answer = call_with_key(&stage, &key().reveal(), "/x").await;
        assert_eq!(answer.status, 503);
        assert_eq!(answer.header("limpet-run"), Some("not_run"));
    });
}

#[test]
fn team_limit() {
    let mut config = closed_config();
    let team = TeamConfig { request_limit: 2, ..TeamConfig::default() };
    config.teams.insert(team_name(), team);
    let options = TrafficOptions::new().list_lag_ms(0);
    let stage = start(config, options);
    run(async {
        let secret = key().reveal();
        let calls =
            (0..6).map(|_| call_with_key(&stage, &secret, "/x?ms=200"));
        let answers = join_all(calls).await;
        let served =
            answers.iter().filter(|answer| answer.status == 200).count();
        assert_eq!(served, 2);
        for refused in answers.iter().filter(|answer| answer.status != 200) {
            assert_eq!(refused.status, 429);
            assert_eq!(refused.header("limpet-run"), Some("not_run"));
            assert!(refused.header("retry-after").is_some());
        }
        let after = call_with_key(&stage, &secret, "/x").await;
        assert_eq!(after.status, 200);
    });
    assert_eq!(stage.runner(0).log().run_counts()["keyed"], 3);
}

#[test]
fn limits_on_requests() {
    let options = TrafficOptions::new()
        .headers_limit_bytes(1_000)
        .body_limit_bytes(2_000)
        .replay_limit_bytes(500);
    let stage = start(support::config(), options);
    run(async {
        let long = CallerRequest::get(Proxy::path("/x"))
            .header("x-long", "y".repeat(1_000));
        let answer = call(&stage.proxy, long, "a").await.expect("an answer");
        assert_eq!(answer.status, 431);
        let large = CallerRequest::post(Proxy::path("/x"), vec![b'z'; 2_001]);
        let answer = call(&stage.proxy, large, "b").await.expect("an answer");
        assert_eq!(answer.status, 413);
        assert_eq!(answer.header("limpet-run"), Some("not_run"));
        let zero = CallerRequest::get(Proxy::path("/x"))
            .header("limpet-timeout-ms", 0);
        let answer = call(&stage.proxy, zero, "c").await.expect("an answer");
        assert_eq!(answer.status, 400);
        let unknown = CallerRequest::get("/services/nobody/x");
        let answer =
            call(&stage.proxy, unknown, "d").await.expect("an answer");
        assert_eq!(answer.status, 404);
    });
    assert!(stage.runner(0).log().to_vec().is_empty());
}

#[test]
fn not_run_means_not_run() {
    let log = ExecutionLog::default();
    let (runners, entries) =
        start_runners(3, |runner| runner.slots(2).log(log.clone()));
    let view = support::view(support::config(), entries);
    let proxy = Proxy::start(TrafficOptions::new(), view, None);
    let faults = [RunnerFault::Refuse, RunnerFault::Hang, RunnerFault::Slow];
    for (runner, fault) in runners.runners().iter().zip(faults) {
        runner.set_fault(fault);
    }
    let mut check = NotRunCheck::default();
    run(async {
        let calls = (0..60).map(|index| {
            let request = CallerRequest::post(Proxy::path("/x?ms=20"), "body")
                .header("limpet-timeout-ms", 400);
            let proxy = &proxy;
            async move {
                let id = format!("n-{index}");
                let answer = call(proxy, request, &id).await;
                (id, answer.expect("an answer"))
            }
        });
        for (id, answer) in join_all(calls).await {
            if answer.header("limpet-run") == Some("not_run") {
                check.record_refusal(&id).expect("not run");
            }
        }
        // A request could still run after its refusal.
        actix_rt::time::sleep(std::time::Duration::from_millis(500)).await;
    });
    for execution in log.to_vec().iter().filter(|run| run.ran) {
        check.record_run(&execution.request_id).expect("not run");
    }
    assert!(check.refused() > 0, "some were refused");
}
