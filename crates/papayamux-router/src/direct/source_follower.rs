//! Keeps the router's knowledge up to date with the source of the configuration and of the
//! servers.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Instant;

use futures_util::future::{select, Either};
use papayamux_coordination::source_pace::{PaceView, SourcePace, READ_WITHIN};
use papayamux_state::service_config::ConfigurationSnapshot;
use papayamux_state::source::{
    SourceChange, SourceChanges, SourceContents, SourceError, SourcePosition,
};
use papayamux_transport::boot_clock::boot_now;

use super::Fleet;

/// Reads without a pause between them, so that a source that is behind is not asked for ever: with 250
/// changes each, more than the largest fleet has servers.
const MOST_READS_AT_ONCE: u32 = 16;
/// A read that is under way.
pub type SourceRead<'a, T> = Pin<Box<dyn Future<Output = Result<T, SourceError>> + 'a>>;

/// How recent the answer of a read has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRecency {
    /// The newest.
    Newest,
    /// As it was at some moment of the last seconds, which costs the source less.
    Recent,
}

/// Where the configuration and the list of servers come from.
pub trait FleetSource {
    /// Reads everything.
    fn read_all(&self) -> SourceRead<'_, SourceContents>;
    /// Reads what has changed behind `position`; returns at once, also where nothing has.
    fn read_changes(&self, position: SourcePosition) -> SourceRead<'_, SourceChanges>;
    /// Reads the configuration alone.
    fn read_configuration(
        &self,
        recency: ReadRecency,
    ) -> SourceRead<'_, Option<ConfigurationSnapshot>>;
    /// Closes the connection, so that the next read uses a new one.
    fn disconnect(&self);
}

/// Reads from the source for ever.
pub async fn follow_source(fleet: Rc<Fleet>, source: Rc<dyn FleetSource>) {
    let pace = SourcePace::new(fleet.settings().read_bounds());
    let now = Instant::now();
    let mut follower = SourceFollower { fleet, source, pace, last_read: now, last_asked: now };
    loop {
        if follower.read().await == ReadResult::Again {
            follower.read_rest().await;
        }
        follower.wait_for_turn().await;
    }
}

struct SourceFollower {
    fleet: Rc<Fleet>,
    source: Rc<dyn FleetSource>,
    pace: SourcePace,
    last_read: Instant,
    /// When the configuration alone was read last, because another router had told of a newer one.
    last_asked: Instant,
}

impl SourceFollower {
    /// Reads on until all is read, as far as that goes within a pause's time.
    async fn read_rest(&mut self) {
        for _ in 0..MOST_READS_AT_ONCE {
            if self.read().await == ReadResult::Done {
                return;
            }
        }
    }

    /// Waits until the next read is due, or somebody asks for one and the last one is not of just now.
    async fn wait_for_turn(&mut self) {
        let draw = rand::random();
        while let Some(wait) = self.pace.wait(self.view(), draw) {
            let sleep = std::pin::pin!(monoio::time::sleep(wait));
            let poked = {
                let poked = std::pin::pin!(self.fleet.poked());
                matches!(select(sleep, poked).await, Either::Right(_))
            };
            let last = self.last_read.max(self.last_asked);
            let may_read = last.elapsed() >= self.pace.asked_spacing();
            if poked && may_read && !self.take_wanted().await {
                return;
            }
        }
    }

    /// Reads the configuration that another router has told of, where that is all that was asked for.
    /// Its version shows that what was read is no older than that. Whether no other read is due.
    async fn take_wanted(&mut self) -> bool {
        let Some(wanted) = self.fleet.wanted_version() else { return false };
        let reading = self.source.read_configuration(ReadRecency::Recent);
        let read = monoio::time::timeout(READ_WITHIN, reading).await;
        self.last_asked = Instant::now();
        match read.unwrap_or_else(|_| Err(late())) {
            Ok(Some(configuration)) => {
                let version = configuration.version;
                let is_new = version >= wanted;
                if !is_new {
                    log::info!(wanted:% = wanted, got:% = version; "configuration read is too old");
                }
                let result = if is_new { "recent" } else { "recent_too_old" };
                self.fleet.metrics().source_reads.count(result);
                self.fleet.apply_configuration(configuration);
                is_new
            }
            Ok(None) => false,
            Err(error) => {
                self.note_failure(&error);
                true
            }
        }
    }

    /// Reads the configuration that another router has told of: it may lie before the position up to
    /// which that router has told of servers, where the next changes don't show it.
    async fn read_wanted(&self) -> Result<(), SourceError> {
        if self.fleet.wanted_version().is_none() {
            return Ok(());
        }
        let configuration = self.source.read_configuration(ReadRecency::Newest).await?;
        configuration.into_iter().for_each(|newest| self.fleet.apply_configuration(newest));
        Ok(())
    }

