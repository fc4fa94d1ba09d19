use winnow::{
    Parser,
    combinator::{alt, delimited, separated},
};

use super::{
    super::{
        Column, ColumnKind, Comparison, Condition, Operator, Topic, Value,
        token::TokenKind,
    },
    stream::{
        Parsed, Tokens, flag, keyword, one_of_values, one_of_words, refuse,
        sign, take, text,
    },
};

/// The greatest nesting depth of parentheses and `not`s, which bounds the
/// depth of the recursion.
const DEPTH_LIMIT: u32 = 64;

/// Parses conditions joined by `or`, which binds less tightly than `and` and
/// `not`.
pub(super) fn condition(
    input: &mut Tokens<'_>,
    topic: Topic,
) -> Parsed<Condition> {
    let all = |input: &mut Tokens<'_>| conjunction(input, topic);
    let parts: Vec<Condition> =
        separated(1.., all, keyword("or")).parse_next(input)?;
    Ok(join(parts, Condition::Any))
}

fn conjunction(input: &mut Tokens<'_>, topic: Topic) -> Parsed<Condition> {
    let operand = |input: &mut Tokens<'_>| operand(input, topic);
    let parts: Vec<Condition> =
        separated(1.., operand, keyword("and")).parse_next(input)?;
    Ok(join(parts, Condition::All))
}

/// Returns the only condition, or all of several joined into one by `joined`.
fn join(
    mut parts: Vec<Condition>,
    joined: fn(Vec<Condition>) -> Condition,
) -> Condition {
    match parts.pop() {
        Some(only) if parts.is_empty() => only,
        Some(last) => {
            parts.push(last);
            joined(parts)
        }
        None => joined(parts),
    }
}

fn operand(input: &mut Tokens<'_>, topic: Topic) -> Parsed<Condition> {
    let depth = &input.state.depth;
    if depth.get() >= DEPTH_LIMIT {
        return refuse(input, "at most 64 nested conditions");
    }
    depth.set(depth.get() + 1);
    let result = alt((
        |input: &mut Tokens<'_>| negation(input, topic),
        |input: &mut Tokens<'_>| parenthesised(input, topic),
        |input: &mut Tokens<'_>| comparison(input, topic),
    ))
    .parse_next(input);
    let depth = &input.state.depth;
    depth.set(depth.get() - 1);
    result
}

fn negation(input: &mut Tokens<'_>, topic: Topic) -> Parsed<Condition> {
    keyword("not").parse_next(input)?;
    let inner = operand(input, topic)?;
    Ok(Condition::Not(Box::new(inner)))
}

fn parenthesised(input: &mut Tokens<'_>, topic: Topic) -> Parsed<Condition> {
    let inner = |input: &mut Tokens<'_>| condition(input, topic);
    delimited(sign("("), inner, sign(")")).parse_next(input)
}

fn comparison(input: &mut Tokens<'_>, topic: Topic) -> Parsed<Condition> {
    let column = column(input, topic)?;
    let operator = operator(input, column)?;
    let values = match operator {
        Operator::In => value_list(input, column)?,
        _ => vec![value(input, column)?],
    };
    Ok(Condition::Compare(Comparison { column, operator, values }))
}

/// Parses the name of a column of a topic.
pub(super) fn column(input: &mut Tokens<'_>, topic: Topic) -> Parsed<Column> {
    let names: Vec<&'static str> = topic.columns().map(Column::name).collect();
    let name = one_of_words(input, &names)?;
    match topic.get_column(name) {
        Some(column) => Ok(column),
        None => refuse(input, "a column"),
    }
}

fn operator(input: &mut Tokens<'_>, column: Column) -> Parsed<Operator> {
    let signs = alt((
        sign("=").value(Operator::Equal),
        sign("!=").value(Operator::NotEqual),
        sign("<=").value(Operator::LessOrEqual),
        sign("<").value(Operator::Less),
        sign(">=").value(Operator::GreaterOrEqual),
        sign(">").value(Operator::Greater),
        keyword("in").value(Operator::In),
    ));
    if column.kind() == ColumnKind::Text {
        let contains = keyword("contains").value(Operator::Contains);
        return alt((signs, contains)).parse_next(input);
    }
    { signs }.parse_next(input)
}

fn value_list(input: &mut Tokens<'_>, column: Column) -> Parsed<Vec<Value>> {
    let item = |input: &mut Tokens<'_>| value(input, column);
    let list = separated(1.., item, sign(","));
    delimited(sign("("), list, sign(")")).parse_next(input)
}

fn value(input: &mut Tokens<'_>, column: Column) -> Parsed<Value> {
    match column.kind() {
        ColumnKind::Flag => flag(input).map(Value::Flag),
        ColumnKind::Number => whole_number(input).map(Value::Number),
        ColumnKind::Decimal => decimal_number(input).map(Value::Decimal),
        ColumnKind::Text => text(input, "a text").map(Value::Text),
        ColumnKind::Word(words) => {
            let word = one_of_values(input, words)?;
            Ok(Value::Text(word.to_owned()))
        }
    }
}

fn whole_number(input: &mut Tokens<'_>) -> Parsed<i64> {
    take(input, "a whole number", |kind| match kind {
        TokenKind::Word(text) => text.parse().ok(),
        _ => None,
    })
}

fn decimal_number(input: &mut Tokens<'_>) -> Parsed<f64> {
    take(input, "a number", |kind| match kind {
        TokenKind::Word(text) => {
            text.parse().ok().filter(|number: &f64| number.is_finite())
        }
        _ => None,
    })
}
