//! The lives of a runner: a crashed one is followed by another, some seconds
//! later, under a new id and at a new address. One that leaves is not.

use std::{
    io,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use super::{
    listen::{Answer, serve_until},
    lock,
    runner::{self, Departure, RunnerState},
    store::StoreState,
};

/// How long after the start of a deadly task its runner dies.
const DEATH: Duration = Duration::from_millis(30);
/// How long after a crash the list of runners drops the row.
const UNLIST: Duration = Duration::from_millis(1_200);
/// How long after its last answer a runner that leaves is gone.
const LAST_WORDS: Duration = Duration::from_millis(10);
/// How late the last answer is if the row is removed before it.
const LATE_ANSWER: Duration = Duration::from_millis(300);
/// How much later the next life starts.
const RETURN: Duration = Duration::from_millis(800);

/// Serves a runner's present life at a new address, and registers it.
pub(super) fn start(
    store: &Arc<Mutex<StoreState>>,
    runner: &Arc<Mutex<RunnerState>>,
) -> io::Result<()> {
    let (of_store, of_runner) = (Arc::clone(store), Arc::clone(runner));
    let stop = Arc::clone(&lock(runner).stop);
    let address = serve_until(stop, move |call| {
        let (store, runner) = (Arc::clone(&of_store), Arc::clone(&of_runner));
        async move {
            let is_poll = call.path == "/hold";
            let answer = runner::answer(&runner, call).await;
            let departure =
                is_poll.then(|| lock(&runner).take_departure()).flatten();
            if let Some(departure) = departure {
                return leave(departure, answer, store, runner).await;
            }
            if std::mem::take(&mut lock(&runner).doomed) {
                thread::spawn(move || crash(&store, &runner));
            }
            answer
        }
    })?;
    let (id, value) = {
        let mut runner = lock(runner);
        runner.address = Some(address);
        (runner.id.clone(), runner.registration())
    };
    lock(store).put("servers", "", &id, value.to_string().as_bytes());
    Ok(())
}

/// Ends a runner for good. Returns the answer to its last poll.
async fn leave(
    departure: Departure,
    answer: Answer,
    store: Arc<Mutex<StoreState>>,
    runner: Arc<Mutex<RunnerState>>,
) -> Answer {
    let id = lock(&runner).id.clone();
    match departure {
        Departure::AfterAnswer => {}
        Departure::AfterLateAnswer => {
            lock(&store).remove("servers", "", &id);
            actix_rt::time::sleep(LATE_ANSWER).await;
        }
        Departure::BeforeAnswer => {
            lock(&runner).stop.notify_one();
            lock(&store).remove("servers", "", &id);
            return Answer::none();
        }
    }
    thread::spawn(move || {
        thread::sleep(LAST_WORDS);
        lock(&runner).stop.notify_one();
        lock(&store).remove("servers", "", &id);
    });
    answer
}

/// Ends the present life of a runner, and starts the next one later.
fn crash(store: &Arc<Mutex<StoreState>>, runner: &Arc<Mutex<RunnerState>>) {
    thread::sleep(DEATH);
    let id = {
        let mut runner = lock(runner);
        runner.crash();
        runner.id.clone()
    };
    thread::sleep(UNLIST);
    lock(store).remove("servers", "", &id);
    thread::sleep(RETURN);
    lock(runner).begin_life(&format!("{id}-next"));
    // Without a free port the runner stays away.
    start(store, runner).ok();
}