    fn note_failure(&mut self, error: &SourceError) {
        self.fleet.metrics().source_reads.count("failed");
        if self.pace.note_failure() {
            log::warn!(error:% = error; "source lost");
        }
        self.fleet.note_source_lost();
        self.source.disconnect();
    }

    fn view(&self) -> PaceView {
        PaceView {
            role: self.fleet.source_role(),
            seeks_source: self.fleet.seeks_source(),
            awaits_renewals: self.fleet.awaits_renewals(),
            since_read: self.last_read.elapsed(),
            age: self.fleet.servers_age(),
        }
    }

    /// Reads everything as it was at one point. Of what was read in parts, some is of a later point than the
    /// first part: told on as of that, it would be kept from a follower that knows the first point already.
    async fn read_whole(&self) -> Result<WholeRead, SourceError> {
        let contents = self.source.read_all().await?;
        let mut whole = WholeRead { position: contents.position, contents, changes: Vec::new() };
        for _ in 0..MOST_READS_AT_ONCE {
            if whole.position >= whole.contents.latest {
                return Ok(whole);
            }
            let newer = self.source.read_changes(whole.position).await?;
            whole.position = newer.position;
            whole.changes.extend(newer.changes);
        }
        Err(SourceError::Unavailable("changes behind a whole read do not end".to_string()))
    }

    /// Reads what has changed, or everything where nothing is known yet.
    async fn read(&mut self) -> ReadResult {
        let sent = boot_now();
        let reading = async {
            match self.fleet.source_position() {
                None => self.read_whole().await.map(Box::new).map(Read::All),
                Some(position) => {
                    self.read_wanted().await?;
                    self.source.read_changes(position).await.map(Read::Changes)
                }
            }
        };
        let result = monoio::time::timeout(READ_WITHIN, reading).await;
        self.last_read = Instant::now();
        let result = result.unwrap_or_else(|_| Err(late()));
        match result {
            Ok(read) => {
                self.fleet.metrics().source_reads.count("answered");
                let failed = self.pace.note_success();
                if failed {
                    log::info!("source regained");
                }
                let may_have_more = read.may_have_more();
                self.take(read, failed);
                if may_have_more {
                    return ReadResult::Again;
                }
                if self.fleet.wanted_version().is_none() {
                    self.fleet.confirm_configuration(sent);
                }
                self.fleet.note_own_read();
            }
            Err(SourceError::HistoryLost) => {
                self.fleet.metrics().source_reads.count("history_lost");
                log::info!("source has dropped its history, reading everything");
                self.fleet.forget_position();
                return ReadResult::Again;
            }
            Err(error) => {
                self.note_failure(&error);
            }
        }
        ReadResult::Done
    }

    fn take(&mut self, read: Read, failed: bool) {
        let now = Instant::now();
        self.fleet.note_list_contact(failed, now);
        match read {
            Read::All(whole) => {
                let WholeRead { contents, changes, position } = *whole;
                if let Some(configuration) = contents.configuration {
                    self.fleet.apply_configuration(configuration);
                }
                contents.faults.iter().for_each(|fault| self.fleet.note_entry_fault(fault, now));
                self.fleet.note_server_list(contents.servers, now);
                self.fleet.replace_evacuations(contents.evacuations);
                changes.into_iter().for_each(|change| self.take_change(change, now));
                self.fleet.note_whole_read(position);
            }
            Read::Changes(changes) => {
                let takes_servers = self.fleet.takes_changes(changes.position);
                let counts = |change: &SourceChange| {
                    takes_servers || matches!(change, SourceChange::Configuration(_))
                };
                for change in changes.changes.into_iter().filter(counts) {
                    self.take_change(change, now);
                }
                self.fleet.note_beliefs();
            }
        }
    }

    fn take_change(&self, change: SourceChange, now: Instant) {
        match change {
            SourceChange::Configuration(configuration) => {
                self.fleet.apply_configuration(configuration);
            }
            SourceChange::Server(server) => self.fleet.note_server(server, now),
            SourceChange::ServerRemoved(name) => self.fleet.note_server_gone(&name, now),
            SourceChange::EvacuationStarted(order) => self.fleet.begin_evacuation(order),
            SourceChange::EvacuationEnded(domain) => self.fleet.end_evacuation(&domain),
            SourceChange::Fault(fault) => self.fleet.note_entry_fault(&fault, now),
        }
    }
}

fn late() -> SourceError {
    SourceError::Unavailable(format!("no answer within {READ_WITHIN:?}"))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadResult {
    Done,
    /// There is more to be read, at once.
    Again,
}

/// Everything, and what has changed while it was read.
struct WholeRead {
    contents: SourceContents,
    changes: Vec<SourceChange>,
    /// The point at which this is what the source held.
    position: SourcePosition,
}

enum Read {
    All(Box<WholeRead>),
    Changes(SourceChanges),
}

impl Read {
    fn may_have_more(&self) -> bool {
        matches!(self, Read::Changes(changes) if changes.may_have_more)
    }
}
