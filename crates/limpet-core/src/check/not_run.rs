use std::collections::HashSet;

use super::Violation;

/// The name of the invariant.
const INVARIANT: &str = "not_run means not run";

/// Checks that no request which was refused as `not_run` ran, either before
/// or after its refusal.
#[derive(Clone, Debug, Default)]
pub struct NotRunCheck {
    refused: HashSet<String>,
    ran: HashSet<String>,
}

impl NotRunCheck {
    /// Records that a request was refused as `not_run`.
    ///
    /// # Errors
    ///
    /// A [`Violation`] if the request had run before.
    pub fn record_refusal(
        &mut self,
        request_id: &str,
    ) -> Result<(), Violation> {
        self.refused.insert(request_id.to_owned());
        self.check(request_id)
    }

    /// Records that a request ran.
    ///
    /// # Errors
    ///
    /// A [`Violation`] if the request had been refused before.
    pub fn record_run(&mut self, request_id: &str) -> Result<(), Violation> {
        self.ran.insert(request_id.to_owned());
        self.check(request_id)
    }

    /// Returns the number of requests that were refused.
    pub fn refused(&self) -> usize {
        self.refused.len()
    }

    fn check(&self, request_id: &str) -> Result<(), Violation> {
        if self.refused.contains(request_id) && self.ran.contains(request_id) {
            return Err(Violation::new(
                INVARIANT,
                format!("request {request_id} was refused as not run and ran"),
            ));
        }
        Ok(())
    }
}
