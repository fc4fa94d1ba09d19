use serde::de::DeserializeOwned;

use crate::{Error, ErrorKind, Result};

/// A row of the table service.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Row {
    /// Its key; keys sort by bytes.
    pub key: String,
    /// Its value, which is JSON text here.
    pub value: String,
    /// The count of writes to the whole table up to the last one to this
    /// row, from 1. It only grows.
    pub version: u64,
    /// The token of the transaction that wrote it last.
    pub token: String,
}

impl Row {
    /// Reads the JSON text of the value.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Internal`] with the key where the value isn't what this
    /// version of the program writes there.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_str(&self.value).map_err(|err| {
            Error::new(
                ErrorKind::Internal,
                format!("row `{}` can't be read: {err}", self.key),
            )
        })
    }
}
