use std::fmt;

use super::column::{self, Column, ColumnSpec};

/// A table that can be queried with `show`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Topic {
    /// The jobs.
    Jobs,
    /// The tasks of all jobs.
    Tasks,
    /// The workers.
    Workers,
    /// The teams with their shares and limits.
    Teams,
    /// The queues.
    Queues,
    /// The API keys, without their secrets.
    Keys,
    /// The services.
    Services,
    /// The endpoints of all services.
    Endpoints,
    /// The shards and their owners.
    Shards,
    /// The instances.
    Instances,
    /// The settings of the configuration.
    Config,
    /// The most recent refusals.
    Refusals,
    /// The most recent changes that operators made.
    Changes,
}

/// The instances that a query has to be sent to for a complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FanOut {
    /// Any instance, because each has all of the data.
    Local,
    /// The owners of all shards, each of which has a disjoint part of the
    /// rows.
    Shards,
    /// The owners of all shards. Rows of different shards with the same first
    /// cell are summed.
    SummedShards,
    /// All instances, each of which has a disjoint part of the rows.
    Instances,
}

impl Topic {
    /// Every topic.
    pub const ALL: &'static [Topic] = &[
        Topic::Jobs,
        Topic::Tasks,
        Topic::Workers,
        Topic::Teams,
        Topic::Queues,
        Topic::Keys,
        Topic::Services,
        Topic::Endpoints,
        Topic::Shards,
        Topic::Instances,
        Topic::Config,
        Topic::Refusals,
        Topic::Changes,
    ];

    /// Returns the word that stands for the topic in a command.
    pub const fn as_str(self) -> &'static str {
        match self {
            Topic::Jobs => "jobs",
            Topic::Tasks => "tasks",
            Topic::Workers => "workers",
            Topic::Teams => "teams",
            Topic::Queues => "queues",
            Topic::Keys => "keys",
            Topic::Services => "services",
            Topic::Endpoints => "endpoints",
            Topic::Shards => "shards",
            Topic::Instances => "instances",
            Topic::Config => "config",
            Topic::Refusals => "refusals",
            Topic::Changes => "changes",
        }
    }

    /// Returns the instances that a query for this topic has to be sent to.
    pub const fn fan_out(self) -> FanOut {
        match self {
            Topic::Jobs | Topic::Tasks | Topic::Workers | Topic::Shards => {
                FanOut::Shards
            }
            Topic::Teams | Topic::Queues => FanOut::SummedShards,
            Topic::Refusals => FanOut::Instances,
            Topic::Keys
            | Topic::Services
            | Topic::Endpoints
            | Topic::Instances
            | Topic::Config
            | Topic::Changes => FanOut::Local,
        }
    }

    /// Returns the columns of the table, in order.
    pub fn columns(self) -> impl Iterator<Item = Column> {
        (0..self.specs().len()).map(move |index| Column::new(self, index))
    }

    /// Returns the column with this name, where the table has one.
    pub fn get_column(self, name: &str) -> Option<Column> {
        let index = self.specs().iter().position(|spec| spec.name == name)?;
        Some(Column::new(self, index))
    }

    pub(super) const fn specs(self) -> &'static [ColumnSpec] {
        column::specs(self)
    }
}

impl fmt::Display for Topic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
