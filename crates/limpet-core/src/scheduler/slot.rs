//! Dense numbers for what the scheduler looks up on its hot path, where
//! comparing names would cost more than the decision itself.

macro_rules! slot {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub(super) struct $type(pub(super) u32);

        impl $type {
            /// Returns the position in the table of this kind.
            pub(super) const fn at(self) -> usize {
                self.0 as usize
            }
        }
    };
}

slot!(
    /// The position of a team in the table of teams.
    TeamSlot
);
slot!(
    /// The position of a worker in the fleet.
    WorkerSlot
);
slot!(
    /// The position of an equivalence class in the table of classes.
    ClassSlot
);
