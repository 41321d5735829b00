//! Admission of a request: looks up its route and API key in a configuration that is recent enough.

use std::rc::Rc;
use std::time::Duration;

use papayamux_state::service_config::{ConfigurationSnapshot, KeyHolder, Route, RouteLookup};

use super::{CallFailure, CallHead, Fleet, NotRunReason};

/// How long a request waits for a confirmation of the configuration, e.g. after a pause of the
/// process. The source answers several times within it, and it is less than an eighth of the
/// shortest objectives of model requests.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(60);
/// Retry delay for a caller whose key could not be confirmed: another router can serve it at once.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Retry delay for a caller whose request depends on what no router can read of the configuration.
const UNREADABLE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay for a caller while the router has no configuration yet.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A request that may run, with its route, key holder and body limit.
pub(super) struct AdmittedCall {
    pub(super) route: Rc<Route>,
    pub(super) holder: Option<Rc<KeyHolder>>,
    pub(super) max_body_bytes: u64,
}

impl Fleet {
    /// Finds the route of a request and the holder of its key.
    pub(super) async fn admit(&self, call: &CallHead) -> Result<AdmittedCall, CallFailure> {
        match self.look_up(call) {
            Ok((admitted, needs_key)) if !needs_key || self.keys_are_fresh() => {
                return Ok(admitted);
            }
            Err(failure) if self.is_conclusive(&failure) => return Err(failure),
            // Requests wait for no source that is known to be unreachable, nor for a configuration that
            // can't be read, and add no reads.
            _ if self.may_be_confirmed() => self.refresh_configuration(CONFIRM_TIMEOUT).await,
            _ => {}
        }
        match self.look_up(call) {
            Ok((admitted, needs_key)) if !needs_key || self.keys_are_fresh() => Ok(admitted),
            Err(failure) if self.is_conclusive(&failure) => Err(failure),
            _ => Err(self.unconfirmed()),
        }
    }

    /// Returns the failure of a request for which the configuration in force may not be the newest.
    fn unconfirmed(&self) -> CallFailure {
        match self.configuration_is_readable() {
            true => CallFailure::NotRun {
                reason: NotRunReason::StaleConfiguration,
                retry_after: Some(STALE_RETRY_AFTER),
            },
            false => unreadable(),
        }
    }

    /// Returns whether the configuration is recent enough to refuse a request by it.
    fn is_conclusive(&self, failure: &CallFailure) -> bool {
        match failure {
            CallFailure::UnknownRoute | CallFailure::UnknownKey
                if !self.configuration_is_readable() =>
            {
                false
            }
            CallFailure::UnknownRoute | CallFailure::UnknownKey => {
                let longest = self.settings().negative_age();
                self.configuration_age().is_some_and(|age| age < longest)
            }
            _ => true,
        }
    }

    /// Looks up the route and the key holder in the configuration in force. Returns also whether
    /// the request needs a known key.
    fn look_up(&self, call: &CallHead) -> Result<(AdmittedCall, bool), CallFailure> {
        let Some(configuration) = self.configuration() else {
            return Err(CallFailure::NotRun {
                reason: NotRunReason::NoConfiguration,
                retry_after: Some(UNCONFIGURED_RETRY_AFTER),
            });
        };
        let route = match configuration.routes.lookup(&call.host, call.target.path()) {
            RouteLookup::Found(route) => route.clone(),
            RouteLookup::Unreadable => return Err(unreadable()),
            RouteLookup::Unknown => return Err(CallFailure::UnknownRoute),
        };
        let needs_key = configuration.organisations.is_some() && !route.anonymous;
        // Where no key is needed, a key that may have been revoked in the meantime identifies no
        // holder.
        let may_be_named = needs_key || self.keys_are_fresh();
        let holder = key_holder(&configuration, call).filter(|_| may_be_named);
        if needs_key && holder.is_none() {
            // The key may belong to an organisation that can't be read.
            let may_be_held = call.key.is_some()
                && configuration.organisations.as_ref().is_some_and(|keys| !keys.is_complete());
            return Err(if may_be_held { unreadable() } else { CallFailure::UnknownKey });
        }
        let max_body_bytes = configuration.limits.body_bytes.get();
        Ok((AdmittedCall { route, holder, max_body_bytes }, needs_key))
    }
}

/// Returns the failure of a request that depends on what can't be read of the configuration.
fn unreadable() -> CallFailure {
    CallFailure::NotRun {
        reason: NotRunReason::UnreadableConfiguration,
        retry_after: Some(UNREADABLE_RETRY_AFTER),
    }
}

fn key_holder(configuration: &ConfigurationSnapshot, call: &CallHead) -> Option<Rc<KeyHolder>> {
    configuration.organisations.as_ref()?.holder(call.key.as_ref()?).cloned()
}
