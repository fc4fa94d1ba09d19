use limpet_core::routing::SlotPolicy;

/// What a third of the runners does wrong.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FleetFault {
    /// Nothing.
    None,
    /// Fails at once.
    Fail,
    /// Never answers.
    Hang,
    /// Refuses everything as not run.
    Refuse,
    /// Takes ten times as long.
    Slow,
}

impl FleetFault {
    /// Every fault, and none.
    pub const ALL: [FleetFault; 5] = [
        FleetFault::None,
        FleetFault::Fail,
        FleetFault::Hang,
        FleetFault::Refuse,
        FleetFault::Slow,
    ];

    /// Returns the word for the name of a case.
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

/// What to replay.
#[derive(Clone, Copy, Debug)]
pub struct ReplayOptions {
    /// How slots are shared.
    pub policy: SlotPolicy,
    /// What a third of the runners does wrong.
    pub fault: FleetFault,
    /// Whether requests that would be answered too late are refused early.
    pub early_refusal: bool,
    /// Whether retries and hedges spend from a budget.
    pub retry_budget: bool,
    /// How many times the mean latency an idempotent request is out before
    /// it is sent to a second runner; `None` for never.
    pub hedge_factor: Option<f64>,
}

impl ReplayOptions {
    /// Returns the options of the system as it ships.
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
