//! The target of a request to a service.

use limpet_core::{Error, ErrorKind, Result, ServiceName};

/// The path below which services are reached.
const SERVICES_PATH: &str = "/services/";

/// The service and path that a request is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Target {
    /// The service.
    pub(crate) service: ServiceName,
    /// The path and query of the request to the runner.
    pub(crate) path: String,
}

impl Target {
    /// Parses the path `/services/NAME/REST` with its query. The runner gets
    /// `/REST` and the query.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownService`] if the path has another form.
    pub(crate) fn parse(uri: &http::Uri) -> Result<Target> {
        let unknown = || {
            Error::new(
                ErrorKind::UnknownService,
                format!("path `{}` is not /services/NAME/…", uri.path()),
            )
        };
        let rest =
            uri.path().strip_prefix(SERVICES_PATH).ok_or_else(unknown)?;
        let (name, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        let service = ServiceName::new(name).map_err(|_| unknown())?;
        let path = if path.is_empty() { "/" } else { path };
        let path = match uri.query() {
            None => path.to_owned(),
            Some(query) => format!("{path}?{query}"),
        };
        Ok(Target { service, path })
    }
}
