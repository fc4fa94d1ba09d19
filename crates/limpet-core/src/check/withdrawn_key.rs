use std::collections::BTreeMap;

use super::Violation;
use crate::{KeyId, TimeMs};

/// How long after its withdrawal a key may still be accepted.
const WITHDRAWAL_GRACE_MS: u64 = 3_000;

/// Checks that every instance stops accepting a withdrawn key in time.
#[derive(Clone, Debug, Default)]
pub struct WithdrawnKeyCheck {
    withdrawn: BTreeMap<KeyId, TimeMs>,
}

impl WithdrawnKeyCheck {
    /// Records that the withdrawal of a key was accepted.
    pub fn record_withdrawal(&mut self, key: &KeyId, now: TimeMs) {
        self.withdrawn.entry(key.clone()).or_insert(now);
    }

    /// Records that an instance accepted a request with a key.
    ///
    /// # Errors
    ///
    /// A [`Violation`] if the key was withdrawn more than 3 s ago.
    pub fn record_use(
        &self,
        instance: &str,
        key: &KeyId,
        now: TimeMs,
    ) -> Result<(), Violation> {
        let Some(&at) = self.withdrawn.get(key) else { return Ok(()) };
        if now.ms_since(at) <= WITHDRAWAL_GRACE_MS {
            return Ok(());
        }
        Err(Violation::new(
            "a withdrawn key is refused",
            format!(
                "{instance} accepted key `{key}` at {now}, withdrawn at {at}"
            ),
        ))
    }
}
