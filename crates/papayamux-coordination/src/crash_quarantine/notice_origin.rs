//! How far routers spread the crash records that they learn.

/// Number of routers that are notified at once of this router's own observations: all of a small
/// fleet.
const ORIGIN_FANOUT: usize = 16;
/// Number of routers that are notified at once of received records. Records reach a large fleet in
/// a few steps, and lost datagrams are made up for. Regular reports reach the remaining routers.
const RELAY_FANOUT: usize = 4;

/// The origin of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NoticeOrigin {
    /// The record was received from another router, which notifies others too.
    Received,
    /// This router has observed it.
    Observed,
}

impl NoticeOrigin {
    /// Returns the number of routers to which a record is sent.
    pub fn fanout(self) -> usize {
        match self {
            NoticeOrigin::Received => RELAY_FANOUT,
            NoticeOrigin::Observed => ORIGIN_FANOUT,
        }
    }
}
