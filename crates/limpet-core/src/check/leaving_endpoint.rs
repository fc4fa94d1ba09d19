use std::collections::HashMap;

use super::Violation;
use crate::{EndpointId, TimeMs};

/// The name of the invariant.
const INVARIANT: &str = "no new requests for a leaving endpoint";

/// How long an endpoint may still get requests after the first evidence that
/// it is leaving.
const GRACE_MS: u64 = 2_000;

/// Checks that an endpoint gets no new requests later than 2 s after the
/// first evidence that it is leaving.
#[derive(Clone, Debug, Default)]
pub struct LeavingEndpointCheck {
    evidence: HashMap<EndpointId, TimeMs>,
}

impl LeavingEndpointCheck {
    /// Records that there was evidence at `at` that the endpoint is leaving.
    /// The earliest evidence counts.
    pub fn record_evidence(&mut self, endpoint: &EndpointId, at: TimeMs) {
        let first = self.evidence.entry(endpoint.clone()).or_insert(at);
        *first = at.min(*first);
    }

    /// Records that an endpoint is back, so that earlier evidence no longer
    /// counts.
    pub fn record_return(&mut self, endpoint: &EndpointId) {
        self.evidence.remove(endpoint);
    }

    /// Records that an endpoint got a request at `at`.
    ///
    /// # Errors
    ///
    /// A [`Violation`] if the first evidence is more than 2 s older.
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
