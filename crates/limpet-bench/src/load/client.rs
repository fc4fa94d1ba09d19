use std::{
    cell::RefCell,
    future::Future,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::sync::Notify;

use super::{
    options::LoadOptions,
    outcome::{LoadOutcome, Reply},
    schedule::{Schedule, wait_until},
};

struct State {
    outcome: LoadOutcome,
    open: u64,
}

/// Offers a load and returns what became of it.
///
/// `send` is given the position of each request and must be called from an
/// `actix_rt` system; it sends one request and judges its answer.
pub async fn run<F>(
    options: LoadOptions,
    send: impl Fn(u64) -> F,
) -> LoadOutcome
where
    F: Future<Output = Reply> + 'static,
{
    let count = options.request_count();
    let outcome = LoadOutcome::new(count);
    let state = Rc::new(RefCell::new(State { outcome, open: 0 }));
    let idle = Rc::new(Notify::new());
    let schedule = Schedule::new(options.get_rate_per_s());
    for index in 0..count {
        let due = schedule.due(index);
        wait_until(due).await;
        begin(&state, due);
        let (state, idle) = (Rc::clone(&state), Rc::clone(&idle));
        let reply = send(index);
        actix_rt::spawn(async move {
            let reply = reply.await;
            finish(&state, due, reply, &idle);
        });
    }
    let grace = Duration::from_millis(options.get_grace_ms());
    let all_ended = async {
        while state.borrow().open > 0 {
            idle.notified().await;
        }
    };
    // What is still open afterwards counts as failed.
    let _ = actix_rt::time::timeout(grace, all_ended).await;
    let mut state = state.borrow_mut();
    state.outcome.failed += std::mem::take(&mut state.open);
    state.outcome.elapsed_ms = schedule.start().elapsed().as_millis() as u64;
    state.outcome.clone()
}

fn begin(state: &RefCell<State>, due: Instant) {
    let mut state = state.borrow_mut();
    state.open += 1;
    let late_us = due.elapsed().as_micros() as u64;
    state.outcome.lateness_us.saturating_record(late_us);
}

fn finish(state: &RefCell<State>, due: Instant, reply: Reply, idle: &Notify) {
    let mut state = state.borrow_mut();
    let latency_us = due.elapsed().as_micros() as u64;
    if state.open == 0 {
        return;
    }
    state.open -= 1;
    state.outcome.record(reply, latency_us);
    if state.open == 0 {
        idle.notify_one();
    }
}
