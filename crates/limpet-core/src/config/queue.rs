use std::{fmt, str::FromStr};

use crate::{Error, ErrorKind};

/// How the jobs of a queue are placed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QueuePolicy {
    /// Tasks run until they are stopped and are spread over racks and data
    /// centres.
    Service,
    /// Tasks are packed tightly and fill the gaps between larger ones.
    Batch,
    /// All tasks of a job start together.
    Gang,
}

impl QueuePolicy {
    /// Returns the name used in commands and in output.
    pub const fn as_str(self) -> &'static str {
        match self {
            QueuePolicy::Service => "service",
            QueuePolicy::Batch => "batch",
            QueuePolicy::Gang => "gang",
        }
    }
}

impl fmt::Display for QueuePolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for QueuePolicy {
    type Err = Error;

    fn from_str(text: &str) -> Result<QueuePolicy, Error> {
        match text {
            "service" => Ok(QueuePolicy::Service),
            "batch" => Ok(QueuePolicy::Batch),
            "gang" => Ok(QueuePolicy::Gang),
            _ => Err(Error::new(
                ErrorKind::InvalidRequest,
                format!("policy is `{text}`, expected service, batch or gang"),
            )),
        }
    }
}

/// The configuration of a queue.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct QueueConfig {
    /// How its jobs are placed.
    pub policy: QueuePolicy,
    /// Whether jobs are accepted without an API key.
    #[serde(default)]
    pub open: bool,
    /// Whether a task that uses more than its declared size is stopped
    /// instead of throttled.
    #[serde(default)]
    pub stop_over_size: bool,
}
