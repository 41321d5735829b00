//! Keeps the router up to date with the source of the configuration and of the servers.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Instant;

use futures_util::future::{select, Either};
use papayamux_coordination::fleet_knowledge::{SourceReaders, SourceRole, ViewOrigin};
use papayamux_coordination::source_polling::{PollSchedule, PollView, HEDGE_DELAY, READ_TIMEOUT};
use papayamux_state::source::{
    ListedConfiguration, PositionedChange, SourceChange, SourceChanges, SourceContents,
    SourceError, SourcePosition,
};
use papayamux_transport::boot_clock::boot_now;

use super::peers::PeerExchange;
use super::Fleet;

/// Maximum number of reads without a pause, so that a source that lags isn't read indefinitely.
/// With 250 changes each, they cover more than the servers of the largest fleet.
const MAX_CONSECUTIVE_READS: u32 = 16;
/// A read in progress.
pub type SourceRead<'a, T> = Pin<Box<dyn Future<Output = Result<T, SourceError>> + 'a>>;

/// How recent the result of a read must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRecency {
    /// The newest state.
    Newest,
    /// The state at some time within the last seconds, which costs the source less.
    Recent,
}

/// The source of the configuration and of the list of servers.
pub trait FleetSource {
    /// Reads everything.
    fn read_all(&self, recency: ReadRecency) -> SourceRead<'_, SourceContents>;
    /// Reads the changes after `position`; returns at once, even if there are none.
    fn read_changes(&self, position: SourcePosition) -> SourceRead<'_, SourceChanges>;
    /// Reads the configuration alone; `None` if there is none.
    fn read_configuration(
        &self,
        recency: ReadRecency,
    ) -> SourceRead<'_, Option<ListedConfiguration>>;
    /// Closes the connection, so that the next read uses a new one.
    fn disconnect(&self);
}

/// Reads from the source indefinitely.
pub async fn follow_source(fleet: Rc<Fleet>, source: Rc<dyn FleetSource>, peers: Rc<PeerExchange>) {
    let pace = PollSchedule::new(fleet.settings().read_bounds());
    let now = Instant::now();
    let mut follower = SourceFollower {
        fleet,
        source,
        peers,
        pace,
        last_read: now,
        last_configuration_read: now,
        first_failure: None,
        is_restored: false,
    };
    loop {
        if !follower.obtain_view().await && follower.read().await == ReadResult::MoreAvailable {
            follower.read_remaining().await;
        }
        follower.wait_for_next_read().await;
    }
}

struct SourceFollower {
    fleet: Rc<Fleet>,
    source: Rc<dyn FleetSource>,
    peers: Rc<PeerExchange>,
    pace: PollSchedule,
    last_read: Instant,
    /// When the configuration alone was last read because another router had announced a newer
    /// version.
    last_configuration_read: Instant,
    /// When the first of the failed reads since the last successful one failed.
    first_failure: Option<Instant>,
    /// `true` until everything has been read from a source that was restored from a copy.
    is_restored: bool,
}

impl SourceFollower {
    /// Obtains a complete view from another router, if this one has none yet, or if it lacks changes that
    /// the router which it follows no longer has. Returns `false` if the source has to be read.
    async fn obtain_view(&mut self) -> bool {
        if self.fleet.settings().readers == SourceReaders::All {
            return false;
        }
        let is_obtained = match (self.fleet.has_view(), self.fleet.take_refresh_source()) {
            (false, _) => self.peers.obtain_view().await,
            (true, Some(router)) => self.peers.refresh_view(router).await,
            (true, None) => false,
        };
        if is_obtained {
            self.last_read = Instant::now();
        }
        is_obtained
    }

    /// Reads until nothing is left, at most [`MAX_CONSECUTIVE_READS`] times.
    async fn read_remaining(&mut self) {
        for _ in 0..MAX_CONSECUTIVE_READS {
            if self.read().await == ReadResult::Done {
                return;
            }
        }
    }

    /// Waits until the next read is due, or until a read is requested and the last one isn't too
    /// recent.
    async fn wait_for_next_read(&mut self) {
        let sample = rand::random();
        while let Some(wait) = self.pace.wait(self.view(), sample) {
            let sleep = std::pin::pin!(monoio::time::sleep(wait));
            let read_requested = {
                let read_requested = std::pin::pin!(self.fleet.read_requested());
                matches!(select(sleep, read_requested).await, Either::Right(_))
            };
            let last = self.last_read.max(self.last_configuration_read);
            let may_read = last.elapsed() >= self.pace.requested_read_spacing();
            // What another router announced may have been handed on meanwhile.
            let is_missing = self.fleet.wanted_version().is_some() || self.fleet.lacks_changes();
            if !(read_requested && may_read) {
                continue;
            }
            let needs_own_read = self.fleet.take_read_request();
            if (needs_own_read || is_missing) && !self.obtain_wanted().await {
                return;
            }
        }
    }

