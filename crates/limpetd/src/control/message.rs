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

/// The most messages from traffic threads that wait for the control thread.
const QUEUE_LIMIT: usize = 16_384;

/// Who gives a command, its key already verified.
#[derive(Clone, Debug)]
pub struct Asker {
    /// The key.
    pub key: KeyId,
    /// What it allows.
    pub role: Role,
    /// The team that it was granted to.
    pub team: Option<TeamName>,
}

/// A message from a traffic thread to the control thread.
pub enum ControlRequest {
    /// Accept a job.
    Submit {
        /// The submitter's idempotency key, where one came.
        token: Option<String>,
        /// The key that came with it, already verified.
        key: Option<KeyId>,
        /// What it asks for.
        spec: JobSpec,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<SubmitAnswer>>,
    },
    /// Tell whether a job would be accepted.
    Check {
        /// What it asks for.
        spec: JobSpec,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<CommandAnswer>>,
    },
    /// Carry out a command.
    Command {
        /// Who gives it.
        asker: Asker,
        /// Its text.
        text: String,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<CommandAnswer>>,
    },
}

/// The way from traffic threads to the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    sender: mpsc::Sender<ControlRequest>,
}

impl ControlHandle {
    /// Returns a handle, and the end that the control thread reads.
    pub fn new() -> (ControlHandle, mpsc::Receiver<ControlRequest>) {
        let (sender, receiver) = mpsc::channel(QUEUE_LIMIT);
        (ControlHandle { sender }, receiver)
    }

    /// Submits a job and waits until it is durable.
    ///
    /// # Errors
    ///
    /// The refusal of the shard that it was handed to.
    pub async fn submit(
        &self,
        token: Option<String>,
        key: Option<KeyId>,
        spec: JobSpec,
    ) -> Result<SubmitAnswer> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlRequest::Submit { token, key, spec, reply })?;
        answer.await.unwrap_or_else(|_| Err(gone()))
    }

    /// Tells whether a job would be accepted, without accepting it.
    ///
    /// # Errors
    ///
    /// The refusal that the job would meet.
    pub async fn check_job(&self, spec: JobSpec) -> Result<CommandAnswer> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlRequest::Check { spec, reply })?;
        answer.await.unwrap_or_else(|_| Err(gone()))
    }

    /// Carries out a command.
    ///
    /// # Errors
    ///
    /// The command's refusal.
    pub async fn command(
        &self,
        asker: Asker,
        text: String,
    ) -> Result<CommandAnswer> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlRequest::Command { asker, text, reply })?;
        answer.await.unwrap_or_else(|_| Err(gone()))
    }

    fn send(&self, request: ControlRequest) -> Result<()> {
        self.sender.try_send(request).map_err(|_| {
            Error::new(
                ErrorKind::Overloaded,
                format!("{QUEUE_LIMIT} requests wait for the control thread"),
            )
        })
    }
}

fn gone() -> Error {
    Error::new(ErrorKind::Internal, "the control thread gave no answer")
}

/// Answers the messages of the traffic threads.
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
                token.unwrap_or_else(|| state.borrow_mut().draw_token());
            let submission = Submission { token, repeatable, key, spec };
            let _ = reply.send(submit::submit(&state, submission).await);
        }
        ControlRequest::Check { spec, reply } => {
            let _ = reply.send(command::check_job(&state, &spec));
        }
        ControlRequest::Command { asker, text, reply } => {
            let _ = reply.send(command::run(&state, &asker, &text).await);
        }
    }
}
