/// The part of a token that each request earns. Under a tenth, so that
/// retries stay under a tenth of requests however much fails.
const TOKENS_PER_REQUEST: f64 = 0.09;

/// The tokens at the start, for the failure among the first requests.
const INITIAL_TOKENS: f64 = 1.0;

/// The most tokens that quiet times can save up: an outage meets at most
/// this many retries at once.
const MAX_TOKENS: f64 = 20.0;

/// A token bucket that ties retries to the requests that came first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Returns the budget of a thread that was just started.
    pub const fn new() -> RetryBudget {
        RetryBudget { tokens: INITIAL_TOKENS }
    }

    /// Takes in the first attempt of a request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Spends a token on a retry; false where there is none.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new()
    }
}
