use std::collections::HashSet;

use super::Violation;

/// The name of the promise.
const INVARIANT: &str = "not_run means not run";

/// Checks that no request which was refused as `not_run` ran, before or
/// after its refusal.
#[derive(Clone, Debug, Default)]
pub struct NotRunCheck {
    refused: HashSet<String>,
    ran: HashSet<String>,
}

impl NotRunCheck {
    /// Takes in a refusal that said `not_run`.
    ///
    /// # Errors
    ///
    /// The request ran before.
    pub fn record_refusal(
        &mut self,
        request_id: &str,
    ) -> Result<(), Violation> {
        self.refused.insert(request_id.to_owned());
        self.check(request_id)
    }

    /// Takes in a run of a request.
    ///
    /// # Errors
    ///
    /// The request was refused before.
    pub fn record_run(&mut self, request_id: &str) -> Result<(), Violation> {
        self.ran.insert(request_id.to_owned());
        self.check(request_id)
    }

    /// Returns how many refusals were taken in.
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
