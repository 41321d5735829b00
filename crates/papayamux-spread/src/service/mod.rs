//! Reading the platform's configuration service.

mod service_client;
mod service_reader;

pub(crate) use service_reader::read_service;
