use std::collections::HashMap;

use super::Violation;

/// The name of the invariant.
const INVARIANT: &str = "non-idempotent request at most once";

/// Checks that no non-idempotent request runs more than once, however often
/// its caller sends it.
#[derive(Clone, Debug, Default)]
pub struct AtMostOnceCheck {
    runs: HashMap<String, u32>,
}

impl AtMostOnceCheck {
    /// Records that a non-idempotent request ran.
    ///
    /// # Errors
    ///
    /// A [`Violation`] if the request had run before.
    pub fn record_run(&mut self, request_id: &str) -> Result<(), Violation> {
        let runs = self.runs.entry(request_id.to_owned()).or_default();
        *runs += 1;
        if *runs > 1 {
            return Err(Violation::new(
                INVARIANT,
                format!("request {request_id} ran {runs} times"),
            ));
        }
        Ok(())
    }

    /// Returns the number of times that a request ran.
    pub fn runs(&self, request_id: &str) -> u32 {
        self.runs.get(request_id).copied().unwrap_or(0)
    }
}
