//! Typed table indexes for teams, workers and equivalence classes.
//!
//! They are used on the scheduler's hot path, where comparing names would
//! cost more than the decision itself.

macro_rules! slot {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub(super) struct $type(pub(super) u32);

        impl $type {
            /// Returns the index into the table.
            pub(super) const fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

slot!(
    /// The index of a team in the table of teams.
    TeamSlot
);
slot!(
    /// The index of a worker in the fleet.
    WorkerSlot
);
slot!(
    /// The index of an equivalence class in the table of classes.
    ClassSlot
);
