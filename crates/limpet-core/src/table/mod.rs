//! The messages of the transactional table service, and how a write whose
//! answer was lost is settled.
//!
//! Rows and transactions are plain data here, so that every protocol over
//! the table is a function of the core; the ports of `limpet-platform`
//! carry them.

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
