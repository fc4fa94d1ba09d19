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
            /// Returns the id with this number.
            pub const fn new(number: u64) -> $type {
                $type(number)
            }

            /// Returns the number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the id that follows this one.
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
    /// A job, numbered over the whole cell.
    JobId,
    "job"
);
number!(
    /// A part of the workers that one instance places on at a time.
    ShardId,
    "shard"
);
number!(
    /// The count of ownerships of a shard. A worker refuses a lower one than
    /// the highest that it has seen.
    Epoch,
    "epoch"
);
number!(
    /// The count of changes to the cell's configuration. It never goes back.
    Revision,
    "revision"
);

/// A task: one process of a job, numbered from 0 within it.
///
/// It is written `JOB.INDEX`, for instance `17.3`.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde_with::DeserializeFromStr, serde_with::SerializeDisplay)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The position of the task in its job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Returns the id of the task at `index` of `job`.
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
