use std::rc::Rc;

pub use limpet_core::table::{
    CommitAnswer, Condition, Row, Transaction, Write,
};

use super::PortFuture;

/// The transactional table service.
#[derive(Clone)]
pub struct TablePort {
    /// Commits a transaction.
    pub commit: Rc<dyn Fn(Transaction) -> PortFuture<CommitAnswer>>,
    /// Reads one row.
    pub read: Rc<dyn Fn(String) -> PortFuture<Option<Row>>>,
    /// Reads up to so many rows whose keys start with a prefix and sort
    /// after a key (empty for the first page), in the order of keys.
    pub scan: Rc<dyn Fn(String, String, usize) -> PortFuture<Vec<Row>>>,
}
