use std::collections::HashMap;

use super::Violation;
use crate::{EndpointId, TimeMs};

/// The name of the promise.
const INVARIANT: &str = "nothing new for a leaving endpoint";

/// How long after any evidence an endpoint may still be given requests.
const GRACE_MS: u64 = 2_000;

/// Checks that an endpoint receives nothing new once there has been evidence
/// for 2 s that it leaves.
#[derive(Clone, Debug, Default)]
pub struct LeavingEndpointCheck {
    evidence: HashMap<EndpointId, TimeMs>,
}

impl LeavingEndpointCheck {
    /// Takes in that there was evidence at `at`; the first counts.
    pub fn record_evidence(&mut self, endpoint: &EndpointId, at: TimeMs) {
        let first = self.evidence.entry(endpoint.clone()).or_insert(at);
        *first = at.min(*first);
    }

    /// Takes in that an endpoint is there for good again.
    pub fn record_return(&mut self, endpoint: &EndpointId) {
        self.evidence.remove(endpoint);
    }

    /// Takes in that an endpoint received a request at `at`.
    ///
    /// # Errors
    ///
    /// There had been evidence for longer than 2 s.
    pub fn record_request(
        &self,
        endpoint: &EndpointId,
        at: TimeMs,
    ) -> Result<(), Violation> {
        let Some(evidence) = self.evidence.get(endpoint) else {
            return Ok(());
        };
        let late_ms = at.ms_since(*evidence);
        if late_ms > GRACE_MS {
            return Err(Violation::new(
                INVARIANT,
                format!(
                    "endpoint {endpoint} received a request {late_ms} ms \
                     after the first evidence, {GRACE_MS} are allowed"
                ),
            ));
        }
        Ok(())
    }
}
