use std::collections::BTreeMap;

use super::Violation;
use crate::{Revision, TimeMs};

/// The time after the acceptance of a revision within which every instance
/// has to act on it.
const IN_FORCE_MS: u64 = 4_000;
/// The name of the invariant.
const INVARIANT: &str = "configuration takes effect and never reverts";

/// Checks that an accepted revision of the configuration is in force on every
/// instance in time, and that no instance returns to an older revision.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationCheck {
    accepted: BTreeMap<Revision, TimeMs>,
    seen: BTreeMap<String, Revision>,
}

impl ConfigurationCheck {
    /// Records that an operator got the answer that a revision is accepted.
    pub fn record_accepted(&mut self, revision: Revision, now: TimeMs) {
        self.accepted.entry(revision).or_insert(now);
    }

    /// Records the revision that is in force on an instance.
    ///
    /// # Errors
    ///
    /// A [`Violation`] if a newer one was in force on the instance before.
    pub fn record_in_force(
        &mut self,
        instance: &str,
        revision: Revision,
    ) -> Result<(), Violation> {
        let seen = self.seen.entry(instance.to_owned()).or_default();
        if revision < *seen {
            let detail = format!(
                "{instance} went from revision {seen} back to {revision}"
            );
            return Err(Violation::new(INVARIANT, detail));
        }
        *seen = revision;
        Ok(())
    }

    /// Records that an instance acted on a revision.
    ///
    /// # Errors
    ///
    /// A [`Violation`] if a later revision was accepted more than 4 s ago.
    pub fn record_use(
        &self,
        instance: &str,
        revision: Revision,
        now: TimeMs,
    ) -> Result<(), Violation> {
        let overdue = self.accepted.iter().find(|&(&accepted, &at)| {
            accepted > revision && now.ms_since(at) > IN_FORCE_MS
        });
        match overdue {
            None => Ok(()),
            Some((accepted, at)) => Err(Violation::new(
                INVARIANT,
                format!(
                    "{instance} acted on revision {revision} at {now}, but \
                     {accepted} was accepted at {at}"
                ),
            )),
        }
    }
}
