//! Whether a request may run: its route, its key, and how recent what is known of them is.

use std::rc::Rc;
use std::time::Duration;

use papayamux_state::service_config::{ConfigurationSnapshot, KeyHolder, Route};

use super::{CallFailure, CallHead, Fleet, NotRunReason};

/// How long a request waits for the configuration to be confirmed, as after a pause of the process:
/// several answers of the source, and less than an eighth of the shortest objectives of model requests.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(60);
/// When a caller may come back whose key could not be confirmed: at another router, at once.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(200);
/// When a caller may come back while a router has no configuration yet.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A request that may be run, with what it may use.
pub(super) struct AdmittedCall {
    pub(super) route: Rc<Route>,
    pub(super) holder: Option<Rc<KeyHolder>>,
    pub(super) max_body_bytes: u64,
}

impl Fleet {
    /// Finds the route, and whose key it is.
    pub(super) async fn admit(&self, call: &CallHead) -> Result<AdmittedCall, CallFailure> {
        match self.look_up(call) {
            Ok((admitted, needs_key)) if !needs_key || self.keys_are_fresh() => {
                return Ok(admitted);
            }
            Err(failure) if self.is_conclusive(&failure) => return Err(failure),
            // A source that is known to be away is not pressed, and nobody waits for it.
            _ if self.source_is_reachable() => self.refresh_configuration(CONFIRM_TIMEOUT).await,
            _ => {}
        }
        let stale = CallFailure::NotRun {
            reason: NotRunReason::StaleConfiguration,
            retry_after: Some(STALE_RETRY_AFTER),
        };
        match self.look_up(call) {
            Ok((admitted, needs_key)) if !needs_key || self.keys_are_fresh() => Ok(admitted),
            Err(failure) if self.is_conclusive(&failure) => Err(failure),
            _ => Err(stale),
        }
    }

    /// Whether a refusal rests on a configuration that is recent enough.
    fn is_conclusive(&self, failure: &CallFailure) -> bool {
        match failure {
            CallFailure::UnknownRoute | CallFailure::UnknownKey => {
                let longest = self.settings().negative_age();
                self.configuration_age().is_some_and(|age| age < longest)
            }
            _ => true,
        }
    }

    /// The route and the key's holder by the configuration in force, and whether the key had to
    /// be known.
    fn look_up(&self, call: &CallHead) -> Result<(AdmittedCall, bool), CallFailure> {
        let Some(configuration) = self.configuration() else {
            return Err(CallFailure::NotRun {
                reason: NotRunReason::NoConfiguration,
                retry_after: Some(UNCONFIGURED_RETRY_AFTER),
            });
        };
        let route = configuration.routes.find(&call.host, call.target.path());
        let route = route.ok_or(CallFailure::UnknownRoute)?.clone();
        let needs_key = configuration.organisations.is_some() && !route.anonymous;
        // Where no key is needed, one that may have been taken away since names nobody.
        let may_be_named = needs_key || self.keys_are_fresh();
        let holder = key_holder(&configuration, call).filter(|_| may_be_named);
        if needs_key && holder.is_none() {
            return Err(CallFailure::UnknownKey);
        }
        let max_body_bytes = configuration.limits.body_bytes.get();
        Ok((AdmittedCall { route, holder, max_body_bytes }, needs_key))
    }
}

fn key_holder(configuration: &ConfigurationSnapshot, call: &CallHead) -> Option<Rc<KeyHolder>> {
    configuration.organisations.as_ref()?.holder(call.key.as_ref()?).cloned()
}
