//! Role and schedule of service reads.
//!
//! The watchers of a failure domain keep a watch call open. Every other process reads the service
//! directly once its latest known read is too old. All calls are rate-limited: even if every
//! process of the largest fleet reads directly, the sum stays below the service's capacity.

use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_protocol::platform::FileListing;
use papayamux_transport::timer::TimerSubscription;
use rand::seq::SliceRandom;
use rand::RngExt;

use super::service_client::{ServiceClient, ServiceError};
use crate::core::{SpreadCore, VersionSource};
use crate::files::{FileVersion, JoinOutcome};
use crate::rate_limit::{RetryBackoff, TokenBucket};

/// Calls per second of a process that doesn't watch; 1,020 such processes stay below 2,000.
const NON_WATCHER_RATE: f64 = 1.0;
/// Calls per second of a watcher.
const WATCHER_RATE: f64 = 8.0;
/// Burst allowance in calls.
const READ_BURST: f64 = 20.0;
/// Calls that a process may make immediately after its start.
const INITIAL_READS: f64 = 1.0;
/// Maximum random delay of the first call, which spreads the calls of processes that start
/// together.
const MAX_START_DELAY: Duration = Duration::from_secs(3);
/// Minimum uptime, with as many links as its fanout, after which a watcher gets the higher call
/// rate. Before that it may know too few processes to tell that it isn't a watcher.
const MIN_WATCHER_UPTIME: Duration = Duration::from_secs(10);
/// Initial and maximum delay between failed calls of a watcher.
const WATCHER_RETRY_DELAYS: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_secs(5));
/// Initial and maximum delay between failed calls of another process.
const NON_WATCHER_RETRY_DELAYS: (Duration, Duration) =
    (Duration::from_secs(2), Duration::from_secs(60));
/// Tolerated delay of a watch answer. If it takes longer, the read counts as of the start of the
/// call.
const WATCH_TOLERANCE: Duration = Duration::from_secs(1);

struct ServiceReader {
    core: Rc<SpreadCore>,
    client: ServiceClient,
    rate_limit: TokenBucket,
    started: Instant,
    next_call: Instant,
    watcher_backoff: RetryBackoff,
    non_watcher_backoff: RetryBackoff,
    /// Age of the latest known read above which this process reads directly.
    stale_after: Duration,
}

/// Reads the service in the role of this process, until the timer stops.
pub(crate) async fn read_service(core: Rc<SpreadCore>, mut ticks: TimerSubscription) {
    let mut reader = ServiceReader::new(core);
    loop {
        let watches = reader.choose_role();
        if Instant::now() >= reader.next_call {
            if watches {
                if reader.watch().await {
                    continue;
                }
            } else if reader.is_stale() {
                reader.read_directly().await;
            }
        }
        if ticks.tick().await.is_none() {
            return;
        }
    }
}

impl ServiceReader {
    fn new(core: Rc<SpreadCore>) -> Self {
        let now = Instant::now();
        let is_alone = core.settings.peers.is_empty();
        let tokens = if is_alone { READ_BURST } else { INITIAL_READS };
        let first = MAX_START_DELAY.mul_f64(rand::rng().random_range(0.0..1.0));
        let client = ServiceClient::new(core.settings.service, core.metrics.clone());
        let stale_after = core.settings.fresh_within.mul_f64(rand::rng().random_range(1.0..1.5));
        Self {
            client,
            rate_limit: TokenBucket::new(NON_WATCHER_RATE, READ_BURST, tokens, now),
            started: now,
            next_call: if is_alone { now } else { now + first },
            watcher_backoff: RetryBackoff::new(WATCHER_RETRY_DELAYS.0, WATCHER_RETRY_DELAYS.1),
            non_watcher_backoff: RetryBackoff::new(
                NON_WATCHER_RETRY_DELAYS.0,
                NON_WATCHER_RETRY_DELAYS.1,
            ),
            stale_after,
            core,
        }
    }

    /// Returns whether this process watches the service, and sets its call rate accordingly.
    fn choose_role(&self) -> bool {
        let now = Instant::now();
        let table = self.core.table.borrow();
        let watches = table.is_watcher(&self.core.domain, now);
        let is_connected = self.core.links.borrow().len() >= self.core.settings.fanout;
        let is_confirmed = now.duration_since(self.started) >= MIN_WATCHER_UPTIME && is_connected;
        let rate = if watches && is_confirmed { WATCHER_RATE } else { NON_WATCHER_RATE };
        self.rate_limit.set_rate(rate, READ_BURST, now);
        self.core.metrics.watching.set(i64::from(watches));
        watches
    }

