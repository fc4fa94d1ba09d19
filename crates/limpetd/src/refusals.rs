//! The most recent refusals of an instance.

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

/// How many refusals an instance keeps.
const REFUSALS_KEPT: usize = 1_000;
/// The longest description of a refused request, in characters. Longer ones
/// are truncated.
const DESCRIPTION_LIMIT_CHARS: usize = 200;

/// The most recent refusals of this instance, for `show refusals` and `why
/// refusal`. Clones share them.
///
/// All threads add to them. The lock is held for a push or a copy only, and
/// placement doesn't need it.
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

/// A refused request: who sent it, and what it asked for.
#[derive(Clone, Debug)]
pub struct RefusedRequest {
    /// The id of the request's key, if it had one.
    pub key: Option<KeyId>,
    /// The team of the key, if it was granted to one.
    pub team: Option<TeamName>,
    /// A short description of what was asked for.
    pub description: String,
}

impl Refusals {
    /// Returns an empty list for this start of an instance.
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

    /// Records a refusal and returns its id, which is unique in the cell. The
    /// oldest refusal is dropped if too many are kept.
    pub fn add(
        &self,
        err: &Error,
        request: RefusedRequest,
        at: TimeMs,
    ) -> String {
        let number = self.inner.next.fetch_add(1, Ordering::Relaxed);
        // A part of the incarnation tells the ids of this start of the
        // instance from those of earlier ones.
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
            asked: request
                .description
                .chars()
                .take(DESCRIPTION_LIMIT_CHARS)
                .collect(),
        };
        let mut recent =
            self.inner.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if recent.len() >= REFUSALS_KEPT {
            recent.pop_front();
        }
        recent.push_back(view);
        id
    }

    /// Returns the recorded refusals, the oldest first.
    pub fn recent(&self) -> Vec<RefusalView> {
        let recent =
            self.inner.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.iter().cloned().collect()
    }
}
