use std::{
    env, fs,
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use eyre::{WrapErr, bail};
use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};

use super::{
    address::LoopbackHost, client::Client, settings::DaemonSettings,
    usage::Usage,
};

/// How often a wait looks again.
const POLL_MS: u64 = 20;
/// The longest that a start may take, on a busy machine too.
const START_LIMIT_MS: u64 = 60_000;

/// A daemon as a process of its own. It is killed when it is dropped.
pub struct Daemon {
    name: String,
    host: LoopbackHost,
    child: Child,
    files: Vec<PathBuf>,
    log: PathBuf,
}

impl Daemon {
    /// Starts a daemon and waits until it answers.
    ///
    /// # Errors
    ///
    /// It can't be started, or ends before it answers.
    pub async fn start(
        binary: &Path,
        settings: &DaemonSettings,
    ) -> eyre::Result<Daemon> {
        let mut daemon = Daemon::spawn(binary, settings)?;
        let client = daemon.client();
        for _ in 0..START_LIMIT_MS / POLL_MS {
            if client.is_ready().await {
                return Ok(daemon);
            }
            if let Some(status) = daemon.child.try_wait()? {
                bail!("{} ended, {status}: {}", daemon.name, daemon.log());
            }
            sleep_ms(POLL_MS).await;
        }
        bail!("{} doesn't answer: {}", daemon.name, daemon.log())
    }

    /// Starts a daemon without waiting for it.
    ///
    /// # Errors
    ///
    /// It can't be started.
    pub fn spawn(
        binary: &Path,
        settings: &DaemonSettings,
    ) -> eyre::Result<Daemon> {
        let name = settings.get_instance().to_owned();
        let host = settings.get_host();
        let stem = format!("limpet-{}-{name}", host.http_address().ip());
        let file = env::temp_dir().join(format!("{stem}.toml"));
        let log = env::temp_dir().join(format!("{stem}.log"));
        fs::write(&file, settings.to_toml())?;
        let output = File::create(&log)?;
        let child = Command::new(binary)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .wrap_err_with(|| format!("can't start {}", binary.display()))?;
        let files = vec![file, log.clone()];
        Ok(Daemon { name, host, child, files, log })
    }

    /// Returns the name of the instance.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the host of the instance.
    pub fn host(&self) -> LoopbackHost {
        self.host
    }

    /// Returns a caller with the first operator's key.
    pub fn client(&self) -> Client {
        Client::new(self.host.http_address())
    }

    /// Returns what the daemon has logged so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns what the process has used so far.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn usage(&self) -> eyre::Result<Usage> {
        Usage::of(self.child.id())
    }

    /// Stops the process dead, without a chance to clean up.
    ///
    /// # Errors
    ///
    /// It has ended already.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Stops the process where it stands, until it is resumed.
    ///
    /// # Errors
    ///
    /// It has ended.
    pub fn pause(&self) -> eyre::Result<()> {
        self.send(Signal::SIGSTOP)
    }

    /// Lets a paused process go on.
    ///
    /// # Errors
    ///
    /// It has ended.
    pub fn resume(&self) -> eyre::Result<()> {
        self.send(Signal::SIGCONT)
    }

    /// Asks the process to shut down, and waits until it has.
    ///
    /// # Errors
    ///
    /// It has ended before, or doesn't within `limit_ms`.
    pub async fn terminate(
        &mut self,
        limit_ms: u64,
    ) -> eyre::Result<ExitStatus> {
        self.send(Signal::SIGTERM)?;
        for _ in 0..limit_ms / POLL_MS {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            sleep_ms(POLL_MS).await;
        }
        bail!("{} still runs after {limit_ms} ms", self.name)
    }

    fn send(&self, signal: Signal) -> eyre::Result<()> {
        let process = Pid::from_raw(self.child.id().try_into()?);
        Ok(signal::kill(process, signal)?)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        for file in &self.files {
            let _ = fs::remove_file(file);
        }
    }
}

async fn sleep_ms(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}
