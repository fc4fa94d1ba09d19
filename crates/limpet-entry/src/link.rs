//! The link between instances: questions to the owner, and calls for advice
//! that the owner spreads over all instances.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use limpet_adapter::{Advisor, CallError, HttpPeer, HttpRequest};
use limpet_workflow::{AskId, JobKey, JobPhase, Ticket};
use slog::debug;

use crate::{
    clock,
    node::Node,
    owner_view::OwnerView,
    rows::{decode, encode},
};

/// Where the link is served.
pub const LINK_PATH: &str = "/link";
/// How long an answer of the owner may take.
const QUESTION_TIMEOUT_MS: u64 = 400;
/// How long an instance waits for work before it asks again. Its question is
/// also how it learns that the owner is silent.
pub const PULL_WAIT_MS: u64 = 500;
/// Added to the wait for the answer's way and a busy owner.
const PULL_GRACE_MS: u64 = 300;
/// How often the owner looks whether it has lost the store, while instances
/// wait for work.
const STORE_POLL_MS: u64 = 100;
/// The pause while there is no owner to ask.
const NO_OWNER_PAUSE_MS: u64 = 150;
/// Added to what a call for advice is likely to take.
const ADVICE_GRACE_MS: u64 = 600;

/// A message to the owner.
#[derive(Debug, serde::Deserialize, serde::Serialize)]
pub enum LinkRequest {
    /// Where does a job stand?
    Phase(JobKey),
    /// How many jobs of a queue wait for their first task?
    Pending(String),
    /// Here is what came of the last work; is there more?
    Pull {
        /// The instance that asks.
        instance: String,
        /// What came of the last work.
        answer: Option<AdviceAnswer>,
        /// Whether the instance takes the store to be lost to the owner; it
        /// hears at once where that is wrong.
        knows_lost: bool,
    },
}

/// The owner's answer.
#[derive(Debug, serde::Deserialize, serde::Serialize)]
pub enum LinkReply {
    /// The instance doesn't own the cell.
    NotOwner,
    /// Where the job stands; `None` where it isn't known.
    Phase(Option<PhaseReply>),
    /// The number of jobs.
    Pending(u64),
    /// A call to make, if there was one in time.
    Work {
        /// The call.
        work: Option<AdviceWork>,
        /// Whether the store is lost to the owner too.
        store_is_lost: bool,
    },
    /// The instance owns the cell and has yet to load its jobs.
    Loading,
}

/// Where a job stands, as it crosses the link.
pub type PhaseReply = JobPhase;

/// A call for advice that an instance is to make.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct AdviceWork {
    /// Names the call.
    pub ask: AskId,
    /// The owner's term.
    pub term: u64,
    /// The step.
    pub step: String,
    /// The workers that it is about.
    pub workers: Vec<String>,
    /// What the call is likely to take.
    pub cost_ms: u64,
}

/// What came of a call for advice.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct AdviceAnswer {
    /// Names the call.
    pub ask: AskId,
    /// The owner's term.
    pub term: u64,
    /// The tickets, as pairs of worker and ticket.
    pub tickets: Option<Vec<(String, String)>>,
}

/// Sends a message to a peer that may own the cell.
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
        return Err(CallError::NoAnswer(format!("status {}", reply.status)));
    }
    let unreadable = || CallError::NoAnswer("unreadable reply".to_owned());
    decode(&reply.body).ok_or_else(unreadable)
}

/// Asks the owner where a job stands; `None` where there is no answer.
pub async fn owner_phase(node: &Node, job: JobKey) -> Option<JobPhase> {
    if let Some(owner) = node.loaded_owner() {
        return owner.phase(job);
    }
    let peer = node.answering_owner()?;
    let message = LinkRequest::Phase(job);
    match ask_owner(&peer, &message, QUESTION_TIMEOUT_MS).await {
        Ok(LinkReply::Phase(phase)) => phase,
        Ok(_) => None,
        Err(err) => {
            debug!(node.log, "link: no answer"; "job" => %job,
                "reason" => %err);
            None
        }
    }
}

