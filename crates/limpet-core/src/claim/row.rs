use super::{ClaimOutcome, ClaimRequest};
use crate::{TimeMs, ownership::Holder};

/// The milliseconds of a day.
const DAY_MS: u64 = 24 * 3_600_000;
/// How many past days are looked through for claims to delete.
const EXPIRED_DAYS: u64 = 3;

/// The value of a claim's row.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ClaimRow {
    /// The digest of the request.
    pub digest: String,
    /// Who works on it.
    pub holder: Holder,
    /// What it was answered; `None` while it is under way, and for good
    /// where its holder died on the way.
    pub outcome: Option<ClaimOutcome>,
}

/// Returns the day of a wall-clock time, from the Unix epoch.
pub const fn claim_day(wall_now: TimeMs) -> u64 {
    wall_now.as_ms() / DAY_MS
}

/// Returns the key of the row of a request first made on `day`.
pub fn claim_key(day: u64, request: &ClaimRequest) -> String {
    let team = request.team.as_ref().map_or("~", |team| team.as_str());
    let hash = blake3::hash(request.idempotency_key.as_bytes());
    format!("{}{team}/{}", day_prefix(day), &hash.to_hex()[..32])
}

/// Returns what the keys of claims start with that may be deleted: those
/// first made two or more days ago, so that each was kept for a whole day
/// although instances may disagree on the day.
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
