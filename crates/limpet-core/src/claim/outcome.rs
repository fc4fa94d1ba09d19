use crate::units::HexBytes;

/// The length up to which the body of an answer is stored with a claim.
pub const OUTCOME_BODY_LIMIT_BYTES: usize = 16 * 1024;

/// The answer to the first attempt of a request, as stored with its claim.
#[serde_with::serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ClaimOutcome {
    /// The HTTP status code.
    pub http_status: u16,
    /// The media type of the body, if the answer named one.
    pub content_type: Option<String>,
    /// The body; `None` if it was longer than [`OUTCOME_BODY_LIMIT_BYTES`].
    /// A retry then gets only the status.
    #[serde_as(as = "Option<HexBytes>")]
    pub body: Option<Vec<u8>>,
}

impl ClaimOutcome {
    /// Returns the outcome to store for an answer.
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
