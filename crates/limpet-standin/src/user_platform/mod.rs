//! A stand-in for the users' platform: its store, its runners and its advice
//! service. It listens at three ports of 127.0.0.1 and one for each runner.

mod life;
mod listen;
mod runner;
mod store;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use serde_json::{Value, json};

use self::listen::{Answer, Call, serve, serve_over};
pub use self::{
    runner::{Departure, RunnerState, StartRecord},
    store::{StoreFault, StoreState},
};
use crate::slow_link::SlowLink;

/// A stand-in for the users' platform. Its threads run until the process
/// ends. Clones are handles of the same platform.
#[derive(Clone)]
pub struct UserPlatform {
    store: Arc<Mutex<StoreState>>,
    /// The link of the clients of `store_address`.
    store_link: Arc<SlowLink>,
    runners: Vec<Arc<Mutex<RunnerState>>>,
    /// The address of the store.
    pub store_address: SocketAddr,
    /// A second address of the same store, which can be made to fail on its
    /// own.
    pub alternate_store_address: SocketAddr,
    alternate_store_fails: Arc<AtomicBool>,
    /// The address of the advice service, which lets every worker run every
    /// step.
    pub advice_address: SocketAddr,
}

impl UserPlatform {
    /// Starts a platform with `count` runners of 16 cores each, registered for
    /// `service`.
    ///
    /// # Errors
    ///
    /// Fails if no port is free or a thread can't be started.
    pub fn start(service: &str, count: usize) -> io::Result<UserPlatform> {
        let store = Arc::new(Mutex::new(StoreState::default()));
        let served = Arc::clone(&store);
        let store_link = Arc::new(SlowLink::default());
        let store_address =
            serve_over(Arc::clone(&store_link), move |call| {
                answer_from(Arc::clone(&served), call)
            })?;
        let alternate_store_fails = Arc::new(AtomicBool::new(false));
        let (served, fails) =
            (Arc::clone(&store), Arc::clone(&alternate_store_fails));
        let alternate_store_address = serve(move |call| {
            let fails = fails.load(Ordering::SeqCst);
            let served = Arc::clone(&served);
            async move {
                match fails {
                    true => Answer::empty(503),
                    false => answer_from(served, call).await,
                }
            }
        })?;
        let advice_address = serve(|call| async move {
            let workers = call.body()["workers"].clone();
            let ids = workers.as_array().cloned().unwrap_or_default();
            let allowed: Vec<Value> =
                ids.into_iter().map(|id| json!([id, "ticket"])).collect();
            Answer::json(200, &json!({ "allowed": allowed, "valid_ms": 2500 }))
        })?;
        let mut platform = UserPlatform {
            store,
            store_link,
            runners: Vec::new(),
            store_address,
            alternate_store_address,
            alternate_store_fails,
            advice_address,
        };
        for number in 0..count {
            platform.add_runner(service, number)?;
        }
        Ok(platform)
    }

    /// Starts a runner and writes its registration to the store.
    fn add_runner(&mut self, service: &str, number: usize) -> io::Result<()> {
        let id = format!("i-{number}");
        let runner = Arc::new(Mutex::new(RunnerState::new(&id, service)));
        life::start(&self.store, &runner)?;
        self.runners.push(runner);
        Ok(())
    }

    /// Locks and returns the state of the store.
    pub fn store(&self) -> MutexGuard<'_, StoreState> {
        lock(&self.store)
    }

    /// Sets whether the store answers all calls at its alternate address with
    /// 503.
    pub fn set_alternate_store_fails(&self, fails: bool) {
        self.alternate_store_fails.store(fails, Ordering::SeqCst);
    }

    /// Limits the bytes per second of all answers at `store_address` together;
    /// 0 sets no limit.
    pub fn limit_store_link(&self, bytes_per_s: u64) {
        self.store_link.limit(bytes_per_s);
    }

    /// Locks and returns the state of a runner.
    pub fn runner(&self, number: usize) -> MutexGuard<'_, RunnerState> {
        lock(&self.runners[number])
    }

    /// Writes the current registration of a runner to the store.
    pub fn register(&self, number: usize) {
        let (id, value) = {
            let runner = self.runner(number);
            (runner.id.clone(), runner.registration())
        };
        self.store().put("servers", "", &id, value.to_string().as_bytes());
    }

    /// Replaces a runner by a new incarnation with the same id, which has no
    /// tasks, and registers it.
    pub fn restart_runner(&self, number: usize) {
        self.restart_unregistered(number);
        self.register(number);
    }

    /// Like [`UserPlatform::restart_runner`], but its row is still that of the
    /// former life.
    pub fn restart_unregistered(&self, number: usize) {
        self.runner(number).restart();
    }

    /// Writes a configuration to the store, as the operator does.
    pub fn configure(&self, config: &Value) {
        let text = config.to_string();
        self.store().put("op", "", "config", text.as_bytes());
    }

    /// Returns the starts of all runners, oldest first.
    pub fn starts(&self) -> Vec<StartRecord> {
        let mut starts: Vec<StartRecord> = (0..self.runners.len())
            .flat_map(|number| self.runner(number).starts.clone())
            .collect();
        starts.sort_by_key(|start| start.at_ms);
        starts
    }
}

/// Lets a call of the store take effect, after its delay, and answers it.
async fn answer_from(store: Arc<Mutex<StoreState>>, call: Call) -> Answer {
    let delay_ms = lock(&store).delay_ms(&call);
    if delay_ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    lock(&store).answer(&call)
}

fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
