//! The rows and transactions of the transactional table service, and how the
//! outcome of a transaction is determined after its answer was lost.
//!
//! Rows and transactions are plain data here, so that every protocol over
//! the table can be written and tested without input and output. The ports
//! of `limpet-platform` send them to the service.

mod backoff;
mod fault;
mod id_block;
mod row;
mod settlement;
mod transaction;

pub use self::{
    backoff::Backoff,
    fault::StoreFault,
    id_block::IdBlock,
    row::Row,
    settlement::{Settled, Settlement, SettlementStep},
    transaction::{CommitAnswer, Condition, Transaction, Write},
};
