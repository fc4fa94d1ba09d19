use crate::units::HexBytes;

/// The most bytes of an answer's body that are kept with a claim.
pub const OUTCOME_BODY_LIMIT_BYTES: usize = 16 * 1024;

/// What the first attempt was answered.
#[serde_with::serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ClaimOutcome {
    /// The HTTP status.
    pub http_status: u16,
    /// The media type of the body, where it had one.
    pub content_type: Option<String>,
    /// The body; `None` where it was longer than
    /// [`OUTCOME_BODY_LIMIT_BYTES`], so that a retry learns the status
    /// only.
    #[serde_as(as = "Option<HexBytes>")]
    pub body: Option<Vec<u8>>,
}

impl ClaimOutcome {
    /// Returns the outcome to keep for an answer.
    pub fn new(
        http_status: u16,
        content_type: Option<String>,
        body: &[u8],
    ) -> ClaimOutcome {
        let kept = body.len() <= OUTCOME_BODY_LIMIT_BYTES;
        ClaimOutcome {
            http_status,
            content_type,
            body: kept.then(|| body.to_vec()),
        }
    }
}
