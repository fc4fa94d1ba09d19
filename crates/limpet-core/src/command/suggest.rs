/// The longest word, in characters, for which a suggestion is looked for;
/// bounds the cost of a look at a long input.
const WORD_LIMIT: usize = 32;

/// Returns the word of `known` that `word` most likely stands for, where one
/// is near enough.
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
        .take(WORD_LIMIT + 1)
        .flat_map(char::to_lowercase)
        .collect();
    if word.is_empty() || word.len() > WORD_LIMIT {
        return None;
    }
    known
        .into_iter()
        .filter(|candidate| candidate.len() <= WORD_LIMIT)
        .map(|candidate| (distance(&word, candidate), candidate))
        .filter(|(distance, candidate)| is_near(*distance, candidate))
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, candidate)| candidate)
}

fn is_near(distance: usize, candidate: &str) -> bool {
    distance <= 1.max(candidate.len() / 3)
}

/// Counts the insertions, removals, replacements and swaps of neighbours
/// that lead from one word to the other (optimal string alignment).
fn distance(word: &[char], candidate: &str) -> usize {
    let other: Vec<char> = candidate.chars().collect();
    let mut before: Vec<usize> = Vec::new();
    let mut last: Vec<usize> = (0..=other.len()).collect();
    for (i, &a) in word.iter().enumerate() {
        let mut row = vec![i + 1];
        for (j, &b) in other.iter().enumerate() {
            let replaced = last[j] + usize::from(a != b);
            let mut best = replaced.min(last[j + 1] + 1).min(row[j] + 1);
            if i > 0 && j > 0 && a == other[j - 1] && word[i - 1] == b {
                best = best.min(before[j - 1] + 1);
            }
            row.push(best);
        }
        before = std::mem::replace(&mut last, row);
    }
    last[other.len()]
}
