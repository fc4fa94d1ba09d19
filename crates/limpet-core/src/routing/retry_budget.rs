/// The part of a token that each request adds. It is below 0.1, so that
/// retries stay below a tenth of all requests however many fail.
const TOKENS_PER_REQUEST: f64 = 0.09;

/// The initial number of tokens, which allows one retry among the first
/// requests.
const INITIAL_TOKENS: f64 = 1.0;

/// The largest number of tokens. It bounds the burst of retries at the start
/// of an outage.
const MAX_TOKENS: f64 = 20.0;

/// A token bucket that limits retries to a fraction of the requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Returns the budget of a newly started traffic thread.
    pub const fn new() -> RetryBudget {
        RetryBudget { tokens: INITIAL_TOKENS }
    }

    /// Adds to the budget for the first attempt of a request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Spends a token on a retry and returns whether one was left.
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