    /// Obtains the configuration whose version another router has announced, if this is all that was
    /// requested: from the router that this one follows, or from the source. A recent state of the source
    /// suffices, since its version shows whether it is older than announced. Returns `true` if no other
    /// read is due.
    async fn obtain_wanted(&mut self) -> bool {
        let Some(wanted) = self.fleet.wanted_version() else { return false };
        if let SourceRole::Follower(followed) = self.fleet.source_role() {
            if self.peers.request_configuration(followed, wanted).await {
                self.last_configuration_read = Instant::now();
                self.fleet.metrics().source_reads.count("handed_on");
                return true;
            }
        }
        let reading = self.hedge(|| self.source.read_configuration(ReadRecency::Recent));
        let read = monoio::time::timeout(READ_TIMEOUT, reading).await;
        self.last_configuration_read = Instant::now();
        match read.unwrap_or_else(|_| Err(timeout_error())) {
            Ok(Some(listed)) => {
                let version = listed.contents.as_ref().map(|snapshot| snapshot.version).ok();
                let is_new = version.is_some_and(|version| version >= wanted);
                if let Some(version) = version.filter(|_| !is_new) {
                    log::info!(wanted:% = wanted, got:% = version; "configuration read is too old");
                }
                let result = if is_new { "recent" } else { "recent_too_old" };
                self.fleet.metrics().source_reads.count(result);
                self.fleet.record_configuration(listed);
                is_new
            }
            Ok(None) => false,
            Err(error) => {
                self.record_read_failure(&error);
                true
            }
        }
    }

    /// Reads the configuration whose version another router has announced. Its change may lie
    /// before the position up to which that router has announced servers; then the next changes
    /// don't contain it.
    async fn read_wanted(&self) -> Result<(), SourceError> {
        if self.fleet.wanted_version().is_none() {
            return Ok(());
        }
        let read = || self.source.read_configuration(ReadRecency::Newest);
        let configuration = self.hedge(read).await?;
        configuration.into_iter().for_each(|newest| self.fleet.record_configuration(newest));
        Ok(())
    }

    fn record_read_failure(&mut self, error: &SourceError) {
        self.fleet.metrics().source_reads.count("failed");
        if self.pace.record_failure() {
            log::warn!(error:% = error; "source lost");
            self.first_failure = Some(Instant::now());
        }
        self.fleet.record_source_lost();
        self.source.disconnect();
    }

    fn view(&self) -> PollView {
        PollView {
            role: self.fleet.source_role(),
            seeks_source: self.fleet.seeks_source(),
            awaits_renewals: self.fleet.awaits_renewals(),
            since_read: self.last_read.elapsed(),
            age: self.fleet.servers_age(),
        }
    }

    /// Reads everything. A recent state suffices at the start of a router, as the changes since then are
    /// read as well, and many routers may start at once.
    async fn read_first(&self) -> Result<FullRead, SourceError> {
        if !self.fleet.has_view() {
            match self.read_everything(ReadRecency::Recent).await {
                Err(SourceError::HistoryLost) => {}
                result => return result,
            }
        }
        self.read_everything(ReadRecency::Newest).await
    }

    /// Reads the complete state at a single position. In a read of several parts, some parts are
    /// newer than the first one: if they were relayed under the first position, a follower that
    /// already knows that position would not receive them.
    async fn read_everything(&self, recency: ReadRecency) -> Result<FullRead, SourceError> {
        let contents = self.source.read_all(recency).await?;
        let mut full_read = FullRead { position: contents.position, contents, changes: Vec::new() };
        // Only a read of the newest state shows what is newest.
        let mut is_newest = recency == ReadRecency::Newest;
        for _ in 0..MAX_CONSECUTIVE_READS {
            if is_newest && full_read.position >= full_read.contents.latest {
                return Ok(full_read);
            }
            let newer = self.source.read_changes(full_read.position).await?;
            is_newest = !newer.may_have_more;
            full_read.position = newer.position;
            full_read.changes.extend(newer.changes.into_iter().map(|newer| newer.change));
        }
        Err(SourceError::Unavailable("the changes after a full read do not end".to_string()))
    }

