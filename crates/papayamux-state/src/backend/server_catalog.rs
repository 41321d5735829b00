//! The catalog of all known backend servers.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use super::BackendServer;
use crate::ids::{ServerId, ServerKey, ServerName, ServiceId};

/// The known servers, indexed by identifier, key, name and service. The servers of a service are sorted
/// by identifier, so that all routers iterate over them in the same order.
#[derive(Debug, Default)]
pub struct ServerCatalog {
    by_id: HashMap<ServerId, Rc<BackendServer>>,
    by_key: HashMap<ServerKey, Rc<BackendServer>>,
    by_name: HashMap<ServerName, ServerId>,
    by_service: HashMap<ServiceId, BTreeMap<ServerId, Rc<BackendServer>>>,
    changes: u64,
}

impl ServerCatalog {
    /// Adds a server or replaces its entry, and returns the previous entry.
    pub fn upsert(&mut self, server: BackendServer) -> Option<Rc<BackendServer>> {
        let server = Rc::new(server);
        self.changes += 1;
        self.by_key.insert(ServerKey::from(&server.id), server.clone());
        self.by_name.insert(server.name.clone(), server.id.clone());
        let previous = self.by_id.insert(server.id.clone(), server.clone());
        if let Some(previous) = &previous {
            if previous.service != server.service {
                self.remove_from_service(previous);
            }
        }
        let service = self.by_service.entry(server.service.clone()).or_default();
        service.insert(server.id.clone(), server);
        previous
    }

    /// Removes a server and returns its entry.
    pub fn remove(&mut self, id: &ServerId) -> Option<Rc<BackendServer>> {
        let server = self.by_id.remove(id)?;
        self.changes += 1;
        self.by_key.remove(&ServerKey::from(id));
        if self.by_name.get(&server.name) == Some(id) {
            self.by_name.remove(&server.name);
        }
        self.remove_from_service(&server);
        Some(server)
    }

    /// Returns the server with this identifier.
    pub fn get(&self, id: &ServerId) -> Option<&Rc<BackendServer>> {
        self.by_id.get(id)
    }

    /// Returns the server that is listed under this name.
    pub fn named(&self, name: &ServerName) -> Option<&Rc<BackendServer>> {
        self.by_id.get(self.by_name.get(name)?)
    }

    /// Returns the server with this key.
    pub fn by_key(&self, key: ServerKey) -> Option<&Rc<BackendServer>> {
        self.by_key.get(&key)
    }

    /// Returns the servers of a service, sorted by identifier.
    pub fn of_service(&self, service: &ServiceId) -> impl Iterator<Item = &Rc<BackendServer>> {
        self.by_service.get(service).into_iter().flat_map(BTreeMap::values)
    }

    /// Returns all servers, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<BackendServer>> {
        self.by_id.values()
    }

    /// Returns the number of changes so far, which lets a reader detect whether the catalog has
    /// changed since its last read.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    fn remove_from_service(&mut self, server: &BackendServer) {
        if let Some(servers) = self.by_service.get_mut(&server.service) {
            servers.remove(&server.id);
            if servers.is_empty() {
                self.by_service.remove(&server.service);
            }
        }
    }
}
