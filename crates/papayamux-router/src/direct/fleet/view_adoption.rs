//! The complete view of the source that routers hand to one another.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_coordination::fleet_knowledge::{
    ReceivedQuery, ReportedOffset, ReportedView, ViewInForce, ViewOrigin,
};
use papayamux_coordination::freshness_confirmation::FreshnessQuery;
use papayamux_protocol::fleet_update::{FleetUpdate, ServerUpdate, UpdateSpan};
use papayamux_protocol::fleet_view::{FleetView, PackedView, TimedView, ViewRequest};
use papayamux_state::backend::BackendServer;
use papayamux_state::boot_time::BootInstant;
use papayamux_state::service_config::ConfigVersion;
use papayamux_state::source::SourcePosition;
use papayamux_transport::boot_clock::boot_now;
use papayamux_transport::shutdown::ShutdownSignal;

use super::Fleet;

/// Duration for which a packed view is handed on. A requester receives what has changed since as updates.
const PACKED_VIEW_TTL: Duration = Duration::from_millis(300);

/// A view that is ready to be sent, and the time at which it was known to be current.
struct ReadyView {
    view: PackedView,
    /// Position and configuration version of the view; unknown if it is handed on as it was received.
    contents: Option<(SourcePosition, ConfigVersion)>,
    known: BootInstant,
    packed_at: Instant,
}

/// What a router needs to hand its view to others.
#[derive(Default)]
pub(super) struct ViewHandover {
    ready: RefCell<Option<ReadyView>>,
    /// Triggered once the router has a view to hand on.
    obtained: ShutdownSignal,
    /// `true` once the router has applied a view.
    is_applied: Cell<bool>,
}

impl Fleet {
    /// Returns whether this router has a view of the source.
    pub(in crate::direct) fn has_view(&self) -> bool {
        self.handover.is_applied.get()
    }

    /// Hands on the first view as it was received. A fault in it shows to each router that unpacks it.
    pub(in crate::direct) fn hand_on(&self, received: &TimedView) {
        let request = received.request;
        let sent_at = BootInstant(Duration::from_millis(request.asked_ms));
        let query = FreshnessQuery { incarnation: request.life, sent_at };
        let known = ReportedOffset(received.shift_ms).on_querier_clock(query, boot_now());
        let Some(known) = known.filter(|_| !self.has_view()) else { return };
        let view = received.view.clone();
        *self.handover.ready.borrow_mut() =
            Some(ReadyView { view, contents: None, known, packed_at: Instant::now() });
        self.handover.obtained.trigger();
    }

    /// Waits until this router has a view to hand on, with a configuration of at least `version`.
    pub(in crate::direct) async fn view_obtained(&self, version: ConfigVersion) {
        self.handover.obtained.clone().triggered().await;
        while self.configuration_version() < version {
            let applied = self.configuration_applied.borrow().clone();
            applied.triggered().await;
        }
    }

    /// Records where the router has its first view from.
    pub(in crate::direct) fn record_first_view(&self, origin: ViewOrigin) {
        if !self.handover.is_applied.replace(true) {
            self.knowledge.record_first_view(origin, Instant::now());
            self.handover.obtained.trigger();
        }
    }

    /// Returns the packed view that a request asks for, with the time at which it was known to be current;
    /// `None` if this router doesn't know as much.
    pub(in crate::direct) fn packed_view(
        &self,
        request: ViewRequest,
        now: Instant,
    ) -> Option<(PackedView, BootInstant)> {
        let accepts_any = request.position == SourcePosition::default();
        let suffices = |contents: Option<(SourcePosition, ConfigVersion)>| match contents {
            Some((position, version)) => {
                (accepts_any || position > request.position) && version.0 >= request.version
            }
            None => accepts_any && request.version == 0,
        };
        let mut ready = self.handover.ready.borrow_mut();
        let is_usable = |ready: &ReadyView| {
            now.saturating_duration_since(ready.packed_at) < PACKED_VIEW_TTL
                && suffices(ready.contents)
        };
        if !ready.as_ref().is_some_and(is_usable) {
            let known = self.confirmed_since()?;
            let view = self.complete_view()?;
            let contents = Some((view.update.position, self.configuration_version()));
            if !suffices(contents) {
                return None;
            }
            let view = PackedView::pack(&view)
                .inspect_err(|error| log::error!(error:% = error; "packing the view failed"))
                .ok()?;
            *ready = Some(ReadyView { view, contents, known, packed_at: now });
        }
        ready.as_ref().map(|ready| (ready.view.clone(), ready.known))
    }

    /// Discards the packed view, which lacks what was just read.
    pub(super) fn discard_packed_view(&self) {
        self.handover.ready.take();
    }

    /// Returns the offset by which `known` is reported in the answer to a request.
    pub(in crate::direct) fn offset_of(
        &self,
        request: ViewRequest,
        received: BootInstant,
        known: BootInstant,
    ) -> i64 {
        let sent_at = BootInstant(Duration::from_millis(request.asked_ms));
        let query = FreshnessQuery { incarnation: request.life, sent_at };
        ReceivedQuery { query, received }.offset_to(known).0
    }

