//! The channel from traffic threads to the control thread.

use std::rc::Rc;

use limpet_core::{
    Error, ErrorKind, JobSpec, KeyId, Result, TeamName, config::Role,
};
use limpet_wire::{CommandAnswer, SubmitAnswer};
use tokio::sync::{mpsc, oneshot};

use super::{
    SharedState, command,
    submit::{self, Submission},
};

/// The most messages from traffic threads that may wait for the control
/// thread. Further ones are refused as overload.
const QUEUE_LIMIT: usize = 16_384;

/// The caller of a command, whose key has been verified.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The key's id.
    pub key: KeyId,
    /// The role that the key was granted.
    pub role: Role,
    /// The team that the key was granted to, if it was granted to one.
    pub team: Option<TeamName>,
}

/// A message from a traffic thread to the control thread.
pub enum ControlRequest {
    /// Accept a job.
    Submit {
        /// The caller's idempotency key, if it sent one.
        token: Option<String>,
        /// The verified key of the request, if it had one.
        key: Option<KeyId>,
        /// The job.
        spec: JobSpec,
        /// Receives the answer.
        reply: oneshot::Sender<Result<SubmitAnswer>>,
    },
    /// Check whether a job would be accepted.
    Check {
        /// The job.
        spec: JobSpec,
        /// Receives the answer.
        reply: oneshot::Sender<Result<CommandAnswer>>,
    },
    /// Carry out a command of the operators' language.
    Command {
        /// The caller.
        caller: Caller,
        /// The text of the command.
        text: String,
        /// Receives the answer.
        reply: oneshot::Sender<Result<CommandAnswer>>,
    },
}

/// Sends requests from traffic threads to the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    sender: mpsc::Sender<ControlRequest>,
}

impl ControlHandle {
    /// Returns a handle and the receiver for the control thread.
    pub fn new() -> (ControlHandle, mpsc::Receiver<ControlRequest>) {
        let (sender, receiver) = mpsc::channel(QUEUE_LIMIT);
        (ControlHandle { sender }, receiver)
    }

    /// Submits a job and waits until it is durable.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`] if too many requests wait for the control
    /// thread, [`ErrorKind::Internal`] if that gives no answer, and otherwise
    /// the refusal of the shard that the job was submitted to.
    pub async fn submit(
        &self,
        token: Option<String>,
        key: Option<KeyId>,
        spec: JobSpec,
    ) -> Result<SubmitAnswer> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlRequest::Submit { token, key, spec, reply })?;
        answer.await.unwrap_or_else(|_| Err(no_answer()))
    }

    /// Checks whether a job would be accepted, without accepting it.
    ///
    /// # Errors
    ///
    /// The refusal that the job would get, and as [`ControlHandle::submit`] if
    /// the control thread can't be asked.
    pub async fn check_job(&self, spec: JobSpec) -> Result<CommandAnswer> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlRequest::Check { spec, reply })?;
        answer.await.unwrap_or_else(|_| Err(no_answer()))
    }

    /// Carries out a command of the operators' language.
    ///
    /// # Errors
    ///
    /// The refusal of the command, and as [`ControlHandle::submit`] if the
    /// control thread can't be asked.
    pub async fn command(
        &self,
        caller: Caller,
        text: String,
    ) -> Result<CommandAnswer> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlRequest::Command { caller, text, reply })?;
        answer.await.unwrap_or_else(|_| Err(no_answer()))
    }

    fn send(&self, request: ControlRequest) -> Result<()> {
        self.sender.try_send(request).map_err(|_| {
            Error::new(
                ErrorKind::Overloaded,
                format!(
                    "{QUEUE_LIMIT} requests already wait for the control \
                     thread"
                ),
            )
        })
    }
}

fn no_answer() -> Error {
    Error::new(ErrorKind::Internal, "the control thread gave no answer")
}

/// Answers the requests of the traffic threads, each in its own task.
pub(super) async fn run(
    state: SharedState,
    mut requests: mpsc::Receiver<ControlRequest>,
) {
    while let Some(request) = requests.recv().await {
        actix_rt::spawn(answer(Rc::clone(&state), request));
    }
}

async fn answer(state: SharedState, request: ControlRequest) {
    match request {
        ControlRequest::Submit { token, key, spec, reply } => {
            let repeatable = token.is_some();
            let token =
                token.unwrap_or_else(|| state.borrow_mut().next_token());
            let submission = Submission { token, repeatable, key, spec };
            let _ = reply.send(submit::submit(&state, submission).await);
        }
        ControlRequest::Check { spec, reply } => {
            let _ = reply.send(command::check_job(&state, &spec));
        }
        ControlRequest::Command { caller, text, reply } => {
            let _ = reply.send(command::run(&state, &caller, &text).await);
        }
    }
}
