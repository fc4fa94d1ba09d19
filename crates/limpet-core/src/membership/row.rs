use crate::ownership::Holder;

/// The value of a member's row.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct MemberRow {
    /// The member.
    pub holder: Holder,
    /// Whether it can act no more: it left, or its heartbeat stood still.
    pub fenced: bool,
}

/// Returns what the keys of all members' rows start with.
pub const fn member_prefix() -> &'static str {
    "member/"
}

/// Returns the key of a member's row, on whose version its acts are
/// conditioned.
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
