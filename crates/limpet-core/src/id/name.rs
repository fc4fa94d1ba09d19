use std::{fmt, str::FromStr, sync::Arc};

use crate::{Error, ErrorKind};

/// The longest name that any type of this module accepts, in bytes.
const NAME_LIMIT_BYTES: usize = 64;

fn check_name(kind: &str, name: &str) -> Result<(), Error> {
    let allowed =
        |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > NAME_LIMIT_BYTES {
        return Err(Error::new(
            ErrorKind::InvalidRequest,
            format!(
                "{kind} `{}` has {} bytes, 1 to {NAME_LIMIT_BYTES} are \
                 allowed",
                name.chars().take(NAME_LIMIT_BYTES).collect::<String>(),
                name.len()
            ),
        ));
    }
    match name.chars().find(|&c| !allowed(c)) {
        None => Ok(()),
        Some(c) => Err(Error::new(
            ErrorKind::InvalidRequest,
            format!(
                "{kind} `{name}` contains {c:?}, ASCII letters, digits, \
                 `-`, `_` and `.` are allowed"
            ),
        )),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident, $kind:literal) => {
        $(#[$doc])*
        ///
        /// Clones share the text, so cloning only increments a reference
        /// count.
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(serde::Deserialize, serde::Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// Creates a name.
            ///
            /// # Errors
            ///
            /// Returns [`ErrorKind::InvalidRequest`] where the text is empty,
            /// is longer than 64 bytes, or contains a character other than
            /// ASCII letters, digits, `-`, `_` and `.`.
            pub fn new(name: &str) -> Result<$type, Error> {
                check_name($kind, name)?;
                Ok($type(Arc::from(name)))
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(name: &str) -> Result<$type, Error> {
                $type::new(name)
            }
        }

        impl TryFrom<String> for $type {
            type Error = Error;

            fn try_from(name: String) -> Result<$type, Error> {
                $type::new(&name)
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> String {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name!(
    /// The name of a team, which owns jobs and keys and has a share and a
    /// limit.
    TeamName,
    "team"
);
name!(
    /// The name of a queue, whose policy decides how its jobs are placed.
    QueueName,
    "queue"
);
name!(
    /// The name of a service, whose runners answer requests of callers.
    ServiceName,
    "service"
);
name!(
    /// The id of a worker: a machine that runs tasks under leases.
    WorkerId,
    "worker"
);
name!(
    /// The id of an endpoint: a runner that serves requests of one service.
    EndpointId,
    "endpoint"
);
name!(
    /// The id of an instance: one process of the scheduler, behind the
    /// platform's load balancer.
    InstanceId,
    "instance"
);
name!(
    /// The name of a data centre: the failure domain that a network
    /// partition isolates.
    DataCentre,
    "data centre"
);
name!(
    /// The name of a rack: a failure domain inside a data centre.
    Rack,
    "rack"
);
name!(
    /// The id of an API key, which is public and may be logged.
    KeyId,
    "key"
);
