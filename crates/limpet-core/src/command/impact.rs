use super::{
    Action, CommandAnswer, Comparison, Condition, DrainTarget, JobSelector,
    Operator, Show, TableCell, Topic, Value, show::Aggregate,
};

/// Returns the query that counts the tasks which a change affects; `None`
/// where the change affects no tasks.
///
/// The answer has one row, from which [`affected_tasks`] computes the count.
pub fn impact_query(action: &Action) -> Option<Show> {
    match action {
        Action::Cancel(selector)
        | Action::Hold(selector)
        | Action::Release(selector) => Some(Show {
            condition: Some(selector.to_condition()),
            ..sums(Topic::Jobs, &["tasks", "done"])
        }),
        Action::Drain(DrainTarget::Worker(worker)) => Some(Show {
            condition: equal(Topic::Workers, "worker", worker.as_str()),
            ..sums(Topic::Workers, &["tasks"])
        }),
        _ => None,
    }
}

/// Returns the number of tasks that a change affects, from the answer to its
/// [`impact_query`]. Tasks that are done don't count.
pub fn affected_tasks(answer: &CommandAnswer) -> u64 {
    let number = |cell: &TableCell| match cell {
        TableCell::Number(number) => *number,
        _ => 0,
    };
    let row_total = |row: &Vec<TableCell>| match row.as_slice() {
        [tasks, done] => number(tasks) - number(done),
        [tasks] => number(tasks),
        _ => 0,
    };
    let total: i64 = answer.rows.iter().map(row_total).sum();
    u64::try_from(total).unwrap_or(0)
}

impl JobSelector {
    /// Returns the condition on the table of jobs that selects the same jobs.
    pub fn to_condition(&self) -> Condition {
        match self {
            JobSelector::Where(condition) => condition.clone(),
            JobSelector::Id(job) => {
                let number = i64::try_from(job.get()).unwrap_or(i64::MAX);
                comparison(Topic::Jobs, "job", Value::Number(number))
                    .unwrap_or(Condition::Any(Vec::new()))
            }
        }
    }
}

/// Returns a query for the sums of columns over a whole table.
fn sums(topic: Topic, names: &[&str]) -> Show {
    let columns = names.iter().filter_map(|name| topic.get_column(name));
    let aggregate = Aggregate { sums: columns.collect(), groups: Vec::new() };
    Show { aggregate: Some(aggregate), ..Show::all(topic) }
}

/// Returns the condition that a column has a text; `None` where the topic has
/// no such column.
fn equal(topic: Topic, column: &str, text: &str) -> Option<Condition> {
    comparison(topic, column, Value::Text(text.to_owned()))
}

fn comparison(topic: Topic, column: &str, value: Value) -> Option<Condition> {
    let column = topic.get_column(column)?;
    Some(Condition::Compare(Comparison {
        column,
        operator: Operator::Equal,
        values: vec![value],
    }))
}
