//! How long tasks take their room on a worker.

use crate::spec::StepSpec;

/// What ends the time for which a task takes its room on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Tenure {
    /// Its end, which comes soon, or its preemption.
    Short,
    /// The end of the gang that it belongs to.
    Gang,
    /// Nothing: it runs until its job is cancelled.
    Lasting,
}

impl Tenure {
    /// Returns the tenure of the tasks of a step.
    pub(crate) fn of(spec: &StepSpec) -> Tenure {
        match (spec.long_running, spec.gang) {
            (true, _) => Tenure::Lasting,
            (false, true) => Tenure::Gang,
            (false, false) => Tenure::Short,
        }
    }

    /// Returns whether the task neither ends soon nor can be preempted.
    pub(crate) fn is_pinned(self) -> bool {
        self != Tenure::Short
    }
}
