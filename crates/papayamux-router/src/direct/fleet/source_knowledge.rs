//! The state of the source as known by this router's own reads and by updates of routers that read
//! it.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::fleet_knowledge::{
    FollowerEntry, FollowerTable, ReceivedQuery, ReportVerdict, ReportedOffset, ReportedView,
    RoleSelector, RoleView, ServerChange, ServerChangeLog, ServerChangeSpan, ServerDigest,
    SourceReaders, SourceRole, SourceView, ViewInForce, ViewOrigin,
};
use papayamux_coordination::freshness_confirmation::FreshnessQuery;
use papayamux_protocol::fleet_update::{FleetUpdate, FollowRequest, ServerUpdate, UpdateSpan};
use papayamux_state::boot_time::BootInstant;
use papayamux_state::evacuation::EvacuationOrder;
use papayamux_state::ids::ServerName;
use papayamux_state::service_config::ConfigVersion;
use papayamux_state::source::SourcePosition;
use papayamux_transport::boot_clock::boot_now;
use papayamux_transport::shutdown::ShutdownSignal;

use super::Fleet;

/// Maximum number of changes in one datagram: at up to 100 bytes each, they take less than 13 KB. A
/// follower that lacks more reads them from the source.
const MAX_CHANGES: usize = 128;
/// Maximum length of all names in one datagram, half of what it can hold. A follower that lacks more requests a
/// complete view.
const MAX_NAME_BYTES: usize = 32 * 1024;
/// The known state of the source, and the router's role in reading and relaying it.
pub(super) struct SourceKnowledge {
    view: Cell<SourceView>,
    journal: RefCell<ServerChangeLog>,
    role_selection: RefCell<RoleSelector>,
    followers: RefCell<FollowerTable>,
    advanced: RefCell<ShutdownSignal>,
    differs_since: Cell<Option<Instant>>,
    /// The followed router, if it knows a later position but no longer has the changes up to it.
    refreshes_from: Cell<Option<IpAddr>>,
    hops: Cell<u32>,
}

impl SourceKnowledge {
    /// Creates the state of a router that knows nothing yet. Without other routers it would read at
    /// the interval `alone`.
    pub(super) fn new(own: IpAddr, alone: Duration) -> Self {
        Self {
            view: Cell::default(),
            journal: RefCell::default(),
            role_selection: RefCell::new(RoleSelector::new(own, alone)),
            followers: RefCell::default(),
            advanced: RefCell::default(),
            differs_since: Cell::new(None),
            refreshes_from: Cell::new(None),
            hops: Cell::new(0),
        }
    }

    /// Returns the position and the digest of the journaled servers.
    pub(super) fn journaled(&self) -> Option<(SourcePosition, ServerDigest)> {
        let journal = self.journal.borrow();
        Some((journal.position()?, journal.digest()))
    }

    /// Records that changes up to this position may be missing from the journal.
    pub(super) fn record_gap(&self, position: SourcePosition) {
        self.journal.borrow_mut().record_gap(position);
        self.differs_since.set(None);
    }

    /// Records where the router has its first view from.
    pub(super) fn record_first_view(&self, origin: ViewOrigin, now: Instant) {
        self.role_selection.borrow_mut().record_first_view(origin, now);
    }

    /// Returns the number of routers that have sent the view on, including this one.
    pub(super) fn next_hops(&self) -> u32 {
        self.hops.get() + 1
    }
}

impl Fleet {
    /// Returns the position of the source after which changes have to be read; `None` if everything
    /// has to be read.
    pub(in crate::direct) fn source_position(&self) -> Option<SourcePosition> {
        self.knowledge.view.get().position()
    }

    /// Records that everything was read, up to this position.
    pub(in crate::direct) fn record_full_read(&self, at: SourcePosition) {
        self.knowledge.journal.borrow_mut().record_gap(at);
        self.discard_packed_view();
        self.change_view(|view| view.record_full_read(at));
        self.journal_known_servers();
    }

    /// Records a read of the changes up to `at`. Returns the position after which its changes of servers are to be
    /// applied.
    pub(in crate::direct) fn accept_changes(&self, at: SourcePosition) -> SourcePosition {
        self.change_view(|view| view.record_changes(at))
    }

    /// Records that everything has to be read again.
    pub(in crate::direct) fn forget_position(&self) {
        self.change_view(SourceView::forget);
    }

