use std::collections::HashMap;

use super::Violation;

/// The name of the invariant.
const INVARIANT: &str = "complete answer to its own caller";

/// Checks that every answer which a caller considers complete is the complete
/// answer to its own request.
#[derive(Clone, Debug, Default)]
pub struct CompleteAnswerCheck {
    expected: HashMap<String, Vec<u8>>,
    complete: u64,
}

impl CompleteAnswerCheck {
    /// Records a request and the body of the expected answer.
    pub fn record_request(&mut self, request_id: &str, expected: &[u8]) {
        self.expected.insert(request_id.to_owned(), expected.to_vec());
    }

    /// Records an answer that its caller read to the end without an error.
    ///
    /// # Errors
    ///
    /// A [`Violation`] if the request is unknown, or if the body isn't
    /// exactly the expected one.
    pub fn record_answer(
        &mut self,
        request_id: &str,
        body: &[u8],
    ) -> Result<(), Violation> {
        let Some(expected) = self.expected.get(request_id) else {
            return Err(Violation::new(
                INVARIANT,
                format!("request {request_id} was answered but never made"),
            ));
        };
        if expected.as_slice() != body {
            return Err(Violation::new(
                INVARIANT,
                format!(
                    "request {request_id} got {} bytes starting with {:?} \
                     instead of {} bytes starting with {:?}",
                    body.len(),
                    start(body),
                    expected.len(),
                    start(expected)
                ),
            ));
        }
        self.complete += 1;
        Ok(())
    }

    /// Returns the number of complete answers.
    pub fn complete(&self) -> u64 {
        self.complete
    }
}

/// Returns the first 24 bytes of a body as text, for the detail of a
/// violation.
fn start(body: &[u8]) -> String {
    let end = body.len().min(24);
    String::from_utf8_lossy(&body[..end]).into_owned()
}
