//! Reading of the platform's list of instances, which is distributed like a file.
//!
//! The list has no revision, and readers may see it at different ages. A reader publishes its own
//! read when it has changed. The revision is the wall-clock time in milliseconds, or the one after
//! the stored revision if that is higher. A reader also publishes again if another list is stored
//! although its own read has not changed for `REPUBLISH_DELAY`.

use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_state::quantities::ByteCount;
use papayamux_transport::timer::TimerSubscription;
use rand::RngExt;

use super::service_client::{ServiceClient, ServiceError};
use crate::core::{SpreadCore, VersionSource};
use crate::files::FileVersion;
use crate::instances::{wall_clock_ms, INSTANCES_FILE};
use crate::rate_limit::RetryBackoff;

/// Mean interval at which a watcher reads the list.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Initial and maximum delay after failed calls.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(10));
/// Duration for which a read must be unchanged before it replaces another list.
const REPUBLISH_DELAY: Duration = Duration::from_secs(10);

struct InstanceReader {
    core: Rc<SpreadCore>,
    client: ServiceClient,
    last: Option<(String, Instant)>,
    next_call: Instant,
    backoff: RetryBackoff,
}

/// Reads the list while this process is a watcher, until the timer stops.
pub(crate) async fn read_instances(core: Rc<SpreadCore>, mut ticks: TimerSubscription) {
    let Some(address) = core.settings.instances else { return };
    let mut reader = InstanceReader {
        client: ServiceClient::new(address, core.metrics.clone()),
        last: None,
        next_call: Instant::now() + jittered(READ_INTERVAL),
        backoff: RetryBackoff::new(RETRY_DELAYS.0, RETRY_DELAYS.1),
        core,
    };
    while ticks.tick().await.is_some() {
        let watches = reader.core.metrics.watching.get() == 1;
        if watches && Instant::now() >= reader.next_call {
            reader.read().await;
        }
    }
}

fn jittered(period: Duration) -> Duration {
    period.mul_f64(rand::rng().random_range(0.75..1.25))
}

impl InstanceReader {
    async fn read(&mut self) {
        match self.client.instances().await {
            Ok(text) => {
                self.backoff.reset();
                self.next_call = Instant::now() + jittered(READ_INTERVAL);
                self.handle_list(text);
            }
            Err(error) => self.record_failure(&error),
        }
    }

    fn record_failure(&mut self, error: &ServiceError) {
        self.core.metrics.service_errors.count("instances");
        log::warn!(error:% = error; "reading the list of instances failed");
        self.next_call = Instant::now() + self.backoff.next_delay();
    }

    fn handle_list(&mut self, text: String) {
        let now = Instant::now();
        let unchanged_since = match &self.last {
            Some((last, unchanged_since)) if *last == text => Some(*unchanged_since),
            _ => None,
        };
        let is_stable = unchanged_since
            .is_some_and(|unchanged_since| now.duration_since(unchanged_since) >= REPUBLISH_DELAY);
        if unchanged_since.is_none() || is_stable {
            self.publish(&text);
        }
        self.last = Some((text, unchanged_since.unwrap_or(now)));
    }

    fn publish(&self, text: &str) {
        let held = self.core.store.borrow().newest(INSTANCES_FILE).cloned();
        if held.as_ref().is_some_and(|held| *held.text == text) {
            return;
        }
        let after_held = held.map_or(0, |held| held.key.revision.saturating_add(1));
        let revision = wall_clock_ms().max(after_held);
        let bytes = ByteCount::new(text.len() as u64);
        log::info!(revision = revision, bytes:% = bytes; "the list of instances has changed");
        let version = FileVersion::new(INSTANCES_FILE, revision, text.to_string());
        self.core.store_version(version, VersionSource::Service, None);
    }
}
