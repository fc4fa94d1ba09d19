//! Decisions for jobs whose steps follow steps, on workers that a platform
//! lends.
//!
//! [`Engine`] is a function of its state, an event and the time at which the
//! event is seen. It returns [`Effect`]s, which the daemon performs and whose
//! results it feeds back. `docs/PLATFORM.md` argues the design.

mod config;
mod effect;
mod engine;
mod key;
mod progress;
mod spec;
mod worker;

pub use crate::{
    config::{
        AdvicePolicy, CellConfig, QueueConfig, QueuePolicy, RequestLimits,
        ServiceConfig, TeamConfig,
    },
    effect::{AskId, Effect, StartOrder, StopOrder, Suspicion},
    engine::{
        Counts, Engine, EngineOptions, Moment, StartOutcome, Ticket,
        WaitCause, WaitCounts,
    },
    key::{JobKey, StepKey, TaskKey},
    progress::{
        ClaimProgress, JobPhase, JobProgress, StepProgress, TaskProgress,
    },
    spec::{JobRecord, JobSpec, Repeat, StepSpec},
    worker::{
        EndKind, HoldReport, RunEnd, RunningTask, WorkerListing, WorkerSlot,
    },
};
