use std::rc::Rc;

pub use limpet_core::table::{
    CommitAnswer, Condition, Row, Transaction, Write,
};

use super::PortFuture;

/// The transactional table service.
#[derive(Clone)]
pub struct TablePort {
    /// Commits a transaction if its conditions hold.
    pub commit: Rc<dyn Fn(Transaction) -> PortFuture<CommitAnswer>>,
    /// Reads the row with a key; `None` if there is none.
    pub read: Rc<dyn Fn(String) -> PortFuture<Option<Row>>>,
    /// Reads a page of the rows whose keys start with a prefix, in ascending
    /// order. The arguments are the prefix, the last key of the page before
    /// (empty for the first page) and the most rows to return.
    pub scan: Rc<dyn Fn(String, String, usize) -> PortFuture<Vec<Row>>>,
}
