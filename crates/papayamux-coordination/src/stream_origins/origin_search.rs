//! A search for the origin of a stream among its owners.

use std::net::IpAddr;
use std::time::Duration;

use papayamux_state::stream_origin::StreamOrigin;

/// Interval at which a query is repeated to owners without an answer, a few round trips within a
/// region: a datagram may be lost.
pub const QUERY_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which a search ends without a result. Callers should be refused soon, and an owner
/// that is alive has been queried three times by then.
pub const SEARCH_TIMEOUT: Duration = Duration::from_millis(120);

/// The state of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SearchState {
    /// Some owners have not answered.
    Pending,
    /// An owner knows the origin.
    Found(StreamOrigin),
    /// No owner knows the origin.
    Unknown,
}

/// A search that queries some owners.
#[derive(Debug, Clone)]
pub struct OriginSearch {
    unanswered: Vec<IpAddr>,
}

impl OriginSearch {
    /// Starts a search among `owners`.
    pub fn new(owners: Vec<IpAddr>) -> Self {
        Self { unanswered: owners }
    }

    /// Returns the owners that have not answered.
    pub fn unanswered(&self) -> &[IpAddr] {
        &self.unanswered
    }

    /// Records the answer of an owner. One that knows the origin decides the search.
    pub fn record_answer(&mut self, owner: IpAddr, origin: Option<StreamOrigin>) -> SearchState {
        let Some(index) = self.unanswered.iter().position(|unanswered| *unanswered == owner) else {
            return SearchState::Pending;
        };
        self.unanswered.swap_remove(index);
        match origin {
            Some(origin) => SearchState::Found(origin),
            None if self.unanswered.is_empty() => SearchState::Unknown,
            None => SearchState::Pending,
        }
    }
}
