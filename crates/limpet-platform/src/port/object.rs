use std::rc::Rc;

use bytes::Bytes;

use super::PortFuture;

/// The object store. Objects are written and read as a whole.
#[derive(Clone)]
pub struct ObjectPort {
    /// Stores an object under a name and replaces any earlier one.
    pub put: Rc<dyn Fn(String, Bytes) -> PortFuture<()>>,
    /// Reads an object; `None` if there is none of that name.
    pub get: Rc<dyn Fn(String) -> PortFuture<Option<Bytes>>>,
    /// Returns the names that start with a prefix, in ascending order.
    pub list: Rc<dyn Fn(String) -> PortFuture<Vec<String>>>,
    /// Deletes an object. It is no error if there is none.
    pub delete: Rc<dyn Fn(String) -> PortFuture<()>>,
}
