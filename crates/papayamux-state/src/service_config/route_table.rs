//! The table that finds the route of a request.

use std::collections::HashMap;
use std::rc::Rc;

use super::Route;

/// What a table knows of the route of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteLookup<'a> {
    /// The route.
    Found(&'a Rc<Route>),
    /// The request has a route that can't be read, or may have one.
    Unreadable,
    /// The request has no route.
    Unknown,
}

/// Routes, indexed by host and path prefix. Those that can't be read keep their place, so that no other route
/// gets their requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// The routes by host and prefix; `None` for a route that can't be read.
    hosts: HashMap<String, HashMap<String, Option<Rc<Route>>>>,
    routes: usize,
    /// `true` if there are routes of which not even the place can be read.
    is_incomplete: bool,
}

impl RouteTable {
    /// Adds a route for `host`, which is case-insensitive, and paths that start with `prefix`, which
    /// must end with a slash.
    pub fn add(&mut self, host: &str, prefix: &str, route: Rc<Route>) {
        self.insert(host, prefix, Some(route));
        self.routes += 1;
    }

    /// Adds the place of a route that can't be read.
    pub fn add_unreadable(&mut self, host: &str, prefix: &str) {
        self.insert(host, prefix, None);
    }

    /// Records that there are routes of which not even the place can be read.
    pub fn mark_incomplete(&mut self) {
        self.is_incomplete = true;
    }

    /// Returns whether the places of all routes are known.
    pub fn is_complete(&self) -> bool {
        !self.is_incomplete
    }

    fn insert(&mut self, host: &str, prefix: &str, route: Option<Rc<Route>>) {
        let prefixes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        prefixes.insert(prefix.to_string(), route);
    }

    /// Looks up the route of `host` with the longest prefix of `path`. A port in `host` is ignored.
    pub fn lookup(&self, host: &str, path: &str) -> RouteLookup<'_> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.hosts.get(name);
        let prefixes = prefixes.or_else(|| self.hosts.get(&name.to_ascii_lowercase()));
        let places = path.rmatch_indices('/').map(|(index, _)| &path[..=index]);
        let found =
            prefixes.and_then(|prefixes| places.filter_map(|place| prefixes.get(place)).next());
        match found {
            Some(Some(route)) => RouteLookup::Found(route),
            Some(None) => RouteLookup::Unreadable,
            None if self.is_incomplete => RouteLookup::Unreadable,
            None => RouteLookup::Unknown,
        }
    }

    /// Returns the route that [`Self::lookup`] finds.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        match self.lookup(host, path) {
            RouteLookup::Found(route) => Some(route),
            RouteLookup::Unreadable | RouteLookup::Unknown => None,
        }
    }

    /// Returns all routes, each with its host and path prefix, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str, &Rc<Route>)> {
        self.places().filter_map(|(host, prefix, route)| Some((host, prefix, route?)))
    }

    /// Returns the hosts and path prefixes of the routes that can't be read, in no particular order.
    pub fn unreadable(&self) -> impl Iterator<Item = (&str, &str)> {
        let places = self.places().filter(|(_, _, route)| route.is_none());
        places.map(|(host, prefix, _)| (host, prefix))
    }

    fn places(&self) -> impl Iterator<Item = (&str, &str, Option<&Rc<Route>>)> {
        self.hosts.iter().flat_map(|(host, prefixes)| {
            let routes = prefixes.iter();
            routes.map(move |(prefix, route)| (host.as_str(), prefix.as_str(), route.as_ref()))
        })
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes == 0
    }
}
