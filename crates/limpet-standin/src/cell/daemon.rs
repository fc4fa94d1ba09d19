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

/// How often a wait checks its condition.
const POLL_MS: u64 = 20;
/// The longest that a start may take; long enough for a busy machine.
const START_TIMEOUT_MS: u64 = 60_000;

/// A daemon in a process of its own. Dropping it kills the process and removes
/// its settings file and log.
pub struct Daemon {
    name: String,
    host: LoopbackHost,
    child: Child,
    files: Vec<PathBuf>,
    log: PathBuf,
}

impl Daemon {
    /// Starts a daemon and waits until it answers its health check.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started, ends before it answers, or doesn't answer
    /// within 60 s. The error contains its log.
    pub async fn start(
        binary: &Path,
        settings: &DaemonSettings,
    ) -> eyre::Result<Daemon> {
        let mut daemon = Daemon::spawn(binary, settings)?;
        let client = daemon.client();
        for _ in 0..START_TIMEOUT_MS / POLL_MS {
            if client.is_ready().await {
                return Ok(daemon);
            }
            if let Some(status) = daemon.child.try_wait()? {
                bail!("{} ended with {status}: {}", daemon.name, daemon.log());
            }
            sleep_ms(POLL_MS).await;
        }
        bail!("{} doesn't answer in time: {}", daemon.name, daemon.log())
    }

    /// Starts a daemon without waiting until it answers.
    ///
    /// # Errors
    ///
    /// Fails if its files can't be written or it can't be started.
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

    /// Returns the IP address of the instance.
    pub fn host(&self) -> LoopbackHost {
        self.host
    }

    /// Returns a client that uses the first operator's key.
    pub fn client(&self) -> Client {
        Client::new(self.host.http_address())
    }

    /// Returns the daemon's log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the processor time and memory that the process uses.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn usage(&self) -> eyre::Result<Usage> {
        Usage::of(self.child.id())
    }

    /// Kills the process (SIGKILL) and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be killed.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Pauses the process (SIGSTOP) until it is resumed.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn pause(&self) -> eyre::Result<()> {
        self.send(Signal::SIGSTOP)
    }

    /// Resumes a paused process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn resume(&self) -> eyre::Result<()> {
        self.send(Signal::SIGCONT)
    }

    /// Asks the process to shut down (SIGTERM), and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended before, or doesn't end within
    /// `timeout_ms`.
    pub async fn terminate(
        &mut self,
        timeout_ms: u64,
    ) -> eyre::Result<ExitStatus> {
        self.send(Signal::SIGTERM)?;
        for _ in 0..timeout_ms / POLL_MS {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            sleep_ms(POLL_MS).await;
        }
        bail!("{} still runs {timeout_ms} ms after SIGTERM", self.name)
    }

    fn send(&self, signal: Signal) -> eyre::Result<()> {
        let process = Pid::from_raw(self.child.id().try_into()?);
        Ok(signal::kill(process, signal)?)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Errors mean that it has ended already.
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
