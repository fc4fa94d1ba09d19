use std::fmt;

use super::{Column, Condition, Topic};

/// A table that is asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct Show {
    /// What it lists.
    pub topic: Topic,
    /// What its rows have to satisfy.
    pub condition: Option<Condition>,
    /// How its rows are summed up, where they are.
    pub aggregate: Option<Aggregate>,
    /// Its order, the most important column first.
    pub order: Vec<Order>,
    /// The most rows that it may have.
    pub limit: Option<u64>,
}

/// Rows summed up by groups.
#[derive(Clone, Debug, PartialEq)]
pub struct Aggregate {
    /// The columns to add up; empty where rows are counted.
    pub sums: Vec<Column>,
    /// The columns whose values make the groups.
    pub groups: Vec<Column>,
}

/// One column of an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Order {
    /// The column; `None` for the count of an aggregate.
    pub column: Option<Column>,
    /// Which values come first.
    pub direction: Direction,
}

/// Which values come first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// The least.
    Ascending,
    /// The greatest.
    Descending,
}

/// The name of the column that counts rows.
pub(super) const COUNT: &str = "count";

impl Show {
    /// Returns the whole table of a topic.
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
