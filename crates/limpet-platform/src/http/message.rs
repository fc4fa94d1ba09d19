//! The paths, headers and bodies of the HTTP interface, for the adapter and
//! for servers.

/// The request header that names the caller's data centre.
pub const DATA_CENTRE_HEADER: &str = "x-limpet-data-centre";
/// The response header by which a refusal tells that the call had no effect.
/// Without it, an answer other than 200 leaves the outcome unknown.
pub const EFFECT_HEADER: &str = "x-limpet-effect";
/// The value of [`EFFECT_HEADER`] for a call that had no effect.
pub const NO_EFFECT: &str = "none";

/// The path to post a [`Transaction`](crate::Transaction) to.
pub const COMMIT_PATH: &str = "/table/commit";
/// The path to post a [`ReadRequest`] to.
pub const READ_PATH: &str = "/table/read";
/// The path to post a [`ScanRequest`] to.
pub const SCAN_PATH: &str = "/table/scan";
/// The path of an object without its name, which follows. A read of a missing
/// object is answered with 204 and not with 404, which a gateway might send
/// in place of the platform.
pub const OBJECT_PATH_PREFIX: &str = "/objects/";
/// The path to post a [`ListObjectsRequest`] to.
pub const LIST_OBJECTS_PATH: &str = "/object-names";
/// The path that is answered with a [`Listing`](crate::Listing).
pub const LIST_MEMBERS_PATH: &str = "/directory/list";
/// The path to post an [`InstanceEntry`](crate::InstanceEntry) to.
pub const REGISTER_PATH: &str = "/directory/register";
/// The path after a worker's address to post a
/// [`WorkerRequest`](crate::WorkerRequest) to.
pub const EXCHANGE_PATH_SUFFIX: &str = "/exchange";

/// A request to read one row.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ReadRequest {
    /// The key of the row.
    pub key: String,
}

/// A request to read rows in ascending order of keys.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ScanRequest {
    /// The prefix of the keys.
    pub prefix: String,
    /// The key after which to start; empty to start at the first.
    pub after: String,
    /// The largest number of rows to return.
    pub limit: usize,
}

/// A request to list the names of objects.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ListObjectsRequest {
    /// The prefix of the names.
    pub prefix: String,
}
