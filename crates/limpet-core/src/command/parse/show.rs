use winnow::{
    Parser,
    combinator::{alt, opt, preceded, separated},
};

use super::{
    super::{
        Aggregate, Column, Condition, Direction, Order, Show, Topic,
        show::COUNT,
    },
    condition::{column, condition},
    stream::{Parsed, Tokens, keyword, one_of_words, parsed, refuse, sign},
};

/// Parses `show TOPIC …`.
pub(super) fn show(input: &mut Tokens<'_>) -> Parsed<Show> {
    keyword("show").parse_next(input)?;
    let topic = topic(input)?;
    let mut show = Show::all(topic);
    show.condition = opt_condition(input, topic)?;
    show.aggregate = opt_aggregate(input, topic)?;
    if show.condition.is_none() {
        // The condition may stand before or after the aggregate: `show jobs
        // where … count by team` or `show jobs count by team where …`.
        show.condition = opt_condition(input, topic)?;
    }
    show.order = opt_order(input, &show)?;
    show.limit = opt_limit(input)?;
    Ok(show)
}

fn topic(input: &mut Tokens<'_>) -> Parsed<Topic> {
    let words: Vec<&'static str> =
        Topic::ALL.iter().map(|topic| topic.as_str()).collect();
    let word = one_of_words(input, &words)?;
    match Topic::ALL.iter().find(|topic| topic.as_str() == word) {
        Some(topic) => Ok(*topic),
        None => refuse(input, "a topic"),
    }
}

fn opt_condition(
    input: &mut Tokens<'_>,
    topic: Topic,
) -> Parsed<Option<Condition>> {
    let inner = |input: &mut Tokens<'_>| condition(input, topic);
    opt(preceded(keyword("where"), inner)).parse_next(input)
}

fn opt_aggregate(
    input: &mut Tokens<'_>,
    topic: Topic,
) -> Parsed<Option<Aggregate>> {
    let count = keyword(COUNT).map(|()| Vec::new());
    let sum = preceded(keyword("sum"), |input: &mut Tokens<'_>| {
        number_columns(input, topic)
    });
    let Some(sums) = opt(alt((count, sum))).parse_next(input)? else {
        return Ok(None);
    };
    let groups = preceded(keyword("by"), |input: &mut Tokens<'_>| {
        columns(input, topic)
    });
    let groups = opt(groups).parse_next(input)?.unwrap_or_default();
    Ok(Some(Aggregate { sums, groups }))
}

fn columns(input: &mut Tokens<'_>, topic: Topic) -> Parsed<Vec<Column>> {
    let item = |input: &mut Tokens<'_>| column(input, topic);
    separated(1.., item, sign(",")).parse_next(input)
}

fn number_columns(
    input: &mut Tokens<'_>,
    topic: Topic,
) -> Parsed<Vec<Column>> {
    let item = |input: &mut Tokens<'_>| number_column(input, topic);
    separated(1.., item, sign(",")).parse_next(input)
}

fn number_column(input: &mut Tokens<'_>, topic: Topic) -> Parsed<Column> {
    let names: Vec<&'static str> = topic
        .columns()
        .filter(|column| column.kind().is_number())
        .map(Column::name)
        .collect();
    let name = one_of_words(input, &names)?;
    match topic.get_column(name) {
        Some(column) => Ok(column),
        None => refuse(input, "a column of numbers"),
    }
}

fn opt_order(input: &mut Tokens<'_>, show: &Show) -> Parsed<Vec<Order>> {
    if opt(keyword("order")).parse_next(input)?.is_none() {
        return Ok(Vec::new());
    }
    keyword("by").parse_next(input)?;
    let item = |input: &mut Tokens<'_>| order(input, show);
    separated(1.., item, sign(",")).parse_next(input)
}

fn order(input: &mut Tokens<'_>, show: &Show) -> Parsed<Order> {
    let word = one_of_words(input, &order_words(show))?;
    let direction = opt(alt((
        keyword("desc").value(Direction::Descending),
        keyword("asc").value(Direction::Ascending),
    )))
    .parse_next(input)?
    .unwrap_or(Direction::Ascending);
    Ok(Order { column: show.topic.get_column(word), direction })
}

/// Returns the names of the columns of the answer, which are the only ones it
/// can be ordered by.
fn order_words(show: &Show) -> Vec<&'static str> {
    let Some(aggregate) = &show.aggregate else {
        return show.topic.columns().map(Column::name).collect();
    };
    let columns = aggregate.groups.iter().chain(&aggregate.sums);
    let mut words: Vec<_> = columns.map(|column| column.name()).collect();
    if aggregate.sums.is_empty() {
        words.push(COUNT);
    }
    words
}

fn opt_limit(input: &mut Tokens<'_>) -> Parsed<Option<u64>> {
    opt(preceded(keyword("limit"), parsed("a number of rows")))
        .parse_next(input)
}
