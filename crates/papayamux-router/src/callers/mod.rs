//! Handles the requests of callers.

mod answer_stream;
mod caller_request;
mod chat_handler;
mod in_flight;
mod offer;
mod request_handler;
mod resume_handler;
mod service_handler;

pub(crate) use offer::{offer_request, AcceptedRequest, RequestOffer};
pub use request_handler::CallerFrontend;