    pub(super) fn change_view<T>(&self, change: impl FnOnce(&mut SourceView) -> T) -> T {
        let mut view = self.knowledge.view.get();
        let result = change(&mut view);
        self.knowledge.view.set(view);
        result
    }

    /// Journals that a server's entry was removed, for the followers of this router.
    pub(super) fn journal_departure(&self, name: &ServerName) {
        self.knowledge.journal.borrow_mut().record_departure(name.clone());
    }

    /// Returns the newest known version of the configuration.
    pub(super) fn newest_version(&self) -> ConfigVersion {
        self.knowledge.view.get().newest(self.configuration_version())
    }

    /// Returns the router from which a complete view is to be requested, because it no longer has all
    /// changes since this router's position. Returns it only once.
    pub(in crate::direct) fn take_refresh_source(&self) -> Option<IpAddr> {
        self.knowledge.refreshes_from.take()
    }

    /// Returns whether changes are missing that the followed router no longer has, or everything.
    pub(in crate::direct) fn lacks_changes(&self) -> bool {
        self.knowledge.refreshes_from.get().is_some() || self.source_position().is_none()
    }

    /// Returns a version of the configuration announced by another router that is newer than the
    /// one in force.
    pub(in crate::direct) fn wanted_version(&self) -> Option<ConfigVersion> {
        self.knowledge.view.get().wanted(self.configuration_version())
    }

    /// Records that this router has read the source itself.
    pub(in crate::direct) fn record_own_read(&self) {
        self.knowledge.hops.set(0);
        self.notify_followers();
    }

    /// Returns the router's role: reader or follower of the source.
    pub(in crate::direct) fn source_role(&self) -> SourceRole {
        self.knowledge.role_selection.borrow().role()
    }

    /// Returns whether this router retries frequently while the source is unavailable.
    pub(in crate::direct) fn seeks_source(&self) -> bool {
        self.settings.readers == SourceReaders::All
            || self.knowledge.role_selection.borrow().seeks_source()
    }

    /// Chooses the role anew among the known routers.
    pub(in crate::direct) fn choose_source_role(&self, known: &[IpAddr], now: Instant) {
        if self.settings.readers == SourceReaders::All {
            return;
        }
        let view = RoleView {
            known,
            has_uncertain_read: !self.source_is_reachable() || self.awaits_renewals(),
            has_followers: !self.knowledge.followers.borrow_mut().current(now).is_empty(),
            is_up_to_date: self.is_up_to_date(),
        };
        if !self.knowledge.role_selection.borrow_mut().choose(view, now) {
            return;
        }
        let routers = known.len() + 1;
        match self.source_role() {
            SourceRole::Reader(pause) => {
                let pause_ms = pause.as_millis() as u64;
                log::info!(routers = routers, pause_ms = pause_ms; "reads the source for others");
                self.request_read();
            }
            SourceRole::Follower(followed) => {
                log::info!(routers = routers, followed:% = followed; "follows a router");
            }
        }
    }

    fn is_up_to_date(&self) -> bool {
        self.servers_age().is_some_and(|age| age < self.settings.read_bounds().interval())
    }

    /// Returns the routers that are asked for updates.
    pub(in crate::direct) fn asked_routers(&self) -> Vec<IpAddr> {
        self.knowledge.role_selection.borrow().asked().collect()
    }

    /// Returns the request for updates; `None` if everything has to be read first.
    pub(in crate::direct) fn follow_request(&self, life: u64) -> Option<FollowRequest> {
        let position = self.source_position()?;
        let asked_ms = u64::try_from(boot_now().0.as_millis()).ok()?;
        Some(FollowRequest { life, asked_ms, position })
    }

    /// Records that `router` follows this one; returns the update to send to it at once.
    pub(in crate::direct) fn record_follower(
        &self,
        router: IpAddr,
        request: FollowRequest,
        now: Instant,
    ) -> Option<FleetUpdate> {
        let sent_at = BootInstant(Duration::from_millis(request.asked_ms));
        let query = FreshnessQuery { incarnation: request.life, sent_at };
        let query = ReceivedQuery { query, received: boot_now() };
        let mut followers = self.knowledge.followers.borrow_mut();
        if !followers.record(router, query, request.position, now) {
            return None;
        }
        let entry = followers.current(now).into_iter().find(|(follower, _)| *follower == router);
        self.update_for(&entry?.1)
    }

