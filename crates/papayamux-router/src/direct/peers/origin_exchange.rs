//! Notifies owners of the origins of streams, and searches for origins among them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use papayamux_coordination::stream_origins::{
    notified_owners, queried_owners, OriginSearch, SearchState, QUERY_INTERVAL, SEARCH_TIMEOUT,
};
use papayamux_protocol::origin_notices::{OriginAnswer, OriginNotice, OriginQuery};
use papayamux_protocol::router_report::RouterReport;
use papayamux_state::stream_origin::StreamOrigin;

use super::PeerExchange;
use crate::direct::fleet::OriginInquiry;

/// Time for which notices are collected, so that owners get several in one datagram. A router that
/// ends takes the notices of that time with it.
const NOTICE_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of notices in one datagram.
const MAX_NOTICES_PER_REPORT: usize = 256;

/// The searches of this router.
#[derive(Default)]
pub(super) struct OriginExchange {
    last_number: Cell<u64>,
    searches: RefCell<HashMap<u64, OpenSearch>>,
}

struct OpenSearch {
    search: OriginSearch,
    reply: oneshot::Sender<Option<StreamOrigin>>,
}

impl PeerExchange {
    /// Sends notices of streams that have begun, indefinitely.
    pub(super) async fn notify_origin_owners(self: Rc<Self>) {
        loop {
            self.fleet.wait_for_origin_notices().await;
            monoio::time::sleep(NOTICE_DELAY).await;
            let others = self.peers.borrow().known();
            let mut by_owner: BTreeMap<IpAddr, Vec<OriginNotice>> = BTreeMap::new();
            for notice in self.fleet.take_origin_notices() {
                for owner in notified_owners(notice.key, &others) {
                    by_owner.entry(owner).or_default().push(notice.clone());
                }
            }
            for (owner, notices) in by_owner {
                for notices in notices.chunks(MAX_NOTICES_PER_REPORT) {
                    let origins = notices.to_vec();
                    let report = RouterReport { origins, ..RouterReport::default() };
                    self.send_partial(report, &[owner]).await;
                }
            }
        }
    }

    /// Starts the searches that requests ask for, indefinitely.
    pub(super) async fn search_origins(self: Rc<Self>) {
        loop {
            for inquiry in self.fleet.next_origin_inquiries().await {
                monoio::spawn(self.clone().search_origin(inquiry));
            }
        }
    }

    /// Queries the owners of a stream until one knows its origin, all have answered, or the search
    /// times out.
    async fn search_origin(self: Rc<Self>, inquiry: OriginInquiry) {
        let OriginInquiry { key, reply } = inquiry;
        let owners = queried_owners(key, &self.peers.borrow().known());
        if owners.is_empty() {
            // The request may be gone, and nothing else waits for the result.
            let _ = reply.send(None);
            return;
        }
        let number = self.origins.last_number.get() + 1;
        self.origins.last_number.set(number);
        let search = OriginSearch::new(owners);
        self.origins.searches.borrow_mut().insert(number, OpenSearch { search, reply });
        let started_at = Instant::now();
        while started_at.elapsed() < SEARCH_TIMEOUT {
            let unanswered = match self.origins.searches.borrow().get(&number) {
                Some(open) => open.search.unanswered().to_vec(),
                None => return,
            };
            let origin_query = Some(OriginQuery { number, key });
            let report = RouterReport { origin_query, ..RouterReport::default() };
            self.send_partial(report, &unanswered).await;
            monoio::time::sleep(QUERY_INTERVAL).await;
        }
        // Dropping the reply tells the request that the search has timed out.
        self.origins.searches.borrow_mut().remove(&number);
    }

    pub(super) fn answer_origin_query(self: &Rc<Self>, sender: IpAddr, query: OriginQuery) {
        let OriginQuery { number, key } = query;
        let origin = self.fleet.known_origin(key);
        let exchange = self.clone();
        monoio::spawn(async move {
            let origin_answer = Some(OriginAnswer { number, origin });
            let report = RouterReport { origin_answer, ..RouterReport::default() };
            exchange.send_partial(report, &[sender]).await;
        });
    }

    pub(super) fn receive_origin_answer(&self, sender: IpAddr, answer: OriginAnswer) {
        let mut searches = self.origins.searches.borrow_mut();
        let Some(open) = searches.get_mut(&answer.number) else { return };
        let result = match open.search.record_answer(sender, answer.origin) {
            SearchState::Pending => return,
            SearchState::Found(origin) => Some(origin),
            SearchState::Unknown => None,
        };
        if let Some(open) = searches.remove(&answer.number) {
            // The request may be gone, and nothing else waits for the result.
            let _ = open.reply.send(result);
        }
    }
}
