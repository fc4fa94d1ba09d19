//! Runs the commands that a page of documentation shows, against a real
//! daemon, and compares their output with that on the page.

use std::{
    env, fs,
    path::{Path, PathBuf},
    process::{Child, Command},
};

use limpet_standin::cell::LoopbackHost;

use super::{Ctl, limpetd, wait_for};

/// The address in the example settings, which each run replaces by its own
/// loopback address so that runs don't disturb each other.
const SETTINGS_HOST: &str = "127.0.0.1";
/// The start of a line with a command, in an indented block of code.
const COMMAND_PREFIX: &str = "    $ limpetctl ";
/// The environment variable with which a run writes the output into the page
/// instead of comparing it.
const WRITE_VARIABLE: &str = "LIMPET_WRITE_PAGES";
/// The prefix of refusal ids, which is the name of the only instance.
const REFUSAL_ID_PREFIX: &str = "entry-1-";
/// The length of the secret of a granted key, in characters.
const SECRET_CHARS: usize = 48;

/// Returns the root directory of the repository.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// A daemon that is killed when this value is dropped.
struct RunningDaemon(Child);

impl Drop for RunningDaemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Runs the commands of a page in their order against one new daemon, and
/// checks that the page shows their output.
///
/// With `LIMPET_WRITE_PAGES` set, writes the output into the page instead.
///
/// # Panics
///
/// If the output of a command differs from that on the page.
pub fn check_page(name: &str) {
    let path = root().join(name);
    let page = fs::read_to_string(&path).expect("a readable page");
    let host = LoopbackHost::next();
    let _daemon = start_daemon(host);
    wait_until_ready(host);
    let actual = replace_output(&page, |command| run_command(host, command));
    if env::var_os(WRITE_VARIABLE).is_some() {
        fs::write(&path, actual).expect("a written page");
        return;
    }
    assert!(
        page == actual,
        "{name} differs from the output; {WRITE_VARIABLE}=1 updates it to:\n\
         {actual}"
    );
}

/// Returns the page with the output below each command replaced by what `run`
/// returns for the command.
fn replace_output(page: &str, run: impl Fn(&str) -> String) -> String {
    let mut replaced = String::new();
    let mut lines = page.lines().peekable();
    while let Some(line) = lines.next() {
        replaced += &format!("{line}\n");
        let Some(command) = line.strip_prefix(COMMAND_PREFIX) else {
            continue;
        };
        while lines.next_if(|next| is_output(next)).is_some() {}
        for output in run(command).lines() {
            replaced += format!("    {output}").trim_end();
            replaced += "\n";
        }
    }
    replaced
}

/// Returns whether a line of the page is output: indented, but no command.
fn is_output(line: &str) -> bool {
    line.starts_with("    ") && !line.starts_with("    $ ")
}

/// Starts a daemon on `host` with the settings of `examples/one-node.toml`,
/// which the README starts it with. Its log goes to a file in the directory
/// for temporary files.
fn start_daemon(host: LoopbackHost) -> RunningDaemon {
    let settings = root().join("examples/one-node.toml");
    let address = host.http_address().ip().to_string();
    let text = fs::read_to_string(settings).unwrap();
    let text = text.replace(SETTINGS_HOST, &address);
    let file = env::temp_dir().join(format!("limpet-page-{address}"));
    fs::write(&file, text).unwrap();
    let log = fs::File::create(file.with_extension("log")).unwrap();
    let daemon = Command::new(limpetd())
        .arg("--settings")
        .arg(&file)
        .stderr(log.try_clone().unwrap())
        .stdout(log)
        .spawn()
        .expect("limpetd starts");
    RunningDaemon(daemon)
}

/// Waits until the cell has an answer from each of the four workers in the
/// example settings.
fn wait_until_ready(host: LoopbackHost) {
    let key = fs::read_to_string(root().join("examples/operator.key"));
    let ctl = Ctl::with_key(host.http_address(), &key.unwrap());
    wait_for("the cell has an answer from every worker", || {
        let (rows, missing) = ctl.rows("show workers count");
        missing.is_empty()
            && rows.first().and_then(|row| row["count"].as_i64()) == Some(4)
    });
}

/// Runs `limpetctl` with the arguments in `command` and returns its standard
/// output followed by its standard error.
fn run_command(host: LoopbackHost, command: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_limpetctl"))
        .args(command.split(' '))
        .current_dir(root())
        .env("LIMPET_ADDRESS", host.http_address().to_string())
        .env("LIMPET_KEY_FILE", "examples/operator.key")
        .env("COLUMNS", "79")
        .output()
        .expect("limpetctl starts");
    let text = |bytes| String::from_utf8(bytes).expect("output in UTF-8");
    mask_random_parts(&(text(output.stdout) + &text(output.stderr)))
}

/// Replaces what differs from run to run, the secrets of granted keys and the
/// ids of refusals, by fixed words.
fn mask_random_parts(text: &str) -> String {
    let mask = |word: &str| match word.split_once(':') {
        Some((id, secret)) if secret.len() == SECRET_CHARS => {
            format!("{id}:SECRET")
        }
        _ if word.starts_with(REFUSAL_ID_PREFIX) => "ID`".to_owned(),
        _ => word.to_owned(),
    };
    let mask_line = |line: &str| {
        let words: Vec<String> = line.split(' ').map(mask).collect();
        words.join(" ")
    };
    let lines: Vec<String> = text.lines().map(mask_line).collect();
    lines.join("\n")
}