/// Asks the owner for a queue's count; `None` where there is no answer.
pub async fn owner_pending(node: &Node, queue: &str) -> Option<u64> {
    if let Some(owner) = node.loaded_owner() {
        return Some(owner.pending(queue) as u64);
    }
    let peer = node.answering_owner()?;
    let message = LinkRequest::Pending(queue.to_owned());
    match ask_owner(&peer, &message, QUESTION_TIMEOUT_MS).await {
        Ok(LinkReply::Pending(count)) => Some(count),
        Ok(_) => None,
        Err(err) => {
            debug!(node.log, "link: no answer"; "queue" => queue,
                "reason" => %err);
            None
        }
    }
}

/// Makes calls for advice on behalf of the owner, for good.
pub async fn serve_advice(node: Rc<Node>) {
    let Some(address) = &node.settings.advice.address else { return };
    let advisor = Advisor::new(address);
    let mut answer = None;
    loop {
        match pull_work(&node, answer.take()).await {
            Ok(Some(work)) => answer = Some(advise(&advisor, work).await),
            Ok(None) => {}
            Err(reason) => {
                debug!(node.log, "link: no work"; "reason" => reason);
                let pause = Duration::from_millis(NO_OWNER_PAUSE_MS);
                actix_rt::time::sleep(pause).await;
            }
        }
    }
}

async fn pull_work(
    node: &Node,
    answer: Option<AdviceAnswer>,
) -> Result<Option<AdviceWork>, String> {
    let peer = node.owner_peer().ok_or_else(|| "no owner".to_owned())?;
    let term = node.owner_record.borrow().term;
    let instance = node.settings.instance.name.clone();
    let knows_lost = node.owner_view() == OwnerView::StoreLost;
    let message = LinkRequest::Pull { instance, answer, knows_lost };
    let timeout_ms = PULL_WAIT_MS + PULL_GRACE_MS;
    let reply = ask_owner(&peer, &message, timeout_ms).await;
    node.note_owner_view(term, view_of(&reply));
    match reply {
        Ok(LinkReply::Work { work, .. }) => Ok(work),
        Ok(reply) => Err(format!("{reply:?}")),
        Err(err) => Err(err.to_string()),
    }
}

/// Returns what a reply to a question for work tells of the owner.
fn view_of(reply: &Result<LinkReply, CallError>) -> OwnerView {
    match reply {
        Ok(LinkReply::Work { store_is_lost: true, .. }) => {
            OwnerView::StoreLost
        }
        Ok(LinkReply::Work { .. }) => OwnerView::StoreAnswers(clock::now()),
        Ok(LinkReply::NotOwner) | Err(CallError::NobodyThere) => {
            OwnerView::Gone
        }
        Ok(_) => OwnerView::Unknown,
        Err(_) => OwnerView::Silent,
    }
}

/// Makes a call for advice.
pub async fn advise(advisor: &Advisor, work: AdviceWork) -> AdviceAnswer {
    let timeout_ms = work.cost_ms * 2 + ADVICE_GRACE_MS;
    let result = advisor.advise(&work.step, &work.workers, timeout_ms).await;
    let pair = |one: Ticket| (one.worker, one.ticket);
    let tickets =
        result.ok().map(|tickets| tickets.into_iter().map(pair).collect());
    AdviceAnswer { ask: work.ask, term: work.term, tickets }
}

/// Answers a message of another instance.
pub async fn answer_link(node: &Rc<Node>, body: &[u8]) -> Vec<u8> {
    let Some(message) = decode::<LinkRequest>(body) else {
        return encode(&LinkReply::NotOwner);
    };
    let Some(owner) = node.loaded_owner() else {
        return encode(&match node.owner.borrow().is_some() {
            true => LinkReply::Loading,
            false => LinkReply::NotOwner,
        });
    };
    encode(&match message {
        LinkRequest::Phase(job) => LinkReply::Phase(owner.phase(job)),
        LinkRequest::Pending(queue) => {
            LinkReply::Pending(owner.pending(&queue) as u64)
        }
        LinkRequest::Pull { instance, answer, knows_lost } => {
            if let Some(answer) = answer {
                owner.take_advice(answer);
            }
            let until = clock::now().plus_ms(PULL_WAIT_MS);
            let mut work = None;
            while work.is_none()
                && clock::now() < until
                && node.store_is_lost() == knows_lost
            {
                let soon = clock::now().plus_ms(STORE_POLL_MS);
                work = owner.next_work(&instance, soon.min(until)).await;
            }
            let store_is_lost = node.store_is_lost();
            LinkReply::Work { work, store_is_lost }
        }
    })
}
