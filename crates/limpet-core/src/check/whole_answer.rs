use std::collections::HashMap;

use super::Violation;

/// The name of the promise.
const INVARIANT: &str = "whole answer to its own caller";

/// Checks that every answer which a caller takes for whole is the whole
/// answer to its own request.
#[derive(Clone, Debug, Default)]
pub struct WholeAnswerCheck {
    expected: HashMap<String, Vec<u8>>,
    whole: u64,
}

impl WholeAnswerCheck {
    /// Takes in a request and the body that belongs to it.
    pub fn record_request(&mut self, request_id: &str, expected: &[u8]) {
        self.expected.insert(request_id.to_owned(), expected.to_vec());
    }

    /// Takes in an answer that its caller read to the end without a fault.
    ///
    /// # Errors
    ///
    /// The body is another one than the request's own, or a part of it.
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
                    "request {request_id} got {} bytes starting {:?}, its \
                     own are {} starting {:?}",
                    body.len(),
                    start(body),
                    expected.len(),
                    start(expected)
                ),
            ));
        }
        self.whole += 1;
        Ok(())
    }

    /// Returns how many whole answers were taken in.
    pub fn whole(&self) -> u64 {
        self.whole
    }
}

fn start(body: &[u8]) -> String {
    let end = body.len().min(24);
    String::from_utf8_lossy(&body[..end]).into_owned()
}
