//! The configuration in force and its freshness.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use papayamux_coordination::freshness_confirmation::{
    confirmed_until, should_query, FreshnessQuery, FreshnessReport,
};
use papayamux_coordination::mechanism::Mechanism;
use papayamux_state::boot_time::BootInstant;
use papayamux_state::service_config::{ConfigVersion, ConfigurationSnapshot};
use papayamux_state::source::{ConfigurationFault, ListedConfiguration, SourcePosition};
use papayamux_transport::boot_clock::boot_now;

use super::Fleet;

impl Fleet {
    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Rc<ConfigurationSnapshot>> {
        self.configuration.borrow().clone()
    }

    /// Returns the version in force, 0 if there is none.
    pub fn configuration_version(&self) -> ConfigVersion {
        self.configuration.borrow().as_ref().map(|known| known.version).unwrap_or_default()
    }

    /// Puts a configuration in force unless it is older than the one in force.
    pub fn apply_configuration(&self, snapshot: ConfigurationSnapshot) {
        let mut configuration = self.configuration.borrow_mut();
        let known = configuration.as_ref().map(|known| known.version);
        if known.is_some_and(|known| known >= snapshot.version) {
            return;
        }
        log::info!(
            version:% = snapshot.version, routes = snapshot.routes.len(),
            services = snapshot.services.len(), unreadable = snapshot.unreadable_parts;
            "configuration in force"
        );
        self.metrics.unreadable_parts.set(i64::from(snapshot.unreadable_parts));
        *configuration = Some(Rc::new(snapshot));
        drop(configuration);
        self.configuration_applied.take().trigger();
    }

    /// Puts a configuration that was read from the source in force, or records that the newest one can't be
    /// read.
    pub fn record_configuration(&self, listed: ListedConfiguration) {
        let ListedConfiguration { position, contents } = listed;
        self.record_readability(position, contents.is_ok());
        match contents {
            Ok(snapshot) => self.apply_configuration(snapshot),
            Err(fault) => {
                self.metrics.configuration_faults.inc();
                log::error!(
                    position:% = position, cause:% = fault,
                    in_force:% = self.configuration_version(); "the configuration can't be read"
                );
            }
        }
    }

    /// Records that the source lists no configuration at `position`.
    pub(in crate::direct) fn record_missing_configuration(&self, position: SourcePosition) {
        if self.configuration().is_some() {
            let contents = Err(ConfigurationFault("the source lists none".to_string()));
            self.record_configuration(ListedConfiguration { position, contents });
        }
    }

    /// Records whether the newest configuration at `position` can be read, as this router or another one
    /// found.
    pub(super) fn record_readability(&self, position: SourcePosition, is_readable: bool) {
        let mut readability = self.readability.get();
        let is_changed = readability.record(position, is_readable);
        self.readability.set(readability);
        if !is_changed {
            return;
        }
        self.metrics.unreadable_configuration.set(i64::from(!is_readable));
        let in_force = self.configuration_version();
        match is_readable {
            true => log::info!(position:% = position; "the newest configuration can be read again"),
            false => log::error!(
                position:% = position, in_force:% = in_force;
                "the newest configuration is unknown, keys will be refused"
            ),
        }
    }

    /// Returns whether the newest known configuration could be read. Otherwise an older one is in force, and
    /// nothing confirms it.
    pub(in crate::direct) fn configuration_is_readable(&self) -> bool {
        self.readability.get().is_readable()
    }

    /// Records that a read sent at `sent` returned the newest state.
    pub fn confirm_configuration(&self, sent: BootInstant) {
        self.source_lost.set(false);
        self.record_confirmation(sent);
    }

    /// Records that servers, and a configuration that can be read, were the newest at `known`.
    pub(super) fn record_confirmation(&self, known: BootInstant) {
        self.view_confirmed.set(self.view_confirmed.get().max(Some(known)));
        if !self.configuration_is_readable() {
            return;
        }
        self.freshness.borrow_mut().confirm(known);
        self.confirmed_by_peers.set(false);
        self.confirmed.take().trigger();
    }

