//! The link between instances: queries to the owner, and advice requests that
//! the owner distributes over all instances.
//!
//! Each instance with an address of the advice service pulls requests from
//! the owner in a long poll. The replies also show whether the owner is alive
//! and reaches the store, which decides how soon another instance takes over.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use limpet_adapter::{Advisor, CallError, HttpPeer, HttpRequest};
use limpet_workflow::{AdviceRequestId, JobKey, JobPhase, Ticket};
use slog::debug;

use crate::{
    clock,
    node::Node,
    owner_view::OwnerView,
    rows::{decode, decode_extended, encode},
};

/// The path at which the link is served.
pub const LINK_PATH: &str = "/link";
/// The time-out of a query to the owner.
const QUERY_TIMEOUT_MS: u64 = 400;
/// How long a pull waits at the owner for an advice request. An instance also
/// notices by an unanswered pull that the owner has failed.
pub const PULL_WAIT_MS: u64 = 500;
/// Added to the time-out of a pull for the network and a busy owner.
const PULL_GRACE_MS: u64 = 300;
/// How often the owner checks whether it has lost the store while instances
/// wait in a pull.
const STORE_POLL_MS: u64 = 100;
/// The pause after a failed pull, as when there is no owner.
const NO_OWNER_PAUSE_MS: u64 = 150;
/// The encoding of the fields that pulls of earlier versions lack: a capacity
/// of 0, and not ready.
const APPENDED_DEFAULTS: [u8; 2] = [0, 0];
/// Added to the time-out of an advice request.
const ADVICE_GRACE_MS: u64 = 600;

/// A message to the owner, encoded with postcard.
#[derive(Debug, serde::Deserialize, serde::Serialize)]
pub enum LinkRequest {
    /// Requests the phase of a job.
    Phase(JobKey),
    /// Requests the number of jobs of a queue of which no task has started.
    Pending(String),
    /// Reports the answer to the previous advice request, and requests the
    /// next one to make.
    Pull {
        /// The name of the instance that pulls.
        instance: String,
        /// The answer to the previous advice request, if there was one.
        answer: Option<AdviceAnswer>,
        /// Whether the owner's previous reply showed that it has lost the
        /// store. The owner replies at once if that has changed.
        knows_lost: bool,
        /// The capacity of the instance to own the cell; 0 if unknown.
        capacity_milli: u64,
        /// Whether the instance reaches the store and is not shutting down.
        is_ready: bool,
    },
}

/// The owner's reply, encoded with postcard.
#[derive(Debug, serde::Deserialize, serde::Serialize)]
pub enum LinkReply {
    /// The instance does not own the cell.
    NotOwner,
    /// The phase of the job; `None` if the job is unknown.
    Phase(Option<PhaseReply>),
    /// The number of jobs of which no task has started.
    Pending(u64),
    /// The reply to a pull.
    Work {
        /// The advice request to make; `None` if there was none in time.
        work: Option<AdviceWork>,
        /// Whether the owner has lost the store.
        store_is_lost: bool,
    },
    /// The instance owns the cell but has not loaded its jobs yet, or its
    /// takeover may have succeeded.
    Loading,
}

/// The phase of a job in a reply.
pub type PhaseReply = JobPhase;

/// An advice request for an instance to make.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct AdviceWork {
    /// Identifies the request within the owner's term.
    pub ask: AdviceRequestId,
    /// The owner's term.
    pub term: u64,
    /// The step.
    pub step: String,
    /// The ids of the workers that the request names.
    pub workers: Vec<String>,
    /// The expected duration of the request.
    pub cost_ms: u64,
}

/// The answer to an advice request.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct AdviceAnswer {
    /// Identifies the request within the owner's term.
    pub ask: AdviceRequestId,
    /// The owner's term.
    pub term: u64,
    /// Pairs of worker id and ticket; `None` if the request failed.
    pub tickets: Option<Vec<(String, String)>>,
}

/// Sends a message to an instance that may own the cell.
///
/// # Errors
///
/// Those of the call, and [`CallError::NoAnswer`] for a reply with another
/// status than 200 or an undecodable body.
pub async fn ask_owner(
    peer: &HttpPeer,
    message: &LinkRequest,
    timeout_ms: u64,
) -> Result<LinkReply, CallError> {
    let request = HttpRequest {
        method: Method::POST,
        path: LINK_PATH,
        headers: &[],
        body: Bytes::from(encode(message)),
        timeout_ms,
    };
    let reply = peer.call(request).await?;
    if reply.status != StatusCode::OK {
        return Err(CallError::NoAnswer(format!(
            "reply has status {}",
            reply.status
        )));
    }
    let undecodable = || CallError::NoAnswer("undecodable reply".to_owned());
    decode(&reply.body).ok_or_else(undecodable)
}

/// Returns the phase of a job from the owner, which may be this instance, or
/// that the owner doesn't know the job; `None` if there is no reply.
pub async fn owner_phase(
    node: &Node,
    job: JobKey,
) -> Option<Option<JobPhase>> {
    if let Some(owner) = node.loaded_owner() {
        return Some(owner.phase(job));
    }
    let peer = node.answering_owner()?;
    let message = LinkRequest::Phase(job);
    match ask_owner(&peer, &message, QUERY_TIMEOUT_MS).await {
        Ok(LinkReply::Phase(phase)) => Some(phase),
        Ok(_) => None,
        Err(err) => {
            debug!(node.log, "link: no reply from the owner; asking the store";
                "job" => %job, "reason" => %err);
            None
        }
    }
}