    /// Waits until something is newer; returns the updates with their recipients.
    pub(in crate::direct) async fn next_updates(&self) -> Vec<(IpAddr, FleetUpdate)> {
        let advanced = self.knowledge.advanced.borrow().clone();
        advanced.triggered().await;
        let followers = self.knowledge.followers.borrow_mut().current(Instant::now());
        let update = followers.iter();
        update.filter_map(|(router, entry)| Some((*router, self.update_for(entry)?))).collect()
    }

    /// Applies an update of `sender` about the source.
    pub(in crate::direct) fn receive_update(&self, sender: IpAddr, life: u64, update: FleetUpdate) {
        let now = boot_now();
        let query = FreshnessQuery {
            incarnation: update.life,
            sent_at: BootInstant(Duration::from_millis(update.asked_ms)),
        };
        if query.incarnation != life || query.sent_at > now {
            return;
        }
        let Some(known) = ReportedOffset(update.shift_ms).on_querier_clock(query, now) else {
            return;
        };
        let steady = Instant::now();
        let grace = Duration::from_millis(u64::from(update.grace_ms));
        let max_silence = self.settings.read_bounds().interval();
        if !self.presence.borrow().may_adopt(grace, max_silence, steady) {
            log::debug!(peer:% = sender, grace_ms = update.grace_ms; "update from a router in doubt");
            return;
        }
        if !grace.is_zero() && self.awaits_renewals() {
            self.knowledge.role_selection.borrow_mut().record_doubtful(sender, steady);
        }
        if let Some(is_readable) = update.configuration_readable {
            self.record_readability(update.position, is_readable);
        }
        let span = update.span.filter(|span| span.is_complete || self.leads_to_digest(span));
        let stated = ReportedView {
            position: update.position,
            after: span.as_ref().map(|span| span.behind),
            version: ConfigVersion(update.version),
            known,
        };
        let version = self.configuration_version();
        let in_force = ViewInForce { version, confirmed: self.confirmed_since() };
        let is_restored = self.precedes_era_of(stated.position);
        let verdict = self.change_view(|view| view.evaluate_report(stated, in_force));
        if let Some(span) = span.filter(|_| verdict.takes_servers) {
            if !span.is_complete {
                self.knowledge.record_gap(stated.position);
                self.discard_packed_view();
            }
            if !grace.is_zero() {
                log::info!(
                    peer:% = sender, position:% = stated.position, grace_ms = update.grace_ms;
                    "servers of a router in grace adopted"
                );
            }
            self.replace_evacuations(span.evacuations.clone(), is_restored, steady);
            self.apply_span(span, grace, steady);
        } else if self.source_position().is_some_and(|own| own < stated.position) {
            self.knowledge.refreshes_from.set(Some(sender));
        }
        self.apply_verdict(sender, verdict, known, update.hops, steady);
    }

    /// Applies the parts of a verdict that don't concern servers.
    pub(super) fn apply_verdict(
        &self,
        sender: IpAddr,
        verdict: ReportVerdict,
        known: BootInstant,
        hops: u32,
        steady: Instant,
    ) {
        if verdict.progresses {
            self.knowledge.role_selection.borrow_mut().record_newer(sender, steady);
        }
        let age = boot_now().since(known);
        if self.knowledge.role_selection.borrow_mut().record_candidate(sender, age, steady) {
            log::info!(followed:% = sender; "follows a router");
        }
        if verdict.needs_read {
            self.announce_newer_state();
        }
        if verdict.confirms {
            self.knowledge.hops.set(hops);
            self.metrics.update_age.observe(boot_now().since(known).as_secs_f64());
            self.metrics.update_hops.observe(f64::from(hops));
            self.record_list_contact(false, steady);
            self.record_confirmation(known);
        }
        if verdict.progresses {
            self.notify_followers();
        }
    }

    /// Returns whether possibly incomplete changes lead to the servers that the sender knows to be listed.
    fn leads_to_digest(&self, span: &UpdateSpan) -> bool {
        let changes: Vec<_> = span.changes.iter().map(server_change).collect();
        let digest = self.knowledge.journal.borrow().digest_after(&changes);
        digest == ServerDigest(span.digest)
    }

