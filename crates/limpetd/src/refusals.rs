use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use limpet_core::{
    Error, InstanceId, KeyId, TeamName, TimeMs, command::RefusalView,
};

/// The refusals that an instance remembers.
const KEPT: usize = 1_000;
/// The longest text of what was asked for, in characters.
const ASKED_LIMIT: usize = 200;

/// What this instance refused lately, for `show refusals` and `why refusal`.
///
/// Every thread adds to it. The lock is held for one push or one copy and
/// guards nothing that placement needs.
#[derive(Clone)]
pub struct Refusals {
    inner: Arc<Inner>,
}

struct Inner {
    instance: InstanceId,
    incarnation: u64,
    next: AtomicU64,
    recent: Mutex<VecDeque<RefusalView>>,
}

/// Who was refused, and what was asked for.
#[derive(Clone, Debug)]
pub struct RefusedRequest {
    /// The key that came with the request, where one did.
    pub key: Option<KeyId>,
    /// The team of that key, where the key was granted to one.
    pub team: Option<TeamName>,
    /// What was asked for, in short.
    pub asked: String,
}

impl Refusals {
    /// Returns a memory without refusals, for this start of an instance.
    pub fn new(instance: InstanceId, incarnation: u64) -> Refusals {
        Refusals {
            inner: Arc::new(Inner {
                instance,
                incarnation,
                next: AtomicU64::new(1),
                recent: Mutex::default(),
            }),
        }
    }

    /// Remembers a refusal and returns its id, which no other refusal of
    /// the cell bears.
    pub fn add(
        &self,
        err: &Error,
        request: RefusedRequest,
        at: TimeMs,
    ) -> String {
        let number = self.inner.next.fetch_add(1, Ordering::Relaxed);
        // The start tells the ids of a restarted instance from earlier ones.
        let start = self.inner.incarnation as u16;
        let id = format!("{}-{start:04x}-{number}", self.inner.instance);
        let view = RefusalView {
            refusal: id.clone(),
            instance: self.inner.instance.clone(),
            at,
            kind: err.kind(),
            message: err.message().to_owned(),
            key: request.key,
            team: request.team,
            asked: request.asked.chars().take(ASKED_LIMIT).collect(),
        };
        let mut recent =
            self.inner.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if recent.len() >= KEPT {
            recent.pop_front();
        }
        recent.push_back(view);
        id
    }

    /// Returns what is remembered, the oldest first.
    pub fn recent(&self) -> Vec<RefusalView> {
        let recent =
            self.inner.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.iter().cloned().collect()
    }
}
