//! The JSON bodies of the HTTP interface and of forwarded requests.

mod command;
mod error;
mod forward;
mod submit;

pub use self::{
    command::{CommandAnswer, TableCell},
    error::ErrorBody,
    forward::{ForwardAnswer, ForwardRequest},
    submit::SubmitAnswer,
};
