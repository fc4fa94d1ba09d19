//! The client side of the link.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use limpet_core::{Error, ErrorKind, Result, Revision};
use limpet_platform::InstanceEntry;
use limpet_wire::{ForwardAnswer, ForwardRequest, peer_capnp::peer};
use tokio::sync::Semaphore;

use super::connection::connect;
use crate::metrics::{Counter, Metrics};

/// The most requests to a peer that may wait for an answer. Further ones are
/// refused.
const OUTSTANDING_LIMIT: usize = 1_024;
/// The longest that a forwarded submission or change may take, in
/// milliseconds.
const SUBMIT_TIMEOUT_MS: u64 = 5_000;
/// The longest that a forwarded query or a configuration may take, in
/// milliseconds.
const QUERY_TIMEOUT_MS: u64 = 800;

/// The links to the other instances. Clones share them.
#[derive(Clone)]
pub struct Peers {
    inner: Rc<Inner>,
}

struct Inner {
    metrics: Metrics,
    /// The other instances of the platform's list.
    entries: RefCell<Vec<InstanceEntry>>,
    /// The links by address.
    links: RefCell<BTreeMap<String, Link>>,
}

#[derive(Clone)]
struct Link {
    /// The open connection, if there is one.
    client: Option<peer::Client>,
    /// Limits the requests that wait for an answer.
    permits: Rc<Semaphore>,
}

impl Default for Link {
    fn default() -> Link {
        Link {
            client: None,
            permits: Rc::new(Semaphore::new(OUTSTANDING_LIMIT)),
        }
    }
}

impl Peers {
    /// Returns an empty set of links.
    pub fn new(metrics: Metrics) -> Peers {
        Peers {
            inner: Rc::new(Inner {
                metrics,
                entries: RefCell::default(),
                links: RefCell::default(),
            }),
        }
    }

    /// Sets the other instances of the platform's list, and closes the links
    /// to those that are no longer listed.
    pub fn set_peers(&self, entries: Vec<InstanceEntry>) {
        self.inner.links.borrow_mut().retain(|address, _| {
            entries.iter().any(|entry| entry.link_address == *address)
        });
        *self.inner.entries.borrow_mut() = entries;
    }

    /// Returns the other instances of the platform's list.
    pub fn entries(&self) -> Vec<InstanceEntry> {
        self.inner.entries.borrow().clone()
    }

    /// Sends a request to the instance at `address` and returns its answer.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::ShardUnreachable`] if that instance certainly received
    /// nothing, and [`ErrorKind::ShardUnknown`] if its answer was lost, so
    /// that it may have carried out the request.
    pub async fn forward(
        &self,
        address: &str,
        request: &ForwardRequest,
    ) -> Result<ForwardAnswer> {
        let timeout_ms = match request {
            ForwardRequest::Query { .. } => QUERY_TIMEOUT_MS,
            ForwardRequest::Submit { .. } | ForwardRequest::Change { .. } => {
                SUBMIT_TIMEOUT_MS
            }
        };
        let permits = self.link(address).permits;
        let _permit = permits.try_acquire().map_err(|_| {
            unreachable_peer(address, "too many requests wait for it")
        })?;
        let body = serde_json::to_vec(request)
            .map_err(|err| unreachable_peer(address, &err.to_string()))?;
        let client = self.client(address).await?;
        self.inner.metrics.add(Counter::LinkForwards, 1);
        let mut call = client.forward_request();
        call.get().set_request(&body);
        let answer = async {
            let response = call.send().promise.await?;
            let body = response.get()?.get_answer()?;
            serde_json::from_slice(body)
                .map_err(|err| capnp::Error::failed(err.to_string()))
        };
        let timeout = Duration::from_millis(timeout_ms);
        match actix_rt::time::timeout(timeout, answer).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(err)) => Err(unknown_outcome(address, &err.to_string())),
            Err(_) => {
                // The connection may be dead although it was never closed, so
                // the next message opens a new one.
                self.disconnect(address);
                Err(unknown_outcome(address, "timeout"))
            }
        }
    }

    /// Sends a configuration to the instance at `address`, and returns the
    /// revision that is then in force there.
    ///
    /// # Errors
    ///
    /// As [`Peers::forward`].
    pub async fn configure(
        &self,
        address: &str,
        changes: &[u8],
    ) -> Result<Revision> {
        let client = self.client(address).await?;
        let mut call = client.configure_request();
        call.get().set_changes(changes);
        let answer = async {
            let response = call.send().promise.await?;
            Ok(response.get()?.get_revision())
        };
        let timeout = Duration::from_millis(QUERY_TIMEOUT_MS);
        match actix_rt::time::timeout(timeout, answer).await {
            Ok(Ok(revision)) => Ok(Revision::new(revision)),
            Ok(Err::<_, capnp::Error>(err)) => {
                Err(unknown_outcome(address, &err.to_string()))
            }
            Err(_) => {
                self.disconnect(address);
                Err(unknown_outcome(address, "timeout"))
            }
        }
    }

    /// Returns the link to an address, created when it is first used.
    fn link(&self, address: &str) -> Link {
        let mut links = self.inner.links.borrow_mut();
        links.entry(address.to_owned()).or_default().clone()
    }

    /// Returns the open connection to an address, or opens one.
    async fn client(&self, address: &str) -> Result<peer::Client> {
        if let Some(client) = self.link(address).client {
            return Ok(client);
        }
        let peers = self.clone();
        let ended = address.to_owned();
        let on_end = move || peers.disconnect(&ended);
        let client = connect(address, &self.inner.metrics, on_end).await?;
        let mut links = self.inner.links.borrow_mut();
        let link = links.entry(address.to_owned()).or_default();
        link.client = Some(client.clone());
        Ok(client)
    }

    /// Drops the connection to an address.
    fn disconnect(&self, address: &str) {
        if let Some(link) = self.inner.links.borrow_mut().get_mut(address) {
            link.client = None;
        }
    }
}

fn unreachable_peer(address: &str, why: &str) -> Error {
    Error::new(
        ErrorKind::ShardUnreachable,
        format!("nothing was sent to {address}: {why}"),
    )
}

fn unknown_outcome(address: &str, why: &str) -> Error {
    Error::new(
        ErrorKind::ShardUnknown,
        format!("no answer from {address}: {why}"),
    )
}
