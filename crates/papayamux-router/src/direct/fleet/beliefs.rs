//! The configuration in force, and how recent it is known to be.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use papayamux_coordination::mechanism::Mechanism;
use papayamux_coordination::peer_vouching::{
    should_ask, vouched_until, VouchQuestion, VouchStatement,
};
use papayamux_state::boot_time::BootInstant;
use papayamux_state::service_config::{ConfigVersion, ConfigurationSnapshot};
use papayamux_transport::boot_clock::boot_now;

use super::Fleet;

impl Fleet {
    /// The configuration in force.
    pub fn configuration(&self) -> Option<Rc<ConfigurationSnapshot>> {
        self.configuration.borrow().clone()
    }

    /// The version in force, 0 where there is none.
    pub fn configuration_version(&self) -> ConfigVersion {
        self.configuration.borrow().as_ref().map(|known| known.version).unwrap_or_default()
    }

    /// Brings a configuration into force, unless it is older than the one in force.
    pub fn apply_configuration(&self, snapshot: ConfigurationSnapshot) {
        let mut configuration = self.configuration.borrow_mut();
        let known = configuration.as_ref().map(|known| known.version);
        if known.is_some_and(|known| known >= snapshot.version) {
            return;
        }
        log::info!(
            version:% = snapshot.version, routes = snapshot.routes.len(),
            services = snapshot.services.len(); "configuration in force"
        );
        *configuration = Some(Rc::new(snapshot));
    }

    /// Notes that a read sent at `sent` returned what was newest.
    pub fn confirm_configuration(&self, sent: BootInstant) {
        self.source_lost.set(false);
        self.note_confirmation(sent);
    }

    /// Notes that configuration and servers were known to be the newest at `known`.
    pub(super) fn note_confirmation(&self, known: BootInstant) {
        self.freshness.borrow_mut().confirm(known);
        self.vouched_for.set(false);
        self.confirmed.take().trigger();
    }

    /// When configuration and servers were known to be the newest, by a read of this router or of one
    /// that it follows.
    pub(super) fn confirmed_since(&self) -> Option<BootInstant> {
        self.freshness.borrow().confirmed()
    }

    /// Notes that a read brought no answer.
    pub(in crate::direct) fn note_source_lost(&self) {
        self.source_lost.set(true);
    }

    /// Whether a confirmation may come at once: the last read was answered.
    pub(in crate::direct) fn may_be_confirmed(&self) -> bool {
        !self.source_lost.get()
    }

    /// Whether other routers should be asked if the configuration is still the newest.
    pub(in crate::direct) fn needs_vouching(&self) -> bool {
        let freshness = self.freshness.borrow();
        self.uses(Mechanism::PeerVouching)
            && should_ask(freshness.age(boot_now()), freshness.longest_age())
    }

    /// What this router can tell others of the configuration.
    pub(in crate::direct) fn statement(&self) -> Option<VouchStatement> {
        let version = self.configuration()?.version;
        Some(VouchStatement { version, age: self.configuration_age()? })
    }

    /// Takes in what `peer` answers to a question of this router's present `life`.
    pub(in crate::direct) fn take_vouching(
        &self,
        peer: IpAddr,
        life: u64,
        question: VouchQuestion,
        statement: VouchStatement,
    ) {
        let now = boot_now();
        let own = (life, self.configuration_version());
        let Some(known) = vouched_until(question, own, statement, now) else { return };
        let mut freshness = self.freshness.borrow_mut();
        freshness.vouch(known);
        if !freshness.is_confirmed(now) && !self.vouched_for.replace(true) {
            log::info!(
                peer:% = peer, configuration:% = statement.version,
                age_ms = now.since(known).as_millis() as u64; "configuration is vouched for"
            );
        }
        self.confirmed.take().trigger();
    }

    /// Whether API keys may be accepted by what this router has read itself, without the word of
    /// others: its list of servers is as old.
    pub fn keys_are_confirmed(&self) -> bool {
        self.freshness.borrow().is_confirmed(boot_now())
    }

    /// Whether API keys may be accepted.
    pub fn keys_are_fresh(&self) -> bool {
        self.freshness.borrow().is_fresh(boot_now())
    }

    /// How old the list of servers is, by this router's own reads or by those of the one it follows.
    pub fn servers_age(&self) -> Option<Duration> {
        self.confirmed_since().map(|known| boot_now().since(known))
    }

    /// How old the last confirmation of the configuration is.
    pub fn configuration_age(&self) -> Option<Duration> {
        self.freshness.borrow().age(boot_now())
    }

    /// Asks for a confirmation at once and waits for one, up to `limit`.
    pub async fn refresh_configuration(&self, limit: Duration) {
        let confirmed = self.confirmed.borrow().clone();
        self.poke();
        // A refusal follows where no confirmation came, so that the timeout needs no handling.
        let _ = monoio::time::timeout(limit, confirmed.triggered()).await;
    }

    /// Asks for a read of the source at once.
    pub(super) fn poke(&self) {
        self.poke.take().trigger();
    }

    /// Waits until somebody asks for a confirmation.
    pub async fn poked(&self) {
        let poke = self.poke.borrow().clone();
        poke.triggered().await;
    }
}