    /// Returns whether the source was restored from a copy between this router's position and `position`.
    pub(super) fn precedes_era_of(&self, position: SourcePosition) -> bool {
        self.source_position().is_some_and(|own| own.era < position.era)
    }

    /// Applies server changes, and the time for which expired entries may still be renewed.
    fn apply_span(&self, span: UpdateSpan, grace: Duration, now: Instant) {
        for change in span.changes {
            match change {
                ServerUpdate::Present(server) => self.adopt_server(server, now),
                ServerUpdate::Expired(server) => self.adopt_expiry(&server, grace, now),
                ServerUpdate::Departed { name, terminating } => {
                    self.adopt_departure(&name, terminating, now)
                }
            }
        }
        self.adopt_grace(grace, now);
        self.journal_known_servers();
        self.compare_known_servers(ServerDigest(span.digest), now);
    }

    /// Reads everything again if the known servers differ from those of the followed router for as
    /// long as this router's own read interval. A departure that was missed then takes effect as
    /// soon as without other routers. No cause of such a difference is known; the check limits the
    /// effect of a fault in either router.
    fn compare_known_servers(&self, reported: ServerDigest, now: Instant) {
        if self.knowledge.journal.borrow().digest() == reported {
            self.knowledge.differs_since.set(None);
            return;
        }
        let since = self.knowledge.differs_since.get().unwrap_or(now);
        self.knowledge.differs_since.set(Some(since));
        if now.saturating_duration_since(since) >= self.settings.read_bounds().interval() {
            log::warn!("servers differ from those of the router that is followed, reading all");
            self.knowledge.differs_since.set(None);
            self.forget_position();
            self.request_read();
        }
    }

    /// Journals the known servers, for the followers of this router.
    pub(in crate::direct) fn journal_known_servers(&self) {
        let Some(position) = self.source_position() else { return };
        let (presence, departures) = (self.presence.borrow(), self.departures.borrow());
        let mut journal = self.knowledge.journal.borrow_mut();
        journal.record(&presence, position, |server| departures.is_terminating(server));
    }

    fn notify_followers(&self) {
        self.knowledge.advanced.take().trigger();
    }

    fn update_for(&self, entry: &FollowerEntry) -> Option<FleetUpdate> {
        let known = self.confirmed_since()?;
        let journal = self.knowledge.journal.borrow();
        let position = journal.position()?;
        let complete = journal.since(entry.position);
        let is_complete = complete.is_some();
        let span = complete.or_else(|| journal.known_since(entry.position));
        let query = entry.query.query;
        let grace = self.presence.borrow().grace_left(Instant::now());
        Some(FleetUpdate {
            life: query.incarnation,
            asked_ms: u64::try_from(query.sent_at.0.as_millis()).ok()?,
            shift_ms: entry.query.offset_to(known).0,
            position,
            version: self.knowledge.view.get().newest(self.configuration_version()).0,
            configuration_readable: Some(self.configuration_is_readable()),
            hops: self.knowledge.hops.get() + 1,
            grace_ms: u32::try_from(grace.as_millis()).unwrap_or(u32::MAX),
            span: span
                .filter(|span| span.changes.len() <= MAX_CHANGES)
                .map(|span| update_span(span, is_complete, self.evacuation_orders()))
                .filter(|span| span.name_bytes() <= MAX_NAME_BYTES),
        })
    }
}

fn update_span(
    span: ServerChangeSpan,
    is_complete: bool,
    evacuations: Vec<EvacuationOrder>,
) -> UpdateSpan {
    let changes = span.changes.into_iter().map(|change| match change {
        ServerChange::Present(server) => ServerUpdate::Present((*server).clone()),
        ServerChange::Expired(server) => ServerUpdate::Expired((*server).clone()),
        ServerChange::Departed { name, terminating } => {
            ServerUpdate::Departed { name, terminating }
        }
    });
    UpdateSpan {
        behind: span.after,
        changes: changes.collect(),
        is_complete,
        digest: span.digest.0,
        evacuations,
    }
}

fn server_change(update: &ServerUpdate) -> ServerChange {
    match update {
        ServerUpdate::Present(server) => ServerChange::Present(Rc::new(server.clone())),
        ServerUpdate::Expired(server) => ServerChange::Expired(Rc::new(server.clone())),
        ServerUpdate::Departed { name, terminating } => {
            ServerChange::Departed { name: name.clone(), terminating: *terminating }
        }
    }
}
