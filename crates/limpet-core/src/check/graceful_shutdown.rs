use std::collections::HashMap;

use super::Violation;

/// The name of the invariant.
const INVARIANT: &str = "graceful shutdown completes all requests";

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RequestEnd {
    /// The caller got the complete answer.
    Complete,
    /// The connection broke before the end of the answer.
    Truncated,
}

/// Checks that every request which an instance accepted before or during its
/// graceful shutdown was answered completely.
#[derive(Clone, Debug, Default)]
pub struct GracefulShutdownCheck {
    /// The requests that have not ended, and whether each was sent during the
    /// shutdown.
    open: HashMap<String, bool>,
    shutting_down: bool,
    ended: bool,
}

impl GracefulShutdownCheck {
    /// Records that a request was sent on an accepted connection.
    pub fn record_request(&mut self, request_id: &str) {
        self.open.insert(request_id.to_owned(), self.shutting_down);
    }

    /// Records the start of the shutdown.
    pub fn record_shutdown(&mut self) {
        self.shutting_down = true;
    }

    /// Records how a request ended.
    ///
    /// # Errors
    ///
    /// A [`Violation`] if its connection broke, whether the request was sent
    /// before or during the shutdown.
    pub fn record_end(
        &mut self,
        request_id: &str,
        end: RequestEnd,
    ) -> Result<(), Violation> {
        let during = self.open.remove(request_id).unwrap_or(false);
        if end == RequestEnd::Truncated {
            let when = if during { "during" } else { "before" };
            return Err(Violation::new(
                INVARIANT,
                format!(
                    "request {request_id}, sent {when} the shutdown, was \
                     cut off"
                ),
            ));
        }
        Ok(())
    }

    /// Records that the process has ended.
    ///
    /// # Errors
    ///
    /// A [`Violation`] if a request has not been answered.
    pub fn record_exit(&mut self) -> Result<(), Violation> {
        self.ended = true;
        match self.open.keys().next() {
            None => Ok(()),
            Some(request_id) => Err(Violation::new(
                INVARIANT,
                format!(
                    "the process ended with {} requests open, {request_id} \
                     among them",
                    self.open.len()
                ),
            )),
        }
    }
}