/// Returns the number of pending jobs of a queue from the owner; `None` if
/// there is no reply.
pub async fn owner_pending(node: &Node, queue: &str) -> Option<u64> {
    if let Some(owner) = node.loaded_owner() {
        return Some(owner.pending(queue) as u64);
    }
    let peer = node.answering_owner()?;
    let message = LinkRequest::Pending(queue.to_owned());
    match ask_owner(&peer, &message, QUERY_TIMEOUT_MS).await {
        Ok(LinkReply::Pending(count)) => Some(count),
        Ok(_) => None,
        Err(err) => {
            debug!(node.log, "link: no reply from the owner; no count";
                "queue" => queue, "reason" => %err);
            None
        }
    }
}

/// Makes advice requests on behalf of the owner. Never returns if an address
/// of the advice service is set.
pub async fn serve_advice_requests(node: Rc<Node>) {
    let Some(address) = &node.settings.advice.address else { return };
    let advisor = Advisor::new(address);
    let mut answer = None;
    let mut is_resent = false;
    loop {
        match pull_work(&node, answer.clone()).await {
            Ok(work) => {
                is_resent = false;
                answer = match work {
                    Some(work) => Some(request_advice(&advisor, work).await),
                    None => None,
                };
            }
            Err(reason) => {
                debug!(node.log, "link: pull from the owner failed; retrying";
                    "reason" => reason);
                // The owner may not have got the answer. It ignores copies,
                // and by a third pull the request is overdue.
                if is_resent {
                    answer = None;
                }
                is_resent = answer.is_some();
                let pause = Duration::from_millis(NO_OWNER_PAUSE_MS);
                actix_rt::time::sleep(pause).await;
            }
        }
    }
}

/// Reports the previous answer to the owner and pulls the next advice request.
async fn pull_work(
    node: &Node,
    answer: Option<AdviceAnswer>,
) -> Result<Option<AdviceWork>, String> {
    let peer = node.owner_peer().ok_or_else(|| "no owner".to_owned())?;
    let term = node.owner_record.borrow().term;
    let instance = node.settings.instance.name.clone();
    let knows_lost = node.owner_view() == OwnerView::StoreLost;
    let message = LinkRequest::Pull {
        instance,
        answer,
        knows_lost,
        capacity_milli: node.settings.instance.capacity_milli(),
        is_ready: node.is_ready(),
    };
    let timeout_ms = PULL_WAIT_MS + PULL_GRACE_MS;
    let reply = ask_owner(&peer, &message, timeout_ms).await;
    node.record_owner_view(term, view_of(&reply));
    match reply {
        Ok(LinkReply::Work { work, .. }) => Ok(work),
        Ok(reply) => Err(format!("{reply:?}")),
        Err(err) => Err(err.to_string()),
    }
}

/// Returns what the reply to a pull shows about the owner.
fn view_of(reply: &Result<LinkReply, CallError>) -> OwnerView {
    match reply {
        Ok(LinkReply::Work { store_is_lost: true, .. }) => {
            OwnerView::StoreLost
        }
        Ok(LinkReply::Work { .. }) => OwnerView::StoreAnswers(clock::now()),
        Ok(LinkReply::NotOwner) | Err(CallError::ConnectionRefused) => {
            OwnerView::Gone
        }
        Ok(_) => OwnerView::Unknown,
        Err(_) => OwnerView::Silent,
    }
}

/// Makes an advice request.
pub async fn request_advice(
    advisor: &Advisor,
    work: AdviceWork,
) -> AdviceAnswer {
    let timeout_ms = work.cost_ms * 2 + ADVICE_GRACE_MS;
    let result = advisor.advise(&work.step, &work.workers, timeout_ms).await;
    let pair = |ticket: Ticket| (ticket.worker, ticket.ticket);
    let tickets =
        result.ok().map(|tickets| tickets.into_iter().map(pair).collect());
    AdviceAnswer { ask: work.ask, term: work.term, tickets }
}

/// Answers a message of another instance. A pull waits up to
/// [`PULL_WAIT_MS`] until there is an advice request, or until the store is
/// lost or answers again.
pub async fn answer_link(node: &Rc<Node>, body: &[u8]) -> Vec<u8> {
    let message = decode_extended(body, &APPENDED_DEFAULTS);
    let owner = node.owner.borrow().clone();
    let owner = owner.filter(|owner| owner.is_alive());
    let (Some(message), Some(owner)) = (message, owner) else {
        return encode(&match node.taking_over.get() {
            true => LinkReply::Loading,
            false => LinkReply::NotOwner,
        });
    };
    if let LinkRequest::Pull { instance, capacity_milli, is_ready, .. } =
        &message
    {
        let now = clock::now();
        owner.candidates.record_pull(
            instance,
            *capacity_milli,
            *is_ready,
            now,
        );
    }
    if !owner.is_loaded() {
        return encode(&LinkReply::Loading);
    }
    encode(&match message {
        LinkRequest::Phase(job) => LinkReply::Phase(owner.phase(job)),
        LinkRequest::Pending(queue) => {
            LinkReply::Pending(owner.pending(&queue) as u64)
        }
        LinkRequest::Pull { instance, answer, knows_lost, .. } => {
            if let Some(answer) = answer {
                owner.report_advice(answer);
            }
            let pull = owner.begin_pull(&instance);
            let until = clock::now().plus_ms(PULL_WAIT_MS);
            let mut work = None;
            while work.is_none()
                && owner.is_alive()
                && owner.is_latest_pull(&instance, pull)
                && clock::now() < until
                && node.store_is_lost() == knows_lost
            {
                let soon = clock::now().plus_ms(STORE_POLL_MS);
                work = owner.next_work(&instance, pull, soon.min(until)).await;
            }
            let store_is_lost = node.store_is_lost();
            match owner.is_alive() {
                true => LinkReply::Work { work, store_is_lost },
                false => LinkReply::NotOwner,
            }
        }
    })
}
