use super::{ErrorResponse, RunStatus};

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident: $code:literal, $status:literal,
        $run:ident, $retry:expr;)*) => {
        /// The kind of an error: why a request was refused or failed.
        ///
        /// The list is closed, and each kind has exactly one
        /// [`ErrorResponse`], so that callers, operators and programs all
        /// interpret a kind in the same way.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(serde::Deserialize, serde::Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// Every kind, in declaration order.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$kind,)*];

            /// Returns the response that a caller gets for this kind.
            pub const fn response(self) -> ErrorResponse {
                match self {
                    $(ErrorKind::$kind => ErrorResponse {
                        code: $code,
                        http_status: $status,
                        run: RunStatus::$run,
                        retry_after_ms: $retry,
                    },)*
                }
            }
        }
    };
}

kinds! {
    /// The request is malformed.
    InvalidRequest: "invalid_request", 400, NotRun, None;
    /// A value in a job specification is out of range.
    InvalidJob: "invalid_job", 422, NotRun, None;
    /// The request body is longer than the limit.
    TooLarge: "too_large", 413, NotRun, None;
    /// The request headers are longer than the limit.
    HeadersTooLarge: "headers_too_large", 431, NotRun, None;
    /// The caller sent its request too slowly.
    CallerTimeout: "caller_timeout", 408, NotRun, Some(0);
    /// The request has no key, or one that was never granted.
    UnknownKey: "unknown_key", 401, NotRun, None;
    /// The key was withdrawn or has expired.
    KeyWithdrawn: "key_withdrawn", 401, NotRun, None;
    /// The key is valid, but its role or team doesn't allow the request.
    NotPermitted: "not_permitted", 403, NotRun, None;
    /// The instance can't currently confirm that the key is still granted.
    KeyUnverified: "key_unverified", 503, NotRun, Some(1_000);
    /// No queue has this name.
    UnknownQueue: "unknown_queue", 422, NotRun, None;
    /// No team has this name.
    UnknownTeam: "unknown_team", 404, NotRun, None;
    /// No service has this name.
    UnknownService: "unknown_service", 404, NotRun, None;
    /// No job, task, worker or other object has this name or id.
    NotFound: "not_found", 404, NotRun, None;
    /// The job doesn't fit on any worker that the cell has ever had.
    NeverFits: "never_fits", 422, NotRun, None;
    /// The team has reached its limit.
    TeamLimit: "team_limit", 429, NotRun, Some(1_000);
    /// The team's request queue at this instance is full.
    QueueFull: "queue_full", 429, NotRun, Some(1_000);
    /// The request can't be answered before its deadline because of load.
    Overloaded: "overloaded", 503, NotRun, Some(1_000);
    /// The deadline passed before the request reached a runner.
    DeadlineBeforeRun: "deadline_before_run", 504, NotRun, None;
    /// No runner of the service currently accepts requests.
    NoRunner: "no_runner", 503, NotRun, Some(1_000);
    /// A runner could not be reached, so it did not receive the request.
    RunnerUnreachable: "runner_unreachable", 502, NotRun, Some(500);
    /// The connection to a runner failed before its response was complete,
    /// so the request may have run.
    RunnerFailed: "runner_failed", 502, Unknown, None;
    /// A runner didn't respond before the deadline.
    RunnerTimeout: "runner_timeout", 504, Unknown, None;
    /// Another request with this idempotency key is in progress.
    ClaimPending: "claim_pending", 409, Unknown, Some(1_000);
    /// The idempotency key was used before for a different request.
    ClaimMismatch: "claim_mismatch", 422, NotRun, None;
    /// The request ran, but its response was too long to be kept for a
    /// repeat.
    AnswerNotKept: "answer_not_kept", 409, Ran, None;
    /// The change conflicts with the configuration, for instance because the
    /// revision is not the one that the command names.
    Conflict: "conflict", 409, NotRun, Some(0);
    /// The table or object store can't be reached; nothing was written.
    StoreUnavailable: "store_unavailable", 503, NotRun, Some(2_000);
    /// It is unknown whether a write took effect.
    StoreUnknown: "store_unknown", 503, Unknown, Some(2_000);
    /// This instance doesn't own the shard, or no longer owns it.
    NotOwner: "not_owner", 503, NotRun, Some(500);
    /// The instance that owns the shard can't be reached.
    ShardUnreachable: "shard_unreachable", 503, NotRun, Some(1_000);
    /// The owner of the shard was reached, but its reply was lost.
    ShardUnknown: "shard_unknown", 504, Unknown, Some(1_000);
    /// This instance is shutting down and accepts no new work.
    Leaving: "leaving", 503, NotRun, Some(0);
    /// A worker refused a command with an outdated epoch.
    StaleEpoch: "stale_epoch", 409, NotRun, None;
    /// A worker refused a task for lack of resources or because it is
    /// leaving.
    WorkerRefused: "worker_refused", 409, NotRun, Some(0);
    /// A bug in the program itself.
    Internal: "internal", 500, Unknown, None;
}
