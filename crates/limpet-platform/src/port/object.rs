use std::rc::Rc;

use bytes::Bytes;

use super::PortFuture;

/// The object store. An object is replaced whole.
#[derive(Clone)]
pub struct ObjectPort {
    /// Stores an object under a name.
    pub put: Rc<dyn Fn(String, Bytes) -> PortFuture<()>>,
    /// Reads an object.
    pub get: Rc<dyn Fn(String) -> PortFuture<Option<Bytes>>>,
    /// Returns the names that start with a prefix, in their order.
    pub list: Rc<dyn Fn(String) -> PortFuture<Vec<String>>>,
    /// Deletes an object; deleting a missing one is no fault.
    pub delete: Rc<dyn Fn(String) -> PortFuture<()>>,
}
