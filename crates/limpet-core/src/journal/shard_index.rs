/// Returns the position, below `count`, of the shard that is asked first for
/// a submission under a caller's token.
///
/// Every instance has to come to the same answer, also one of another
/// version, so the hash is one that stays: the first eight bytes of BLAKE3.
/// A new data centre changes the answer for some tokens, so a retry across
/// that change may be taken for a new submission; `docs/RECOVERY.md` says
/// what operators do about it.
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
