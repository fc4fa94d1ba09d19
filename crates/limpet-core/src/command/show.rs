use std::fmt;

use super::{Column, Condition, Topic};

/// A query for a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Show {
    /// The table that is queried.
    pub topic: Topic,
    /// The condition that rows have to satisfy; `None` for all rows.
    pub condition: Option<Condition>,
    /// How rows are counted or summed; `None` to list them.
    pub aggregate: Option<Aggregate>,
    /// The columns to sort by, the most significant first.
    pub order: Vec<Order>,
    /// The most rows to return; `None` for all.
    pub limit: Option<u64>,
}

/// Counts or sums of rows, by group.
#[derive(Clone, Debug, PartialEq)]
pub struct Aggregate {
    /// The columns to sum; empty to count rows.
    pub sums: Vec<Column>,
    /// The columns to group by; empty for one group of all rows.
    pub groups: Vec<Column>,
}

/// One column to sort by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Order {
    /// The column; `None` for the count of an aggregate.
    pub column: Option<Column>,
    /// The direction to sort in.
    pub direction: Direction,
}

/// The direction of a sort.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// The least value first.
    Ascending,
    /// The greatest value first.
    Descending,
}

/// The name of the column that holds the count of an aggregate.
pub(super) const COUNT: &str = "count";

impl Show {
    /// Creates a query for the whole table of a topic.
    pub const fn all(topic: Topic) -> Show {
        Show {
            topic,
            condition: None,
            aggregate: None,
            order: Vec::new(),
            limit: None,
        }
    }

    /// Returns the names of the answer's columns.
    pub fn column_names(&self) -> Vec<String> {
        let Some(aggregate) = &self.aggregate else {
            return self.topic.columns().map(|c| c.to_string()).collect();
        };
        let mut names: Vec<String> =
            aggregate.groups.iter().map(Column::to_string).collect();
        if aggregate.sums.is_empty() {
            names.push(COUNT.to_owned());
        }
        names.extend(aggregate.sums.iter().map(Column::to_string));
        names
    }
}

impl fmt::Display for Show {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "show {}", self.topic)?;
        if let Some(condition) = &self.condition {
            write!(f, " where {condition}")?;
        }
        if let Some(aggregate) = &self.aggregate {
            write!(f, " {aggregate}")?;
        }
        if !self.order.is_empty() {
            write!(f, " order by {}", join(&self.order))?;
        }
        if let Some(limit) = self.limit {
            write!(f, " limit {limit}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Aggregate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.sums.is_empty() {
            f.write_str(COUNT)?;
        } else {
            write!(f, "sum {}", join(&self.sums))?;
        }
        if !self.groups.is_empty() {
            write!(f, " by {}", join(&self.groups))?;
        }
        Ok(())
    }
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.column.map_or(COUNT, Column::name))?;
        match self.direction {
            Direction::Ascending => Ok(()),
            Direction::Descending => f.write_str(" desc"),
        }
    }
}

fn join<T: fmt::Display>(items: &[T]) -> String {
    let texts: Vec<_> = items.iter().map(T::to_string).collect();
    texts.join(", ")
}
