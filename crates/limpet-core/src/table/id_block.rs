use crate::{
    JobId,
    table::{Row, Transaction},
};

/// The key of the row that counts the job ids given out.
const JOB_IDS_KEY: &str = "job-block";

/// Job ids that this instance took from the table in one write.
///
/// Ids of a block that is lost with its instance are never used; an id is
/// never given out twice, because the row only grows under its condition.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct IdBlock {
    next: u64,
    end: u64,
}

impl IdBlock {
    /// The number of ids in a block.
    pub const SIZE: u64 = 1_000;

    /// Returns the key of the row to read before [`IdBlock::reserve`].
    pub const fn key() -> &'static str {
        JOB_IDS_KEY
    }

    /// Returns the transaction that takes the next block, and the block to
    /// use once it has certainly committed.
    ///
    /// # Errors
    ///
    /// [`crate::ErrorKind::Internal`] where the row can't be read.
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

    /// Takes an id, or `None` where the block is used up.
    pub fn take(&mut self) -> Option<JobId> {
        if self.next >= self.end {
            return None;
        }
        let id = JobId::new(self.next);
        self.next += 1;
        Some(id)
    }

    /// Returns how many ids are left.
    pub const fn remaining(&self) -> u64 {
        self.end.saturating_sub(self.next)
    }
}
