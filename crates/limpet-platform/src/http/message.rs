//! Names, headers and bodies that the adapter and a server agree on.

/// The header that names the data centre of the caller.
pub const DATA_CENTRE_HEADER: &str = "x-limpet-data-centre";
/// The header of a refusal which says that the call had no effect. Without
/// it, an answer other than 200 proves nothing.
pub const EFFECT_HEADER: &str = "x-limpet-effect";
/// The value of [`EFFECT_HEADER`] for a call without effect.
pub const NO_EFFECT: &str = "none";

/// The path that takes a [`Transaction`](crate::Transaction).
pub const COMMIT_PATH: &str = "/table/commit";
/// The path that takes a [`ReadRequest`].
pub const READ_PATH: &str = "/table/read";
/// The path that takes a [`ScanRequest`].
pub const SCAN_PATH: &str = "/table/scan";
/// What an object's name follows in its path. A read of a missing object
/// is answered with 204, which no gateway says in the place of the platform.
pub const OBJECT_PATH_PREFIX: &str = "/objects/";
/// The path that takes a [`ListObjectsRequest`].
pub const LIST_OBJECTS_PATH: &str = "/object-names";
/// The path that answers with a [`Listing`](crate::Listing).
pub const LIST_MEMBERS_PATH: &str = "/directory/list";
/// The path that takes an [`InstanceEntry`](crate::InstanceEntry).
pub const REGISTER_PATH: &str = "/directory/register";
/// What a worker's address ends with in the path for its requests.
pub const EXCHANGE_PATH_SUFFIX: &str = "/exchange";

/// Reads one row.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ReadRequest {
    /// The key of the row.
    pub key: String,
}

/// Reads rows in the order of keys.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ScanRequest {
    /// What each key starts with.
    pub prefix: String,
    /// What each key sorts after.
    pub after: String,
    /// The largest number of rows to return.
    pub limit: usize,
}

/// Reads the names of objects.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ListObjectsRequest {
    /// What each name starts with.
    pub prefix: String,
}
