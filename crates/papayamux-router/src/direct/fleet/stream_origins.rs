//! Where streams began, as this router knows or learns from others.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use papayamux_coordination::stream_origins::{OriginTable, VersionHistory, SEARCH_TIMEOUT};
use papayamux_protocol::origin_notices::OriginNotice;
use papayamux_state::backend::BackendServer;
use papayamux_state::ids::{ServiceId, SoftwareVersion};
use papayamux_state::stream_origin::{StreamKey, StreamOrigin};
use papayamux_transport::shutdown::ShutdownSignal;

use super::Fleet;

/// Maximum number of notices that wait to be sent. More are not sent, and counted.
const MAX_WAITING_NOTICES: usize = 8_192;
/// Time to wait until the known servers are confirmed, a few round trips to the source.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(100);

/// A request to search for the origin of a stream.
pub(in crate::direct) struct OriginInquiry {
    /// The stream.
    pub key: StreamKey,
    /// Receives the result; dropped if the search times out.
    pub reply: oneshot::Sender<Option<StreamOrigin>>,
}

/// Origins of streams, and messages about them that are to be sent.
pub(super) struct StreamOrigins {
    table: RefCell<OriginTable>,
    versions: RefCell<VersionHistory>,
    notices: RefCell<Vec<OriginNotice>>,
    notice_added: RefCell<ShutdownSignal>,
    inquiries: RefCell<Vec<OriginInquiry>>,
    inquiry_added: RefCell<ShutdownSignal>,
}

impl StreamOrigins {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            table: RefCell::default(),
            versions: RefCell::new(VersionHistory::new(now)),
            notices: RefCell::default(),
            notice_added: RefCell::default(),
            inquiries: RefCell::default(),
            inquiry_added: RefCell::default(),
        }
    }
}

impl Fleet {
    /// Records that a stream has begun at a server, and notifies the owners of its key.
    pub(in crate::direct) fn record_stream_begin(&self, key: StreamKey, server: &BackendServer) {
        let Some(version) = server.software.clone() else { return };
        let origin = StreamOrigin { service: server.service.clone(), version };
        self.origins.table.borrow_mut().record(key, &origin, Instant::now());
        let mut notices = self.origins.notices.borrow_mut();
        if notices.len() >= MAX_WAITING_NOTICES {
            self.metrics.stream_origins.count("notice_dropped");
            return;
        }
        notices.push(OriginNotice { key, origin });
        self.origins.notice_added.take().trigger();
    }

    /// Records the origins that another router reports.
    pub(in crate::direct) fn record_origin_notices(&self, notices: &[OriginNotice], now: Instant) {
        let mut table = self.origins.table.borrow_mut();
        notices.iter().for_each(|notice| table.record(notice.key, &notice.origin, now));
    }

    /// Returns the origin of a stream if this router knows it.
    pub(in crate::direct) fn known_origin(&self, key: StreamKey) -> Option<StreamOrigin> {
        self.origins.table.borrow().get(key)?.origin().cloned()
    }

    /// Returns the origin of a stream, known here or by an owner of its key. Waits for the owners'
    /// answers for at most `limit`.
    pub(in crate::direct) async fn find_origin(
        &self,
        key: StreamKey,
        limit: Duration,
    ) -> Option<StreamOrigin> {
        if let Some(known) = self.origins.table.borrow().get(key) {
            self.metrics.stream_origins.count(known.label());
            return known.origin().cloned();
        }
        let (reply, result) = oneshot::channel();
        self.origins.inquiries.borrow_mut().push(OriginInquiry { key, reply });
        self.origins.inquiry_added.take().trigger();
        let (origin, label) = match monoio::time::timeout(limit.min(SEARCH_TIMEOUT), result).await {
            Ok(Ok(Some(origin))) => (Some(origin), "found"),
            Ok(Ok(None)) => (None, "unknown"),
            Ok(Err(_)) | Err(_) => (None, "unanswered"),
        };
        self.metrics.stream_origins.count(label);
        origin
    }

    /// Returns the origin of a stream that no router knows, if the service has had a single version
    /// for the life of a stream. Has the known servers confirmed if that was before the request
    /// arrived.
    pub(in crate::direct) async fn certain_origin(
        &self,
        service: &ServiceId,
        arrived: Instant,
    ) -> Option<StreamOrigin> {
        self.certain_version(service)?;
        let is_confirmed = || self.servers_age().is_some_and(|age| age <= arrived.elapsed());
        if !is_confirmed() {
            self.refresh_configuration(CONFIRMATION_TIMEOUT).await;
        }
        let version = self.certain_version(service).filter(|_| is_confirmed())?;
        self.metrics.stream_origins.count("sole_version");
        Some(StreamOrigin { service: service.clone(), version })
    }

    fn certain_version(&self, service: &ServiceId) -> Option<SoftwareVersion> {
        self.origins.versions.borrow().certain_version(service, Instant::now()).cloned()
    }

    /// Returns the only version of a service that this router has known lately as an origin.
    pub(in crate::direct) fn sole_origin(&self, service: &ServiceId) -> Option<StreamOrigin> {
        let versions = self.origins.versions.borrow();
        let version = versions.sole_version(service)?.clone();
        Some(StreamOrigin { service: service.clone(), version })
    }

    /// Records the version of a server that has arrived.
    pub(super) fn record_version(&self, server: &BackendServer) {
        self.origins.versions.borrow_mut().record(server, Instant::now());
    }

    /// Removes outdated origins and versions.
    pub(super) fn update_origins(&self, now: Instant) {
        let presence = self.presence.borrow();
        let servers = presence.catalog().iter();
        self.origins.versions.borrow_mut().update(servers, self.servers_age(), now);
        let mut table = self.origins.table.borrow_mut();
        table.expire(now);
        let evicted = table.take_evicted();
        if evicted > 0 {
            self.metrics.stream_origins.count_many("evicted", evicted);
            log::warn!(evicted = evicted, kept = table.len(); "origins of streams evicted");
        }
    }

    /// Waits until there are notices to send.
    pub(in crate::direct) async fn wait_for_origin_notices(&self) {
        if self.origins.notices.borrow().is_empty() {
            let added = self.origins.notice_added.borrow().clone();
            added.triggered().await;
        }
    }

    /// Returns the notices to send.
    pub(in crate::direct) fn take_origin_notices(&self) -> Vec<OriginNotice> {
        self.origins.notices.take()
    }

    /// Waits until there are searches to start; returns all of them.
    pub(in crate::direct) async fn next_origin_inquiries(&self) -> Vec<OriginInquiry> {
        if self.origins.inquiries.borrow().is_empty() {
            let added = self.origins.inquiry_added.borrow().clone();
            added.triggered().await;
        }
        self.origins.inquiries.take()
    }
}
