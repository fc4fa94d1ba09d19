/// Returns the index, below `count`, of the shard that is asked first to
/// accept a submission with this token. If `count` is 0, the index is 0.
///
/// Every instance of every version must compute the same index, so the hash
/// function is fixed: the first eight bytes of BLAKE3. A new data centre
/// changes the number of shards and thus the index of some tokens. A retry
/// after that change may be taken for a new submission; `docs/RECOVERY.md`
/// tells operators how to avoid this.
///
/// # Examples
///
/// ```
/// use limpet_core::journal::shard_index_for_token;
///
/// let index = shard_index_for_token("seat-12", 3);
/// assert_eq!(index, shard_index_for_token("seat-12", 3));
/// assert!(index < 3);
/// ```
pub fn shard_index_for_token(token: &str, count: usize) -> usize {
    let hash = blake3::hash(token.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    (u64::from_le_bytes(first) % count.max(1) as u64) as usize
}
