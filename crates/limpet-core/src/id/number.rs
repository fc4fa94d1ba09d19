use std::{fmt, str::FromStr};

use crate::{Error, ErrorKind};

fn parse_number(kind: &str, text: &str) -> Result<u64, Error> {
    text.parse().map_err(|_| {
        Error::new(
            ErrorKind::InvalidRequest,
            format!("{kind} `{text}` is not a number from 0 to {}", u64::MAX),
        )
    })
}

macro_rules! number {
    ($(#[$doc:meta])* $type:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
        )]
        #[derive(serde::Deserialize, serde::Serialize)]
        #[serde(transparent)]
        pub struct $type(u64);

        impl $type {
            /// Creates an id from its number.
            pub const fn new(number: u64) -> $type {
                $type(number)
            }

            /// Returns the number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the next higher id.
            pub const fn next(self) -> $type {
                $type(self.0 + 1)
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<$type, Error> {
                parse_number($kind, text).map($type)
            }
        }
    };
}

number!(
    /// The id of a job, unique in the cell.
    JobId,
    "job"
);
number!(
    /// The id of a shard: a subset of the workers, on which one instance at a
    /// time places tasks.
    ShardId,
    "shard"
);
number!(
    /// The epoch of a shard, which rises with each change of its owner.
    ///
    /// A worker refuses commands with an epoch lower than the highest that it
    /// has seen, so an instance that has lost the shard can't start tasks.
    Epoch,
    "epoch"
);
number!(
    /// The revision of the cell's configuration, which rises by one with each
    /// change and never falls.
    Revision,
    "revision"
);

/// The id of a task: its job and its position in the job.
///
/// Its text form is `JOB.INDEX`, for instance `17.3`.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde_with::DeserializeFromStr, serde_with::SerializeDisplay)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The position of the task in its job, counted from 0.
    pub index: u32,
}

impl TaskId {
    /// Creates the id of the task at position `index` of `job`.
    pub const fn new(job: JobId, index: u32) -> TaskId {
        TaskId { job, index }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = Error;

    fn from_str(text: &str) -> Result<TaskId, Error> {
        let invalid = || {
            Error::new(
                ErrorKind::InvalidRequest,
                format!("task `{text}` is not written JOB.INDEX, as in 17.3"),
            )
        };
        let (job, index) = text.split_once('.').ok_or_else(invalid)?;
        Ok(TaskId {
            job: job.parse().map_err(|_| invalid())?,
            index: index.parse().map_err(|_| invalid())?,
        })
    }
}
