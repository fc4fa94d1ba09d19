//! Submissions while the store is slow: its parts carry out one transaction
//! after another, each many times as slowly as usual.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use limpet_entry::{AnswerTimes, PARTS, Waited, wait_for_answer};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep};

/// The usual time of a transaction.
const TRANSACTION_MS: u64 = 5;
/// The usual time of a read.
const READ_MS: u64 = 4;
/// A part refuses transactions that would wait for longer than this.
const MAX_QUEUE_MS: u64 = 1_000;
/// The time in which an instance writes a submission.
const DEADLINE_MS: u64 = 1_200;
/// The instances of the largest site, and the submissions that each receives
/// in a second, in thousandths.
const LARGE: (usize, u64) = (97, 1_020);
/// The same of the smallest one.
const SMALL: (usize, u64) = (7, 5_700);
/// How long submissions arrive.
const LOAD_MS: u64 = 8_000;

/// A store that is slow by a factor.
struct SlowStore {
    factor: u64,
    /// When the transactions that each part has received are carried out.
    free_at: RefCell<Vec<Instant>>,
    /// Transactions that were carried out.
    done: Cell<u64>,
    /// Whether it loses the answers to transactions.
    loses_answers: bool,
    /// Whether it answers nothing.
    silent: bool,
}

impl SlowStore {
    fn new(factor: u64) -> SlowStore {
        SlowStore {
            factor,
            free_at: RefCell::new(vec![Instant::now(); PARTS.into()]),
            done: Cell::new(0),
            loses_answers: false,
            silent: false,
        }
    }

    /// Carries a transaction out. Returns false if the part refuses it. What
    /// was received is carried out though the caller gives up.
    async fn transact(&self, part: usize) -> bool {
        if self.silent {
            std::future::pending::<()>().await;
        }
        let now = Instant::now();
        let begins = self.free_at.borrow()[part].max(now);
        if begins - now > Duration::from_millis(MAX_QUEUE_MS) {
            return false;
        }
        let takes = Duration::from_millis(TRANSACTION_MS * self.factor);
        self.free_at.borrow_mut()[part] = begins + takes;
        self.done.set(self.done.get() + 1);
        tokio::time::sleep_until(begins + takes).await;
        if self.loses_answers {
            std::future::pending::<()>().await;
        }
        true
    }

    async fn read(&self) -> bool {
        let ms = if self.silent { 300 } else { READ_MS * self.factor };
        sleep(Duration::from_millis(ms)).await;
        !self.silent
    }
}

/// What became of the submissions.
#[derive(Debug, Default)]
struct Outcomes {
    accepted: Cell<u64>,
    refused: Cell<u64>,
    /// It is unknown whether they were written.
    uncertain: Cell<u64>,
}

fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// Writes a submission as an instance does: again after each wait without an
/// answer, until the deadline.
async fn submit(
    store: &SlowStore,
    times: &AnswerTimes,
    out: &Outcomes,
    part: usize,
) {
    let deadline = Instant::now() + Duration::from_millis(DEADLINE_MS);
    let mut is_uncertain = false;
    while Instant::now() < deadline {
        let (call, probe) = (store.transact(part), store.read());
        match wait_for_answer(call, probe, times, 0).await {
            Waited::Answered(true) => return count(&out.accepted),
            Waited::Answered(false) => sleep(Duration::from_millis(40)).await,
            Waited::Late => is_uncertain = true,
            Waited::Silent => {
                is_uncertain = true;
                break;
            }
        }
    }
    count(if is_uncertain { &out.uncertain } else { &out.refused });
}

/// Lets submissions arrive at the instances of a site.
async fn load(
    store: SlowStore,
    (instances, milli_per_s): (usize, u64),
) -> (Rc<Outcomes>, Rc<SlowStore>) {
    let (store, out) = (Rc::new(store), Rc::new(Outcomes::default()));
    let tasks = tokio::task::LocalSet::new();
    for instance in 0..instances {
        let (store, out) = (Rc::clone(&store), Rc::clone(&out));
        tasks.spawn_local(async move {
            let mut rng = ChaCha8Rng::seed_from_u64(instance as u64);
            let times = Rc::new(AnswerTimes::default());
            let until = Instant::now() + Duration::from_millis(LOAD_MS);
            let gap_us = 1_000_000_000 / milli_per_s;
            loop {
                let pause_us = rng.random_range(0..2 * gap_us);
                sleep(Duration::from_micros(pause_us)).await;
                if Instant::now() >= until {
                    break;
                }
                let part = rng.random_range(0..usize::from(PARTS));
                let (store, out) = (Rc::clone(&store), Rc::clone(&out));
                let times = Rc::clone(&times);
                tokio::task::spawn_local(async move {
                    submit(&store, &times, &out, part).await;
                });
            }
        });
    }
    tasks.await;
    (out, store)
}

/// Checks that at least `percent` of the submissions are accepted, and that
/// of at most 2% it is unknown whether they were.
fn assert_accepted(out: &Outcomes, percent: u64) {
    let accepted = out.accepted.get();
    let all = accepted + out.refused.get() + out.uncertain.get();
    assert!(all > 100, "{out:?}");
    assert!(accepted * 100 >= all * percent, "{out:?}");
    assert!(out.uncertain.get() * 50 <= all, "{out:?}");
}

/// Guards against a store that is slow and so accepts nothing: copies of
/// transactions that wait in its queues fill them.
#[tokio::test(start_paused = true)]
async fn fifty_times_slower() {
    let (out, _) = load(SlowStore::new(50), LARGE).await;
    assert_accepted(&out, 90);
    let (out, _) = load(SlowStore::new(50), SMALL).await;
    assert_accepted(&out, 90);
}

/// Guards against the same where it is 20 times as slow.
#[tokio::test(start_paused = true)]
async fn twenty_times_slower() {
    let (out, _) = load(SlowStore::new(20), LARGE).await;
    assert_accepted(&out, 98);
    let (out, _) = load(SlowStore::new(20), SMALL).await;
    assert_accepted(&out, 98);
}

/// Guards against a store whose queues a slow instance fills with copies: a
/// submission is sent once, but for a few.
#[tokio::test(start_paused = true)]
async fn few_copies() {
    let (out, store) = load(SlowStore::new(50), SMALL).await;
    let all = out.accepted.get() + out.refused.get() + out.uncertain.get();
    let done = store.done.get();
    assert!(done * 10 <= all * 11, "{done} transactions for {all}");
}

/// Guards against an answer that is lost and waited for as long as for that of
/// a slow store.
#[tokio::test(start_paused = true)]
async fn lost_answer() {
    let mut store = SlowStore::new(1);
    store.loses_answers = true;
    let times = AnswerTimes::default();
    let began = Instant::now();
    let waited =
        wait_for_answer(store.transact(0), store.read(), &times, 0).await;
    assert_eq!(waited, Waited::Late);
    assert!(began.elapsed() <= Duration::from_millis(160));
}

/// Guards against a store that is gone and is waited for as long as for a slow
/// one: each submission until then has an unknown outcome.
#[tokio::test(start_paused = true)]
async fn silent_store() {
    let mut store = SlowStore::new(1);
    store.silent = true;
    let times = AnswerTimes::default();
    let began = Instant::now();
    let waited =
        wait_for_answer(store.transact(0), store.read(), &times, 0).await;
    assert_eq!(waited, Waited::Silent);
    assert!(began.elapsed() <= Duration::from_millis(410));
}
