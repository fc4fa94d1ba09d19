use crate::{
    JobId,
    table::{Row, Transaction},
};

/// The key of the row that holds the first job id that isn't reserved yet.
const JOB_IDS_KEY: &str = "job-block";

/// A block of job ids that this instance reserved by a single write to the
/// table.
///
/// An id is never assigned twice, because the row's value only grows and
/// each write is conditioned on the version that was read. If the instance
/// stops, the remaining ids of its block are never used.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct IdBlock {
    /// The next id to use.
    next: u64,
    /// The first id after the block.
    end: u64,
}

impl IdBlock {
    /// The number of ids in a block.
    pub const SIZE: u64 = 1_000;

    /// Returns the key of the row to read before [`IdBlock::reserve`].
    pub const fn key() -> &'static str {
        JOB_IDS_KEY
    }

    /// Returns the transaction that reserves the next block after the value
    /// of `row`, and the block to use once the transaction has certainly
    /// committed. `row` is `None` if no ids were reserved yet.
    ///
    /// # Errors
    ///
    /// [`crate::ErrorKind::Internal`] if the value of the row can't be
    /// parsed.
    pub fn reserve(
        row: Option<&Row>,
        token: &str,
    ) -> crate::Result<(Transaction, IdBlock)> {
        let next = row.map_or(Ok(1), Row::parse::<u64>)?;
        let end = next + IdBlock::SIZE;
        let version = row.map_or(0, |row| row.version);
        let transaction = Transaction::new(token)
            .require(JOB_IDS_KEY, version)
            .put(JOB_IDS_KEY, &end);
        Ok((transaction, IdBlock { next, end }))
    }

    /// Returns the next id of the block, or `None` if it is used up.
    pub fn take(&mut self) -> Option<JobId> {
        if self.next >= self.end {
            return None;
        }
        let id = JobId::new(self.next);
        self.next += 1;
        Some(id)
    }

    /// Returns the number of unused ids.
    pub const fn remaining(&self) -> u64 {
        self.end.saturating_sub(self.next)
    }
}
