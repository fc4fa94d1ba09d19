use winnow::{
    Parser,
    combinator::{alt, preceded},
};

use super::{
    super::Subject,
    stream::{Parsed, Tokens, keyword, parsed, text},
};

/// Parses `why SUBJECT`.
pub(super) fn why(input: &mut Tokens<'_>) -> Parsed<Subject> {
    keyword("why").parse_next(input)?;
    let refusal = |input: &mut Tokens<'_>| text(input, "the id of a refusal");
    alt((
        preceded(keyword("job"), parsed("the number of a job"))
            .map(Subject::Job),
        preceded(keyword("task"), parsed("a task, as in 17.3"))
            .map(Subject::Task),
        preceded(keyword("refusal"), refusal).map(Subject::Refusal),
        preceded(keyword("worker"), parsed("the name of a worker"))
            .map(Subject::Worker),
        preceded(keyword("team"), parsed("the name of a team"))
            .map(Subject::Team),
    ))
    .parse_next(input)
}
