use std::collections::BTreeMap;

use super::Violation;
use crate::{KeyId, TimeMs};

/// How long after its withdrawal a key may still be accepted, in
/// milliseconds.
const STOPPED_MS: u64 = 3_000;

/// Checks that a withdrawn key stops working everywhere.
#[derive(Clone, Debug, Default)]
pub struct WithdrawnKeyCheck {
    withdrawn: BTreeMap<KeyId, TimeMs>,
}

impl WithdrawnKeyCheck {
    /// Notes that a withdrawal was accepted.
    pub fn record_withdrawal(&mut self, key: &KeyId, now: TimeMs) {
        self.withdrawn.entry(key.clone()).or_insert(now);
    }

    /// Notes that an instance accepted work for a key.
    ///
    /// # Errors
    ///
    /// A [`Violation`] where the key was withdrawn too long ago.
    pub fn record_use(
        &self,
        instance: &str,
        key: &KeyId,
        now: TimeMs,
    ) -> Result<(), Violation> {
        let Some(&at) = self.withdrawn.get(key) else { return Ok(()) };
        if now.ms_since(at) <= STOPPED_MS {
            return Ok(());
        }
        Err(Violation::new(
            "a withdrawn key stops working",
            format!(
                "{instance} accepted key `{key}` at {now}, withdrawn at {at}"
            ),
        ))
    }
}
