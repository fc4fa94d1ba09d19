use super::{ErrorResponse, RunStatus};

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident: $code:literal, $status:literal,
        $run:ident, $retry:expr;)*) => {
        /// The closed list of what can be refused or fail.
        ///
        /// Each kind has one [`ErrorResponse`], so a caller, an operator and a
        /// program all read the same thing into it.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(serde::Deserialize, serde::Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// Every kind, in the order of the table.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$kind,)*];

            /// Returns the response that a refusal of this kind gives.
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
    /// The request can't be understood.
    InvalidRequest: "invalid_request", 400, NotRun, None;
    /// A job file or one of its sizes is out of range.
    InvalidJob: "invalid_job", 422, NotRun, None;
    /// A body is longer than the limit.
    TooLarge: "too_large", 413, NotRun, None;
    /// The headers are longer than the limit.
    HeadersTooLarge: "headers_too_large", 431, NotRun, None;
    /// The caller sent too slowly.
    CallerTimeout: "caller_timeout", 408, NotRun, Some(0);
    /// No key came with the request, or one that was never granted.
    UnknownKey: "unknown_key", 401, NotRun, None;
    /// The key was withdrawn or has expired.
    KeyWithdrawn: "key_withdrawn", 401, NotRun, None;
    /// The key is good but its role or team doesn't allow this.
    NotPermitted: "not_permitted", 403, NotRun, None;
    /// Nobody can say at the moment that the key is still granted.
    KeyUnverified: "key_unverified", 503, NotRun, Some(1_000);
    /// No such queue.
    UnknownQueue: "unknown_queue", 422, NotRun, None;
    /// No such team.
    UnknownTeam: "unknown_team", 404, NotRun, None;
    /// No such service.
    UnknownService: "unknown_service", 404, NotRun, None;
    /// No such job, task, worker or other named thing.
    NotFound: "not_found", 404, NotRun, None;
    /// No worker shape that the cell has ever had fits the job.
    NeverFits: "never_fits", 422, NotRun, None;
    /// The team is at its upper limit.
    TeamLimit: "team_limit", 429, NotRun, Some(1_000);
    /// The team's queue here is full.
    QueueFull: "queue_full", 429, NotRun, Some(1_000);
    /// There is more work than can be done before its deadlines.
    Overloaded: "overloaded", 503, NotRun, Some(1_000);
    /// The deadline passed before the request reached a runner.
    DeadlineBeforeRun: "deadline_before_run", 504, NotRun, None;
    /// No runner of the service takes work at the moment.
    NoRunner: "no_runner", 503, NotRun, Some(1_000);
    /// A runner could not be reached, so it received nothing.
    RunnerUnreachable: "runner_unreachable", 502, NotRun, Some(500);
    /// A runner broke off, so the request may have run.
    RunnerFailed: "runner_failed", 502, Unknown, None;
    /// A runner gave no answer before the deadline.
    RunnerTimeout: "runner_timeout", 504, Unknown, None;
    /// The idempotency key is taken by a request that is under way.
    ClaimPending: "claim_pending", 409, Unknown, Some(1_000);
    /// The idempotency key was used for another request.
    ClaimMismatch: "claim_mismatch", 422, NotRun, None;
    /// The request ran, but its answer was too long to be kept.
    AnswerNotKept: "answer_not_kept", 409, Ran, None;
    /// The configuration changed since the revision that was named.
    Conflict: "conflict", 409, NotRun, Some(0);
    /// The table or object store can't be reached, and nothing was written.
    StoreUnavailable: "store_unavailable", 503, NotRun, Some(2_000);
    /// A write may or may not have taken effect.
    StoreUnknown: "store_unknown", 503, Unknown, Some(2_000);
    /// This instance doesn't own the shard, or not any more.
    NotOwner: "not_owner", 503, NotRun, Some(500);
    /// The instance that owns the shard can't be reached.
    ShardUnreachable: "shard_unreachable", 503, NotRun, Some(1_000);
    /// The owner was reached but its answer was lost.
    ShardUnknown: "shard_unknown", 504, Unknown, Some(1_000);
    /// This instance is leaving and takes no new work.
    Leaving: "leaving", 503, NotRun, Some(0);
    /// A worker refused a command of an older epoch.
    StaleEpoch: "stale_epoch", 409, NotRun, None;
    /// A worker refused a task because it lacks room or is leaving.
    WorkerRefused: "worker_refused", 409, NotRun, Some(0);
    /// A fault of the program itself.
    Internal: "internal", 500, Unknown, None;
}
