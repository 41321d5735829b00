//! Reading of the platform's configuration service.

mod instance_reader;
mod service_client;
mod service_reader;

pub(crate) use instance_reader::read_instances;
pub(crate) use service_reader::read_service;
