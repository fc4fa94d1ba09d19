//! The columns of each topic's table.

use std::fmt;

use super::Topic;

/// The kind of the values in a column.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColumnKind {
    /// Yes or no.
    Flag,
    /// A whole number.
    Number,
    /// A decimal number.
    Decimal,
    /// A text.
    Text,
    /// One of these words.
    Word(&'static [&'static str]),
}

impl ColumnKind {
    /// Returns whether the values are numbers, which can be summed.
    pub const fn is_number(self) -> bool {
        matches!(self, ColumnKind::Number | ColumnKind::Decimal)
    }
}

/// A column of a topic's table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Column {
    topic: Topic,
    index: usize,
}

impl Column {
    pub(super) const fn new(topic: Topic, index: usize) -> Column {
        Column { topic, index }
    }

    /// Returns the name, which ends in the unit where there is one.
    pub fn name(self) -> &'static str {
        self.topic.specs()[self.index].name
    }

    /// Returns the kind of the values.
    pub fn kind(self) -> ColumnKind {
        self.topic.specs()[self.index].kind
    }

    /// Returns the position in the table, counted from 0.
    pub const fn index(self) -> usize {
        self.index
    }
}

impl fmt::Display for Column {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The name of a column and the kind of its values.
pub(super) struct ColumnSpec {
    pub(super) name: &'static str,
    pub(super) kind: ColumnKind,
}

const fn column(name: &'static str, kind: ColumnKind) -> ColumnSpec {
    ColumnSpec { name, kind }
}

const JOB_STATES: &[&str] =
    &["waiting", "running", "done", "failed", "cancelled"];
const TASK_STATES: &[&str] = &[
    "waiting",
    "starting",
    "running",
    "stopping",
    "done",
    "failed",
    "cancelled",
    "unknown",
];
const WORKER_STATES: &[&str] =
    &["ready", "leaving", "suspected", "probation", "drained"];
const POLICIES: &[&str] = &["service", "batch", "gang"];
const RUN_STATUSES: &[&str] = &["not_run", "ran", "unknown"];
const ROLES: &[&str] = &["submit", "operate"];
const KEY_STATES: &[&str] = &["granted", "withdrawn", "expired"];

use ColumnKind::{Decimal, Flag, Number, Text, Word};

const JOBS: &[ColumnSpec] = &[
    column("job", Number),
    column("name", Text),
    column("team", Text),
    column("queue", Text),
    column("state", Word(JOB_STATES)),
    column("tasks", Number),
    column("running", Number),
    column("done", Number),
    column("urgent", Flag),
    column("all_at_once", Flag),
    column("held", Flag),
    column("waited_ms", Number),
    column("ran_ms", Number),
    column("reason", Text),
];

const TASKS: &[ColumnSpec] = &[
    column("task", Text),
    column("job", Number),
    column("team", Text),
    column("state", Word(TASK_STATES)),
    column("worker", Text),
    column("cores", Decimal),
    column("memory_mb", Number),
    column("accelerators", Number),
    column("starts", Number),
    column("ran_ms", Number),
];

const WORKERS: &[ColumnSpec] = &[
    column("worker", Text),
    column("data_centre", Text),
    column("rack", Text),
    column("state", Word(WORKER_STATES)),
    column("tasks", Number),
    column("cores", Decimal),
    column("committed_cores", Decimal),
    column("used_cores", Decimal),
    column("memory_mb", Number),
    column("committed_memory_mb", Number),
    column("used_memory_mb", Number),
    column("accelerators", Number),
    column("committed_accelerators", Number),
];

const TEAMS: &[ColumnSpec] = &[
    column("team", Text),
    column("share", Number),
    column("waiting_jobs", Number),
    column("running_cores", Decimal),
    column("limit_cores", Decimal),
    column("running_memory_mb", Number),
    column("limit_memory_mb", Number),
    column("running_accelerators", Number),
    column("limit_accelerators", Number),
    column("limit_requests", Number),
];

const QUEUES: &[ColumnSpec] = &[
    column("queue", Text),
    column("policy", Word(POLICIES)),
    column("open", Flag),
    column("stop_over_size", Flag),
    column("waiting_jobs", Number),
    column("running_tasks", Number),
];

const KEYS: &[ColumnSpec] = &[
    column("key", Text),
    column("role", Word(ROLES)),
    column("team", Text),
    column("state", Word(KEY_STATES)),
    column("expires_in_ms", Number),
];

const SERVICES: &[ColumnSpec] = &[
    column("service", Text),
    column("open", Flag),
    column("deadline_ms", Number),
    column("endpoints", Number),
    column("leaving_endpoints", Number),
];

const ENDPOINTS: &[ColumnSpec] = &[
    column("endpoint", Text),
    column("service", Text),
    column("data_centre", Text),
    column("state", Text),
    column("slots", Number),
];

const SHARDS: &[ColumnSpec] = &[
    column("shard", Number),
    column("data_centre", Text),
    column("owner", Text),
    column("epoch", Number),
    column("workers", Number),
    column("waiting_jobs", Number),
    column("running_tasks", Number),
];

const INSTANCES: &[ColumnSpec] = &[
    column("instance", Text),
    column("data_centre", Text),
    column("state", Text),
    column("address", Text),
    column("revision", Number),
];

const CONFIG: &[ColumnSpec] =
    &[column("setting", Text), column("value", Text)];

const REFUSALS: &[ColumnSpec] = &[
    column("refusal", Text),
    column("instance", Text),
    column("age_ms", Number),
    column("error", Text),
    column("run", Word(RUN_STATUSES)),
    column("team", Text),
    column("key", Text),
    column("asked", Text),
    column("message", Text),
];

const CHANGES: &[ColumnSpec] = &[
    column("revision", Number),
    column("at_unix_ms", Number),
    column("key", Text),
    column("command", Text),
    column("before", Text),
    column("after", Text),
];

/// Returns the columns of a topic's table, in order.
pub(super) const fn specs(topic: Topic) -> &'static [ColumnSpec] {
    match topic {
        Topic::Jobs => JOBS,
        Topic::Tasks => TASKS,
        Topic::Workers => WORKERS,
        Topic::Teams => TEAMS,
        Topic::Queues => QUEUES,
        Topic::Keys => KEYS,
        Topic::Services => SERVICES,
        Topic::Endpoints => ENDPOINTS,
        Topic::Shards => SHARDS,
        Topic::Instances => INSTANCES,
        Topic::Config => CONFIG,
        Topic::Refusals => REFUSALS,
        Topic::Changes => CHANGES,
    }
}
