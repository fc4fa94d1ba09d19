use limpet_core::{
    TimeMs,
    scheduler::{
        Effect, Event, Scheduler, SchedulerOptions, baseline::FirstFit,
    },
};

/// A scheduler's function from an event and the time to its effects.
pub(super) type Decide = Box<dyn FnMut(&Event, TimeMs) -> Vec<Effect>>;

/// A placement policy to replay workloads with.
pub(super) struct Variant {
    pub(super) name: &'static str,
    pub(super) decide: fn() -> Decide,
}

/// The variants that are compared: the complete policy first, then the policy
/// without one of its mechanisms, then first-fit placement.
pub(super) const VARIANTS: [Variant; 5] = [
    Variant {
        name: "policy",
        decide: || with_options(SchedulerOptions::new()),
    },
    Variant {
        name: "no_preemption",
        decide: || with_options(SchedulerOptions::new().preemption(false)),
    },
    Variant {
        name: "no_learning",
        decide: || with_options(SchedulerOptions::new().learning(false)),
    },
    Variant {
        name: "no_short_first",
        decide: || with_options(SchedulerOptions::new().short_first(false)),
    },
    Variant {
        name: "first_fit",
        decide: || {
            let mut first_fit = FirstFit::new();
            Box::new(move |event, now| first_fit.handle(event, now))
        },
    },
];

/// Returns a scheduler with the given options that keeps no records of its
/// decisions.
fn with_options(options: SchedulerOptions) -> Decide {
    let mut scheduler = Scheduler::with_options(options.decisions(false));
    Box::new(move |event, now| scheduler.handle(event, now))
}
