/// The longest word, in characters, for which a suggestion is searched; bounds
/// the cost for long input.
const WORD_LIMIT_CHARS: usize = 32;

/// Returns the word of `known` that is most similar to `word`, ignoring the
/// case of `word`; `None` where no word is similar enough.
///
/// # Examples
///
/// ```
/// use limpet_core::command::suggest;
///
/// assert_eq!(suggest("jbos", ["tasks", "jobs"]), Some("jobs"));
/// assert_eq!(suggest("settlement", ["tasks", "jobs"]), None);
/// ```
pub fn suggest<'a>(
    word: &str,
    known: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let word: Vec<char> = word
        .chars()
        .take(WORD_LIMIT_CHARS + 1)
        .flat_map(char::to_lowercase)
        .collect();
    if word.is_empty() || word.len() > WORD_LIMIT_CHARS {
        return None;
    }
    known
        .into_iter()
        .filter(|candidate| candidate.len() <= WORD_LIMIT_CHARS)
        .map(|candidate| (distance(&word, candidate), candidate))
        .filter(|(distance, candidate)| is_similar(*distance, candidate))
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, candidate)| candidate)
}

/// Returns whether a distance is at most a third of the candidate's length,
/// or 1.
fn is_similar(distance: usize, candidate: &str) -> bool {
    distance <= 1.max(candidate.len() / 3)
}

/// Returns the optimal string alignment distance of two words: the number of
/// insertions, deletions, substitutions and transpositions of adjacent
/// characters that turn one into the other.
fn distance(word: &[char], candidate: &str) -> usize {
    let other: Vec<char> = candidate.chars().collect();
    let mut second_last: Vec<usize> = Vec::new();
    let mut last: Vec<usize> = (0..=other.len()).collect();
    for (i, &a) in word.iter().enumerate() {
        let mut row = vec![i + 1];
        for (j, &b) in other.iter().enumerate() {
            let substituted = last[j] + usize::from(a != b);
            let mut best = substituted.min(last[j + 1] + 1).min(row[j] + 1);
            if i > 0 && j > 0 && a == other[j - 1] && word[i - 1] == b {
                best = best.min(second_last[j - 1] + 1);
            }
            row.push(best);
        }
        second_last = std::mem::replace(&mut last, row);
    }
    last[other.len()]
}
