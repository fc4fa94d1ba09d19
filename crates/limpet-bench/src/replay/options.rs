use limpet_core::routing::SlotPolicy;

/// The fault of a third of the runners.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FleetFault {
    /// No fault.
    None,
    /// A runner fails every request at once.
    Fail,
    /// A runner never answers.
    Hang,
    /// A runner refuses every request and states that it did not run.
    Refuse,
    /// A runner takes ten times as long as the trace states.
    Slow,
}

impl FleetFault {
    /// All faults, with [`FleetFault::None`] first.
    pub const ALL: [FleetFault; 5] = [
        FleetFault::None,
        FleetFault::Fail,
        FleetFault::Hang,
        FleetFault::Refuse,
        FleetFault::Slow,
    ];

    /// Returns the word that stands for the fault in the names of cases.
    pub const fn as_str(self) -> &'static str {
        match self {
            FleetFault::None => "none",
            FleetFault::Fail => "fail",
            FleetFault::Hang => "hang",
            FleetFault::Refuse => "refuse",
            FleetFault::Slow => "slow",
        }
    }
}

/// The configuration of the replayed system.
#[derive(Clone, Copy, Debug)]
pub struct ReplayOptions {
    /// How instances share the slots of runners.
    pub policy: SlotPolicy,
    /// The fault of a third of the runners.
    pub fault: FleetFault,
    /// Whether requests that would be answered after their deadline are
    /// refused early.
    pub early_refusal: bool,
    /// Whether the number of retries and hedges is limited by a budget.
    pub retry_budget: bool,
    /// The time after which an unanswered idempotent request is also sent to
    /// a second runner, as a multiple of the mean latency; `None` for never.
    pub hedge_factor: Option<f64>,
}

impl ReplayOptions {
    /// Returns the options that the daemon uses by default, without faults.
    pub fn new() -> ReplayOptions {
        ReplayOptions {
            policy: SlotPolicy::CreditsThenBorrow,
            fault: FleetFault::None,
            early_refusal: true,
            retry_budget: true,
            hedge_factor: None,
        }
    }
}

impl Default for ReplayOptions {
    fn default() -> ReplayOptions {
        ReplayOptions::new()
    }
}
