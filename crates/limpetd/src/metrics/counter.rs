//! The names of the counters.

macro_rules! counters {
    ($($(#[$doc:meta])* $counter:ident: $name:literal;)*) => {
        /// The daemon's counters. `docs/OPERATIONS.md` says what each one
        /// means to an operator.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Counter {
            $($(#[$doc])* $counter,)*
        }

        impl Counter {
            /// Every counter, in the order of the table.
            pub const ALL: &'static [Counter] = &[$(Counter::$counter,)*];

            /// Returns the name under which the counter is reported.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Counter::$counter => $name,)*
                }
            }
        }
    };
}

counters! {
    /// Jobs that were accepted and are durable.
    JobsAccepted: "jobs.accepted";
    /// Submissions that were refused or whose outcome is unknown.
    JobsRefused: "jobs.refused";
    /// Commands that were parsed, including those that are then refused.
    CommandsAnswered: "commands.answered";
    /// Task starts that were decided.
    TaskStarts: "tasks.starts";
    /// Tasks that ended at workers.
    TaskEnds: "tasks.ends";
    /// Requests to workers.
    WorkerExchanges: "workers.exchanges";
    /// Requests to workers that got no answer.
    WorkerFailures: "workers.failures";
    /// Workers whose leases were found expired.
    WorkerLapses: "workers.lapses";
    /// Rows in the transactions that the table answered. Those of a refused
    /// transaction count too, although they were not written.
    RowsWritten: "table.rows_written";
    /// Rows that were read from the table.
    RowsRead: "table.rows_read";
    /// Calls to the table that failed or whose outcome is unknown.
    TableFailures: "table.failures";
    /// Shards that were taken over.
    ShardsTaken: "shards.taken";
    /// Shards that were released or lost.
    ShardsLost: "shards.lost";
    /// Bytes that were sent to other instances.
    LinkBytesSent: "link.bytes_sent";
    /// Bytes that were received from other instances.
    LinkBytesReceived: "link.bytes_received";
    /// Requests that were forwarded to other instances.
    LinkForwards: "link.forwards";
    /// Requests to services that were answered, by a runner or with a stored
    /// answer.
    RequestsRouted: "requests.routed";
    /// Requests to services that were refused or failed.
    RequestsRefused: "requests.refused";
    /// Retries of requests to services.
    RequestRetries: "requests.retries";
}