    /// Runs a read, and runs it once more over a new connection if there is no answer for
    /// [`HEDGE_DELAY`]. The first answer counts.
    ///
    /// A connection that has gone silent is no outage of the source: entries are renewed meanwhile, so
    /// that a server that is missing has departed.
    async fn hedge<'a, T>(
        &'a self,
        read: impl Fn() -> SourceRead<'a, T>,
    ) -> Result<T, SourceError> {
        let first = match select(read(), std::pin::pin!(monoio::time::sleep(HEDGE_DELAY))).await {
            Either::Left((result, _)) => return result,
            Either::Right(((), first)) => first,
        };
        self.fleet.metrics().source_reads.count("hedged");
        match select(first, read()).await {
            Either::Left((Ok(answer), _)) | Either::Right((Ok(answer), _)) => Ok(answer),
            Either::Left((Err(_), other)) | Either::Right((Err(_), other)) => other.await,
        }
    }

    /// Reads the changes, or everything if nothing is known yet.
    async fn read(&mut self) -> ReadResult {
        let sent = boot_now();
        let reading = async {
            match self.fleet.source_position() {
                None => self.read_first().await.map(Box::new).map(ReadContents::All),
                Some(position) => {
                    self.read_wanted().await?;
                    self.hedge(|| self.source.read_changes(position))
                        .await
                        .map(ReadContents::Changes)
                }
            }
        };
        let result = monoio::time::timeout(READ_TIMEOUT, reading).await;
        self.last_read = Instant::now();
        let result = result.unwrap_or_else(|_| Err(timeout_error()));
        match result {
            Ok(read) => {
                self.fleet.metrics().source_reads.count("answered");
                if self.pace.record_success() {
                    log::info!("source regained");
                }
                // If another router has read the source meanwhile, it was available.
                let failed = self
                    .first_failure
                    .take()
                    .is_some_and(|failure| !self.fleet.had_list_contact_since(failure));

                let may_have_more = read.may_have_more();
                self.apply(read, failed);
                if may_have_more {
                    return ReadResult::MoreAvailable;
                }
                if self.fleet.wanted_version().is_none() {
                    self.fleet.confirm_configuration(sent);
                }
                self.fleet.record_own_read();
                self.fleet.record_first_view(ViewOrigin::OwnRead);
            }
            Err(SourceError::Restored) => {
                self.fleet.metrics().source_reads.count("restored");
                log::warn!("source was restored from a copy, reading everything");
                self.is_restored = true;
                self.fleet.forget_position();
                return ReadResult::MoreAvailable;
            }
            Err(SourceError::HistoryLost) => {
                self.fleet.metrics().source_reads.count("history_lost");
                log::info!("source has dropped its history, reading everything");
                self.fleet.forget_position();
                return ReadResult::MoreAvailable;
            }
            Err(error @ SourceError::TooLarge { .. }) if self.fleet.source_position().is_some() => {
                self.fleet.metrics().source_reads.count("too_large");
                log::warn!(error:% = error; "changes are too large, reading everything");
                self.fleet.forget_position();
                return ReadResult::MoreAvailable;
            }
            Err(error) => {
                self.record_read_failure(&error);
            }
        }
        ReadResult::Done
    }

    fn apply(&mut self, read: ReadContents, failed: bool) {
        let now = Instant::now();
        let is_restored = std::mem::take(&mut self.is_restored);
        // Entries that the copy lacks are written again, as after an outage.
        self.fleet.record_list_contact(failed || is_restored, now);
        match read {
            ReadContents::All(full_read) => {
                let FullRead { contents, changes, position } = *full_read;
                match contents.configuration {
                    Some(configuration) => self.fleet.record_configuration(configuration),
                    None => self.fleet.record_missing_configuration(contents.position),
                }
                contents.faults.iter().for_each(|fault| self.fleet.record_entry_fault(fault, now));
                self.fleet.record_server_list(contents.servers, is_restored, now);
                self.fleet.replace_evacuations(contents.evacuations, is_restored, now);
                changes.into_iter().for_each(|change| self.apply_change(change, now));
                self.fleet.record_full_read(position);
            }
            ReadContents::Changes(changes) => {
                let known = self.fleet.accept_changes(changes.position);
                for PositionedChange { position, change } in changes.changes {
                    if position > known || matches!(change, SourceChange::Configuration(_)) {
                        self.apply_change(change, now);
                    } else if let SourceChange::ServerRemoved(name) = change {
                        log::info!(server:% = name, position:% = position; "removal read too late");
                    }
                }
                self.fleet.journal_known_servers();
            }
        }
    }

    fn apply_change(&self, change: SourceChange, now: Instant) {
        match change {
            SourceChange::Configuration(configuration) => {
                self.fleet.record_configuration(configuration);
            }
            SourceChange::Server(server) => self.fleet.record_server(server, now),
            SourceChange::ServerRemoved(name) => self.fleet.record_departed_server(&name, now),
            SourceChange::EvacuationStarted(order) => self.fleet.begin_evacuation(order),
            SourceChange::EvacuationEnded(domain) => self.fleet.end_evacuation(&domain),
            SourceChange::Fault(fault) => self.fleet.record_entry_fault(&fault, now),
        }
    }
}

fn timeout_error() -> SourceError {
    SourceError::Unavailable(format!("no answer within {READ_TIMEOUT:?}"))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadResult {
    Done,
    /// More can be read at once.
    MoreAvailable,
}

/// The complete contents and the changes that were made while they were read.
struct FullRead {
    contents: SourceContents,
    changes: Vec<SourceChange>,
    /// The position of the source to which contents and changes together correspond.
    position: SourcePosition,
}

enum ReadContents {
    All(Box<FullRead>),
    Changes(SourceChanges),
}

impl ReadContents {
    fn may_have_more(&self) -> bool {
        matches!(self, ReadContents::Changes(changes) if changes.may_have_more)
    }
}