    fn is_stale(&self) -> bool {
        self.core.age().is_none_or(|age| age > self.stale_after)
    }

    async fn wait_for_quota(&self) {
        self.rate_limit.take(1.0, 0.0).await;
    }

    /// Waits at the service for a change and reads what has changed. Returns `true` on success.
    async fn watch(&mut self) -> bool {
        let outcome = match self.core.reflected_revision() {
            Some(after) => self.watch_after(after).await,
            None => self.read_all().await,
        };
        self.record_outcome(outcome, true)
    }

    async fn read_directly(&mut self) {
        let outcome = self.read_all().await;
        self.record_outcome(outcome, false);
    }

    fn record_outcome(&mut self, outcome: Result<(), ServiceError>, watches: bool) -> bool {
        let backoff =
            if watches { &mut self.watcher_backoff } else { &mut self.non_watcher_backoff };
        match outcome {
            Ok(()) => {
                backoff.reset();
                true
            }
            Err(error) => {
                self.core.metrics.service_errors.count(error.label());
                log::warn!(error:% = error; "reading the configuration service failed");
                self.next_call = Instant::now() + backoff.next_delay();
                false
            }
        }
    }

    async fn watch_after(&self, after: u64) -> Result<(), ServiceError> {
        self.wait_for_quota().await;
        let started = Instant::now();
        let wait = self.core.settings.watch_for;
        let listing = self.client.watch(after, wait).await?;
        let is_prompt = started.elapsed() < wait + WATCH_TOLERANCE;
        let read = if is_prompt { Instant::now() } else { started };
        self.apply_listing(&listing, read).await
    }

    /// Returns an error if the answer's revision is below the highest known one.
    fn refuse_stale(&self, revision: u64) -> Result<(), ServiceError> {
        let known = self.core.known_revision();
        if revision >= known {
            return Ok(());
        }
        self.core.metrics.dropped.count("stale_reading");
        Err(ServiceError::Stale { revision, known })
    }

    /// Reads the list of files, and the files that aren't stored yet.
    async fn read_all(&self) -> Result<(), ServiceError> {
        self.wait_for_quota().await;
        let started = Instant::now();
        let listing = self.client.list().await?;
        self.apply_listing(&listing, started).await
    }

    /// Updates the stored files to a listing made at `read`.
    async fn apply_listing(
        &self,
        listing: &FileListing,
        read: Instant,
    ) -> Result<(), ServiceError> {
        self.refuse_stale(listing.revision)?;
        self.core.record_known_revision(listing.revision);
        self.read_listed(listing).await?;
        self.core.record_reading(listing.revision, read);
        self.core.update_settling();
        Ok(())
    }

    /// Reads the files of a listing in random order, so that processes that read at the same time
    /// read different files and exchange them.
    async fn read_listed(&self, listing: &FileListing) -> Result<(), ServiceError> {
        let mut files: Vec<_> = listing.files.iter().collect();
        files.shuffle(&mut rand::rng());
        for file in files {
            if self.holds(&file.name, file.revision) {
                continue;
            }
            if file.removed {
                let version = FileVersion::removed(&file.name, file.revision);
                self.core.store_version(version, VersionSource::Service, None);
                continue;
            }
            self.wait_for_quota().await;
            if self.holds(&file.name, file.revision) {
                continue;
            }
            let version = self.client.read(&file.name).await?;
            let revision = version.key.revision;
            if revision < file.revision {
                self.core.metrics.dropped.count("stale_file");
                return Err(ServiceError::Stale { revision, known: file.revision });
            }
            let outcome = self.core.store_version(version, VersionSource::Service, None);
            if outcome == JoinOutcome::TooLarge {
                return Err(ServiceError::TooLarge { name: file.name.clone() });
            }
        }
        Ok(())
    }

    fn holds(&self, name: &str, revision: u64) -> bool {
        let store = self.core.store.borrow();
        store.newest(name).is_some_and(|newest| newest.key.revision >= revision)
    }
}
