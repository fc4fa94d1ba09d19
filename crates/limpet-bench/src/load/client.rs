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

/// What the request tasks of a load share.
struct State {
    outcome: LoadOutcome,
    in_flight: u64,
}

/// Sends requests at a steady rate and returns how they ended.
///
/// `send` is called with the index of each request at the time that the
/// request is due. Its future sends the request and classifies the answer;
/// it runs as a task of its own, so a slow answer delays no later request.
/// Requests without an answer by the end of the grace period count as failed.
///
/// Must be called from within an `actix_rt` system.
pub async fn run<F>(
    options: LoadOptions,
    send: impl Fn(u64) -> F,
) -> LoadOutcome
where
    F: Future<Output = Reply> + 'static,
{
    let count = options.request_count();
    let outcome = LoadOutcome::new(count);
    let state = Rc::new(RefCell::new(State { outcome, in_flight: 0 }));
    let idle = Rc::new(Notify::new());
    let schedule = Schedule::new(options.rate_per_s());
    for index in 0..count {
        let due = schedule.due(index);
        wait_until(due).await;
        record_sent(&state, due);
        let (state, idle) = (Rc::clone(&state), Rc::clone(&idle));
        let reply = send(index);
        actix_rt::spawn(async move {
            let reply = reply.await;
            record_reply(&state, due, reply, &idle);
        });
    }
    let grace = Duration::from_millis(options.get_grace_ms());
    let all_answered = async {
        while state.borrow().in_flight > 0 {
            idle.notified().await;
        }
    };
    // Requests still in flight after the grace period count as failed below.
    let _ = actix_rt::time::timeout(grace, all_answered).await;
    let mut state = state.borrow_mut();
    state.outcome.failed += std::mem::take(&mut state.in_flight);
    state.outcome.elapsed_ms = schedule.start().elapsed().as_millis() as u64;
    state.outcome.clone()
}

fn record_sent(state: &RefCell<State>, due: Instant) {
    let mut state = state.borrow_mut();
    state.in_flight += 1;
    let lateness_us = due.elapsed().as_micros() as u64;
    state.outcome.lateness_us.saturating_record(lateness_us);
}

fn record_reply(
    state: &RefCell<State>,
    due: Instant,
    reply: Reply,
    idle: &Notify,
) {
    let mut state = state.borrow_mut();
    let latency_us = due.elapsed().as_micros() as u64;
    // After the grace period the request was counted as failed already.
    if state.in_flight == 0 {
        return;
    }
    state.in_flight -= 1;
    state.outcome.record(reply, latency_us);
    if state.in_flight == 0 {
        idle.notify_one();
    }
}