    fn complete_view(&self) -> Option<FleetView> {
        self.journal_known_servers();
        let (position, digest) = self.knowledge.journaled()?;
        let version = self.newest_version();
        let presence = self.presence.borrow();
        let servers = presence.catalog().iter();
        let changes = servers.map(|server| match presence.is_expired(&server.id) {
            true => ServerUpdate::Expired((**server).clone()),
            false => ServerUpdate::Present((**server).clone()),
        });
        let grace = presence.grace_left(Instant::now());
        let update = FleetUpdate {
            life: 0,
            asked_ms: 0,
            shift_ms: 0,
            position,
            version: version.0,
            configuration_readable: Some(self.configuration_is_readable()),
            hops: self.knowledge.next_hops(),
            grace_ms: u32::try_from(grace.as_millis()).unwrap_or(u32::MAX),
            span: Some(UpdateSpan {
                behind: SourcePosition::default(),
                changes: changes.collect(),
                is_complete: true,
                digest: digest.0,
                evacuations: self.evacuation_orders(),
            }),
        };
        let configuration = self.configuration().map(|known| (*known).clone());
        Some(FleetView { update, configuration })
    }

    /// Adopts the complete view of `sender` unless this router knows a later position. Returns whether it
    /// was adopted.
    pub(in crate::direct) fn adopt_view(&self, sender: IpAddr, view: FleetView) -> bool {
        let FleetView { update, configuration } = view;
        let now = boot_now();
        let query = FreshnessQuery {
            incarnation: update.life,
            sent_at: BootInstant(Duration::from_millis(update.asked_ms)),
        };
        let Some(known) = ReportedOffset(update.shift_ms).on_querier_clock(query, now) else {
            return false;
        };
        let Some(span) = update.span else { return false };
        if let Some(configuration) = configuration {
            self.apply_configuration(configuration);
        }
        if let Some(is_readable) = update.configuration_readable {
            self.record_readability(update.position, is_readable);
        }
        let position = update.position;
        let reported = ReportedView {
            position,
            after: Some(SourcePosition::default()),
            version: ConfigVersion(update.version),
            known,
        };
        let version = self.configuration_version();
        let in_force = ViewInForce { version, confirmed: self.confirmed_since() };
        let is_restored = self.precedes_era_of(position);
        let verdict = self.change_view(|view| view.evaluate_complete_view(reported, in_force));
        if !verdict.takes_servers {
            return false;
        }
        let steady = Instant::now();
        let grace = self.adoptable_grace(update.grace_ms, steady);
        self.replace_servers(span.changes, grace, steady);
        self.adopt_grace(grace, steady);
        self.replace_evacuations(span.evacuations, is_restored, steady);
        // Servers that came and went before the view are unknown here, and a follower may know them.
        self.knowledge.record_gap(position);
        self.journal_known_servers();
        self.apply_verdict(sender, verdict, known, update.hops, steady);
        true
    }

    /// Returns the time for which missing entries may be renewed, by a view whose sender waits for `reported_ms`.
    /// If this router had contact to the list, they have departed.
    fn adoptable_grace(&self, reported_ms: u32, now: Instant) -> Duration {
        let reported = Duration::from_millis(u64::from(reported_ms));
        let max_silence = self.settings.read_bounds().interval();
        match self.presence.borrow().may_adopt(reported, max_silence, now) {
            true => reported,
            false => Duration::ZERO,
        }
    }

    /// Replaces the known servers by those of a complete view.
    fn replace_servers(&self, updates: Vec<ServerUpdate>, grace: Duration, now: Instant) {
        let is_first = !self.has_view();
        let mut kept = HashSet::new();
        for update in updates {
            let (ServerUpdate::Present(server) | ServerUpdate::Expired(server)) = &update else {
                continue;
            };
            kept.insert(server.name.clone());
            // A router that has just started needs the servers whose entries expired before.
            let is_listed = matches!(update, ServerUpdate::Present(_));
            if (is_listed || is_first) && !self.is_known(server) {
                self.adopt_server(server.clone(), now);
            }
            if !is_listed {
                self.adopt_expiry(server, grace, now);
            }
        }
        let missing: Vec<_> = {
            let presence = self.presence.borrow();
            let names = presence.catalog().iter().map(|server| server.name.clone());
            names.filter(|name| !kept.contains(name)).collect()
        };
        missing.iter().for_each(|name| self.adopt_departure(name, false, now));
    }

    /// Returns whether this very entry is known to be listed.
    fn is_known(&self, server: &BackendServer) -> bool {
        let presence = self.presence.borrow();
        let known = presence.catalog().get(&server.id);
        known.is_some_and(|known| **known == *server && !presence.is_expired(&known.id))
    }
}
