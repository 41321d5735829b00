//! The configuration in force, and how recent it is known to be.

use std::rc::Rc;
use std::time::Duration;

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
        self.freshness.borrow_mut().confirm(sent);
        self.confirmed.take().give();
    }

    /// Whether API keys may be accepted.
    pub fn keys_are_fresh(&self) -> bool {
        self.freshness.borrow().is_fresh(boot_now())
    }

    /// How old the last confirmation of the configuration is.
    pub fn configuration_age(&self) -> Option<Duration> {
        self.freshness.borrow().age(boot_now())
    }

    /// Asks for a confirmation at once and waits for one, up to `limit`.
    pub async fn refresh_configuration(&self, limit: Duration) {
        let confirmed = self.confirmed.borrow().clone();
        self.poke.take().give();
        // A refusal follows where no confirmation came, so that the timeout needs no handling.
        let _ = monoio::time::timeout(limit, confirmed.given()).await;
    }

    /// Waits until somebody asks for a confirmation.
    pub async fn poked(&self) {
        let poke = self.poke.borrow().clone();
        poke.given().await;
    }
}
