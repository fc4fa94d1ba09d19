//! Messages of limpetspur: the link between instances and the HTTP bodies.
//!
//! The link's schema is `peer.capnp`; its Rust code is committed under
//! `generated`, so that a build needs no generator. `docs/DESIGN.md` tells
//! how to make it anew.

mod body;

/// Code made by the Cap'n Proto generator from `peer.capnp`.
pub mod generated {
    #[allow(
        missing_docs,
        unsafe_code,
        clippy::all,
        unused_qualifications,
        rustdoc::all
    )]
    #[rustfmt::skip]
    pub mod peer_capnp;
}

pub use crate::{
    body::{
        CommandAnswer, ErrorBody, ForwardAnswer, ForwardRequest, SubmitAnswer,
        TableCell,
    },
    generated::peer_capnp,
};
