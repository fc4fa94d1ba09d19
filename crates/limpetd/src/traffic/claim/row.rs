use super::{ClaimAnswer, StoredAnswer};

/// The value of a claim's row.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct ClaimRow {
    /// What tells the request from others.
    pub(super) digest: String,
    /// How far it got.
    pub(super) state: ClaimState,
}

/// How far a claimed request got.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ClaimState {
    /// It may have been sent.
    Pending,
    /// It ran.
    Done(Option<StoredAnswer>),
}

impl ClaimRow {
    /// Returns what another request under the same key is told.
    pub(super) fn answer(self, digest: &str) -> ClaimAnswer {
        if self.digest != digest {
            return ClaimAnswer::Mismatch;
        }
        match self.state {
            ClaimState::Pending => ClaimAnswer::Pending,
            ClaimState::Done(answer) => ClaimAnswer::Done(answer),
        }
    }
}
