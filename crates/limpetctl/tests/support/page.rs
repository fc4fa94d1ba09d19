//! Repeats the commands of a page against a real daemon.

use std::{
    env, fs,
    path::{Path, PathBuf},
    process::{Child, Command},
};

use limpet_standin::cell::LoopbackHost;

use super::{Ctl, limpetd, wait_for};

/// The address in the settings of the tour, which each run replaces by one
/// of its own.
const TOUR_HOST: &str = "127.0.0.1";
/// The start of a command, below the margin of a block of code.
const COMMAND: &str = "    $ limpetctl ";
/// The variable that has a run write what it saw into the page.
const WRITE_VARIABLE: &str = "LIMPET_WRITE_PAGES";
/// The start of the ids of refusals of the page's only instance.
const REFUSAL_START: &str = "entry-1-";
/// The length of a new key's secret, in characters.
const SECRET_LENGTH: usize = 48;

/// Returns the root of the repository.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Runs each command of a page, in its order, against one new daemon, and
/// checks that the page tells what comes out.
pub fn check_page(name: &str) {
    let path = root().join(name);
    let told = fs::read_to_string(&path).expect("the page is there");
    let host = LoopbackHost::next();
    let _daemon = start_daemon(host);
    wait_until_up(host);
    let seen = repeat(&told, |command| run_step(host, command));
    if env::var_os(WRITE_VARIABLE).is_some() {
        fs::write(&path, seen).expect("the page is written");
        return;
    }
    assert!(
        told == seen,
        "{name} is not what came out; {WRITE_VARIABLE}=1 writes it anew:\n\
         {seen}"
    );
}

/// Returns the page with the output below each command replaced.
fn repeat(page: &str, run: impl Fn(&str) -> String) -> String {
    let mut seen = String::new();
    let mut lines = page.lines().peekable();
    while let Some(line) = lines.next() {
        seen += &format!("{line}\n");
        let Some(command) = line.strip_prefix(COMMAND) else { continue };
        while lines.next_if(|next| is_output(next)).is_some() {}
        for output in run(command).lines() {
            seen += format!("    {output}").trim_end();
            seen += "\n";
        }
    }
    seen
}

fn is_output(line: &str) -> bool {
    line.starts_with("    ") && !line.starts_with("    $ ")
}

/// Starts the daemon with the settings of the README's first command.
fn start_daemon(host: LoopbackHost) -> Running {
    let settings = root().join("examples/one-node.toml");
    let address = host.http_address().ip().to_string();
    let text = fs::read_to_string(settings).unwrap();
    let text = text.replace(TOUR_HOST, &address);
    let file = env::temp_dir().join(format!("limpet-page-{address}"));
    fs::write(&file, text).unwrap();
    let log = fs::File::create(file.with_extension("log")).unwrap();
    let daemon = Command::new(limpetd())
        .arg("--settings")
        .arg(&file)
        .stderr(log.try_clone().unwrap())
        .stdout(log)
        .spawn()
        .expect("the daemon starts");
    Running(daemon)
}

fn wait_until_up(host: LoopbackHost) {
    let key = fs::read_to_string(root().join("examples/operator.key"));
    let ctl = Ctl::with_key(host.http_address(), &key.unwrap());
    wait_for("the cell is up", || {
        let (rows, missing) = ctl.rows("show workers count");
        missing.is_empty()
            && rows.first().and_then(|row| row["count"].as_i64()) == Some(4)
    });
}

fn run_step(host: LoopbackHost, command: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_limpetctl"))
        .args(command.split(' '))
        .current_dir(root())
        .env("LIMPET_ADDRESS", host.http_address().to_string())
        .env("LIMPET_KEY_FILE", "examples/operator.key")
        .env("COLUMNS", "79")
        .output()
        .expect("limpetctl runs");
    let text = |bytes| String::from_utf8(bytes).expect("it is text");
    hide_random(&(text(output.stdout) + &text(output.stderr)))
}

/// Replaces what each run draws at random: the secrets of new keys and the
/// ids of refusals.
fn hide_random(text: &str) -> String {
    let hide = |word: &str| match word.split_once(':') {
        Some((id, secret)) if secret.len() == SECRET_LENGTH => {
            format!("{id}:SECRET")
        }
        _ if word.starts_with(REFUSAL_START) => "ID`".to_owned(),
        _ => word.to_owned(),
    };
    let line = |line: &str| {
        let words: Vec<String> = line.split(' ').map(hide).collect();
        words.join(" ")
    };
    let lines: Vec<String> = text.lines().map(line).collect();
    lines.join("\n")
}