    /// Returns when the view of the source was last known to be the newest, by a read of this router or of
    /// the one it follows.
    pub(super) fn confirmed_since(&self) -> Option<BootInstant> {
        self.view_confirmed.get()
    }

    /// Records that a read was not answered.
    pub(in crate::direct) fn record_source_lost(&self) {
        self.source_lost.set(true);
    }

    /// Returns whether the last read was answered.
    pub(in crate::direct) fn source_is_reachable(&self) -> bool {
        !self.source_lost.get()
    }

    /// Returns whether the configuration may be confirmed at once.
    pub(in crate::direct) fn may_be_confirmed(&self) -> bool {
        self.source_is_reachable() && self.configuration_is_readable()
    }

    /// Returns whether other routers should be queried if the configuration is still the newest.
    pub(in crate::direct) fn needs_freshness_confirmation(&self) -> bool {
        let freshness = self.freshness.borrow();
        self.uses(Mechanism::PeerVouching)
            && self.configuration_is_readable()
            && should_query(freshness.age(boot_now()), freshness.max_age())
    }

    /// Returns the version and age of the configuration, for other routers that query its
    /// freshness.
    pub(in crate::direct) fn freshness_report(&self) -> Option<FreshnessReport> {
        let version = self.configuration()?.version;
        Some(FreshnessReport { version, age: self.configuration_age()? })
    }

    /// Applies the freshness confirmation with which `peer` answers a query of this router. `life`
    /// is the current incarnation; answers to earlier ones are ignored.
    pub(in crate::direct) fn receive_freshness_report(
        &self,
        peer: IpAddr,
        life: u64,
        query: FreshnessQuery,
        freshness_report: FreshnessReport,
    ) {
        let now = boot_now();
        let own = (life, self.configuration_version());
        let Some(known) = confirmed_until(query, own, freshness_report, now) else { return };
        let mut freshness = self.freshness.borrow_mut();
        freshness.confirm_by_peer(known);
        if !freshness.is_confirmed(now) && !self.confirmed_by_peers.replace(true) {
            log::info!(
                peer:% = peer, configuration:% = freshness_report.version,
                age_ms = now.since(known).as_millis() as u64; "configuration is vouched for"
            );
        }
        self.confirmed.take().trigger();
    }

    /// Returns whether API keys may be accepted by the reads of this router or of the one it
    /// follows, without freshness confirmations of other routers. The list of servers has the same
    /// age.
    pub fn keys_are_confirmed(&self) -> bool {
        self.freshness.borrow().is_confirmed(boot_now())
    }

    /// Returns whether API keys may be accepted.
    pub fn keys_are_fresh(&self) -> bool {
        self.freshness.borrow().is_fresh(boot_now())
    }

    /// Returns the age of the list of servers, by reads of this router or of the one it follows.
    pub fn servers_age(&self) -> Option<Duration> {
        self.confirmed_since().map(|known| boot_now().since(known))
    }

    /// Returns the time since the last confirmation of the configuration.
    pub fn configuration_age(&self) -> Option<Duration> {
        self.freshness.borrow().age(boot_now())
    }

    /// Requests a confirmation at once and waits for it, up to `limit`.
    pub async fn refresh_configuration(&self, limit: Duration) {
        let confirmed = self.confirmed.borrow().clone();
        self.request_read();
        // Without a confirmation the request is refused later, so the timeout needs no handling.
        let _ = monoio::time::timeout(limit, confirmed.triggered()).await;
    }

    /// Requests an immediate read of the source.
    pub(super) fn request_read(&self) {
        self.needs_own_read.set(true);
        self.read_request.take().trigger();
    }

    /// Announces that another router knows newer state. The source is only read if that router doesn't hand
    /// it on.
    pub(super) fn announce_newer_state(&self) {
        self.read_request.take().trigger();
    }

    /// Returns whether an immediate read of the source was requested since the last call.
    pub(in crate::direct) fn take_read_request(&self) -> bool {
        self.needs_own_read.take()
    }

    /// Waits until a read of the source is requested.
    pub async fn read_requested(&self) {
        let read_request = self.read_request.borrow().clone();
        read_request.triggered().await;
    }
}
