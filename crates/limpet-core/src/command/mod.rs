//! The operators' command language: parsing, permissions, queries, changes
//! and answers.
//!
//! A text is parsed into a [`Command`], whose text form parses back to an
//! equal command. Queries are evaluated on a [`CellView`] at each instance
//! that holds data for them, and the parts are merged into one answer. A
//! change to the configuration becomes a [`Plan`]. `docs/COMMANDS.md` shows
//! every command with its output.
//!
//! # Examples
//!
//! ```
//! use limpet_core::command::Command;
//!
//! let command: Command =
//!     "show jobs where team = rosters and state = waiting".parse()?;
//! assert_eq!(
//!     command.to_string(),
//!     r#"show jobs where team = "rosters" and state = "waiting""#
//! );
//! # Ok::<(), limpet_core::command::SyntaxError>(())
//! ```

mod answer;
mod change;
mod column;
mod condition;
mod evaluate;
mod explain;
mod impact;
mod merge;
mod parse;
mod permission;
mod plan;
mod rows;
mod show;
mod suggest;
mod syntax_error;
mod token;
mod topic;
mod tree;
mod view;
mod why;

pub use self::{
    answer::{CommandAnswer, TableCell},
    change::{
        Action, Change, DrainTarget, JobSelector, KeyHolder, LimitChange,
        QueueProperties, ServiceProperties,
    },
    column::{Column, ColumnKind},
    condition::{Comparison, Condition, Operator, Value},
    evaluate::{evaluate, evaluate_part, matching_jobs},
    impact::{affected_tasks, impact_query},
    merge::{Part, merge_parts},
    permission::{Scope, permit},
    plan::{KeyDraw, Machines, Plan, PlanContext, plan},
    show::{Aggregate, Direction, Order, Show},
    suggest::suggest,
    syntax_error::SyntaxError,
    topic::{FanOut, Topic},
    tree::Command,
    view::{
        CellView, ChangeRecord, EndpointView, InstanceView, RefusalView,
        ServiceView, ShardView,
    },
    why::Subject,
};
