use std::collections::BTreeMap;

use super::Violation;
use crate::{Revision, TimeMs};

/// How long after its acceptance a configuration may be missing somewhere,
/// in milliseconds.
const IN_FORCE_MS: u64 = 4_000;
/// The name of the promise.
const INVARIANT: &str = "configuration in force and never reverts";

/// Checks that an accepted configuration is in force everywhere in time and
/// that no instance goes back to an older one.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationCheck {
    accepted: BTreeMap<Revision, TimeMs>,
    seen: BTreeMap<String, Revision>,
}

impl ConfigurationCheck {
    /// Notes that an operator was told that a revision is accepted.
    pub fn record_accepted(&mut self, revision: Revision, now: TimeMs) {
        self.accepted.entry(revision).or_insert(now);
    }

    /// Notes the revision that an instance has in force.
    ///
    /// # Errors
    ///
    /// A [`Violation`] where the instance had a newer one before.
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

    /// Notes that an instance acted on a revision.
    ///
    /// # Errors
    ///
    /// A [`Violation`] where a later one was accepted too long ago.
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
