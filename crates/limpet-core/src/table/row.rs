use serde::de::DeserializeOwned;

use crate::{Error, ErrorKind, Result};

/// A row of the table service.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Row {
    /// The row's key. Keys are sorted by bytes.
    pub key: String,
    /// The row's value, which is JSON text here.
    pub value: String,
    /// The number of the transaction that last wrote the row, counted over
    /// the whole table from 1. It only grows.
    pub version: u64,
    /// The token of the transaction that last wrote the row.
    pub token: String,
}

impl Row {
    /// Parses the row's value as JSON text.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Internal`], with the row's key, if the value isn't the
    /// JSON form of a `T`.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_str(&self.value).map_err(|err| {
            Error::new(
                ErrorKind::Internal,
                format!("cannot parse the value of row `{}`: {err}", self.key),
            )
        })
    }
}
