//! Fuzz tests of the command parser: no text makes it panic, and it reads each
//! token at most a fixed number of times.

use limpet_core::command::Command;
use rand::{Rng, RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

const CORPUS: &str = include_str!("corpus/commands.txt");
const SEED: u64 = 7;
/// The number of mutated lines that a run parses.
const ROUNDS: usize = 30_000;
/// The most reads of tokens per byte of text. A token may be one byte long and
/// is compared at most with every first word of the grammar.
const READS_PER_BYTE: usize = 40;

fn corpus() -> Vec<&'static str> {
    CORPUS.lines().collect()
}

/// Parses a text and checks the number of reads; then parses the text form of
/// the resulting command, or checks the column of the error.
fn check(text: &str) {
    let (result, reads) = Command::parse_counted(text);
    let max = READS_PER_BYTE * (text.len() + 1);
    assert!(reads <= max, "{reads} reads for {} bytes", text.len());
    match result {
        Ok(command) => {
            let printed = command.to_string();
            assert_eq!(printed.parse(), Ok(command), "from {text:?}");
        }
        Err(err) => {
            let length = text.chars().count() + 1;
            assert!((1..=length).contains(&err.column), "{text:?}: {err}");
        }
    }
}

/// Returns a line of the corpus with one to three random changes.
fn mutate_line(rng: &mut impl Rng, corpus: &[&str]) -> String {
    let words: Vec<&str> =
        corpus.iter().flat_map(|line| line.split(' ')).collect();
    let line = corpus.choose(rng).expect("the corpus has lines");
    let mut parts: Vec<String> = line.split(' ').map(str::to_owned).collect();
    for _ in 0..rng.random_range(1..4) {
        let at = rng.random_range(0..=parts.len());
        match rng.random_range(0..5) {
            0 => drop(parts.drain(at..)),
            1 => parts.insert(at, (*words.choose(rng).unwrap()).to_owned()),
            2 => parts.extend(parts.clone()),
            3 if at < parts.len() => drop(parts.remove(at)),
            _ if at < parts.len() => parts[at] = insert_char(rng, &parts[at]),
            _ => {}
        }
    }
    parts.join(" ")
}

/// Inserts a random character at a random position.
fn insert_char(rng: &mut impl Rng, word: &str) -> String {
    let signs = ['"', '\\', '(', ')', ',', '=', '<', '\u{0}', 'é', '\n', '9'];
    let mut chars: Vec<char> = word.chars().collect();
    let at = rng.random_range(0..=chars.len());
    chars.insert(at, *signs.choose(rng).expect("there are signs"));
    chars.into_iter().collect()
}

#[test]
fn corpus_lines() {
    corpus().into_iter().for_each(check);
}

#[test]
fn corpus_mutants() {
    let corpus = corpus();
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for _ in 0..ROUNDS {
        check(&mutate_line(&mut rng, &corpus));
    }
}

#[test]
fn long_texts() {
    let repeated = [
        ("show jobs where ", "(", 60_000),
        ("show jobs where ", "not ", 15_000),
        ("show jobs where job = 1", " and job = 1", 5_000),
        ("show jobs where job in (1", ", 1", 15_000),
        ("show jobs order by job", ", job", 10_000),
        ("show jobs count by team", ", team", 8_000),
        ("set limit of team a to 1 cores", ", 1 cores", 6_000),
        ("reshape queue a", " open yes", 6_000),
        ("show ", "x", 60_000),
        ("", " ", 60_000),
        ("", "\"", 60_000),
        ("show jobs where name = \"", "\\\\", 30_000),
    ];
    for (start, part, count) in repeated {
        check(&format!("{start}{}", part.repeat(count)));
    }
}

#[test]
fn too_long() {
    let text = "x".repeat(65 * 1024);
    let err = text.parse::<Command>().expect_err("over the limit");
    assert_eq!(
        err.to_string(),
        "column 1: found `66560 bytes`, expected at most 65536 bytes"
    );
}
