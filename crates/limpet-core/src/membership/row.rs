use crate::ownership::Holder;

/// The value of a member row.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct MemberRow {
    /// The incarnation of an instance that is the member.
    pub holder: Holder,
    /// Whether the member was fenced, so that its conditional writes fail:
    /// it left, or its heartbeat row had not changed for too long.
    pub fenced: bool,
}

/// Returns the prefix of the keys of all member and heartbeat rows.
pub const fn member_prefix() -> &'static str {
    "member/"
}

/// Returns the key of a member's row, on whose version the member's changes
/// to the cell are conditioned.
pub fn member_key(holder: &Holder) -> String {
    format!(
        "{}{}/{:016x}/row",
        member_prefix(),
        holder.instance,
        holder.incarnation
    )
}

/// Returns the key of the row that a member rewrites as a heartbeat.
pub fn heartbeat_key(holder: &Holder) -> String {
    format!(
        "{}{}/{:016x}/beat",
        member_prefix(),
        holder.instance,
        holder.incarnation
    )
}
