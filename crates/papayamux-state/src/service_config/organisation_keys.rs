//! The API keys of organisations.

use std::collections::HashMap;
use std::rc::Rc;

use super::{ApiKey, HomeRegions};
use crate::ids::OrganisationId;

/// The organisation that holds a key, with its settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// The organisation's identifier.
    pub organisation: OrganisationId,
    /// The organisation's priority, which overrides the route's; 0 is the most urgent.
    pub priority: Option<u32>,
    /// The regions in which the organisation's requests may run.
    pub homes: HomeRegions,
}

/// All API keys of a configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OrganisationKeys {
    holders: HashMap<ApiKey, Rc<KeyHolder>>,
    /// `true` if there are organisations that can't be read, so that a key may belong to one of them.
    is_incomplete: bool,
}

impl OrganisationKeys {
    /// Adds the keys of an organisation.
    pub fn add(&mut self, holder: KeyHolder, keys: impl IntoIterator<Item = ApiKey>) {
        let holder = Rc::new(holder);
        self.holders.extend(keys.into_iter().map(|key| (key, holder.clone())));
    }

    /// Records that there are organisations that can't be read.
    pub fn mark_incomplete(&mut self) {
        self.is_incomplete = true;
    }

    /// Returns whether the keys of all organisations are known.
    pub fn is_complete(&self) -> bool {
        !self.is_incomplete
    }

    /// Returns all keys with their holders, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&ApiKey, &Rc<KeyHolder>)> {
        self.holders.iter()
    }

    /// Returns the holder of `key`.
    pub fn holder(&self, key: &ApiKey) -> Option<&Rc<KeyHolder>> {
        self.holders.get(key)
    }
}
