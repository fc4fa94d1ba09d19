use std::{fmt, str::FromStr, sync::Arc};

use crate::{Error, ErrorKind};

/// The longest name, in bytes, that any kind of name may have.
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
        /// The text is shared, so a clone costs a counter and not a copy.
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(serde::Deserialize, serde::Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// Returns the name with this text.
            ///
            /// # Errors
            ///
            /// The text is empty, longer than 64 bytes, or holds anything
            /// besides ASCII letters, digits, `-`, `_` and `.`.
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
    /// A team: the customer that owns keys, shares, limits and jobs.
    TeamName,
    "team"
);
name!(
    /// A queue, which names the policy for the jobs that enter through it.
    QueueName,
    "queue"
);
name!(
    /// A service whose runners answer callers' requests.
    ServiceName,
    "service"
);
name!(
    /// A machine that runs tasks under leases.
    WorkerId,
    "worker"
);
name!(
    /// A back end that serves requests of one service.
    EndpointId,
    "endpoint"
);
name!(
    /// One process of the system, behind the platform's balancer.
    InstanceId,
    "instance"
);
name!(
    /// A data centre: the failure domain that a network cut isolates.
    DataCentre,
    "data centre"
);
name!(
    /// A rack: the failure domain inside a data centre.
    Rack,
    "rack"
);
name!(
    /// The public part of an API key, safe to log.
    KeyId,
    "key"
);
