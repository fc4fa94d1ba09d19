use super::{ClaimOutcome, ClaimRequest};
use crate::{TimeMs, ownership::Holder};

/// The length of a day.
const DAY_MS: u64 = 24 * 3_600_000;
/// The number of past days whose claims are deleted.
const EXPIRED_DAYS: u64 = 3;

/// The value of a claim row.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ClaimRow {
    /// The digest of the request.
    pub digest: String,
    /// The instance that handles the request.
    pub holder: Holder,
    /// The answer to the request; `None` while the request is in flight, and
    /// for good if its holder stopped before it stored the answer.
    pub outcome: Option<ClaimOutcome>,
}

/// Returns the number of days from the Unix epoch to a wall-clock time.
pub const fn claim_day(wall_now: TimeMs) -> u64 {
    wall_now.as_ms() / DAY_MS
}

/// Returns the key of the claim row of a request that was first made on
/// `day`.
pub fn claim_key(day: u64, request: &ClaimRequest) -> String {
    let team = request.team.as_ref().map_or("~", |team| team.as_str());
    let hash = blake3::hash(request.idempotency_key.as_bytes());
    format!("{}{team}/{}", day_prefix(day), &hash.to_hex()[..32])
}

/// Returns the key prefixes of the claims that may be deleted: those of the
/// second to the fourth day before today. A claim is thus kept for at least
/// one full day, although the clocks of instances may disagree on the day.
pub fn expired_prefixes(wall_now: TimeMs) -> Vec<String> {
    let today = claim_day(wall_now);
    (2..2 + EXPIRED_DAYS)
        .filter_map(|back| today.checked_sub(back))
        .map(day_prefix)
        .collect()
}

fn day_prefix(day: u64) -> String {
    format!("claim/{day:06}/")
}
