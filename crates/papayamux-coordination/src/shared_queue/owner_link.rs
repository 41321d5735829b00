//! The way from a router to the owner of a shared queue: which router is asked, and whether it
//! answers.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use crate::part_owners::SilentOwners;
use crate::server_profile::CallTime;

/// Prior of the answer time of an owner, a round trip to another failure domain; it has no effect
/// after the first answers.
const ANSWER_PRIOR: Duration = Duration::from_millis(2);
/// Number of deviations by which an answer may be later than usual, as in the retransmission timer
/// of TCP (RFC 6298).
const LATE_DEVIATIONS: f64 = 4.0;
/// Minimum time after which an unanswered report is repeated. An owner may be busy for as long.
const MIN_REPEAT_INTERVAL: Duration = Duration::from_millis(4);
/// Maximum time after which an unanswered report is repeated.
const MAX_REPEAT_INTERVAL: Duration = Duration::from_millis(8);
/// Number of unanswered reports in a row after which an owner counts as silent. With a tenth of all
/// datagrams lost, one of 4,000 exchanges fails as often by chance. Callers have objectives of 100
/// to 300 ms, and two silent owners must leave most of that.
const SILENT_REPORTS: u32 = 5;
/// Number of owners that are considered, by rank. More are not needed unless as many routers have
/// just been lost, and each costs a caller time.
const MAX_OWNERS: usize = 4;
/// Number of silent owners after which requests don't wait for another.
const MAX_SILENT_OWNERS: u32 = 2;
/// Maximum number of sent reports that are remembered; beyond, answers to the oldest are ignored.
const MAX_SENT: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct SentReport {
    sequence: u64,
    sent_at: Instant,
}

/// A question to a router that ranks before the present owner, without the waiting requests: these
/// stay in the queue of the present owner until the other one answers.
#[derive(Debug, Clone, Copy)]
struct OwnerProbe {
    owner: IpAddr,
    first: SentReport,
    last_sent: Instant,
}

/// What to send next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkTarget {
    /// Reports go to this owner.
    Owner(IpAddr),
    /// No owner answers.
    Nobody,
}

/// The link to the owner of one queue.
#[derive(Debug)]
pub(super) struct OwnerLink {
    owner: Option<IpAddr>,
    silent: SilentOwners,
    answer_times: CallTime,
    sent: VecDeque<SentReport>,
    answered: u64,
    /// Reports sent since the last answer, a repeat interval or more apart, and the latest of these.
    attempts: u32,
    last_attempt: Option<Instant>,
    silent_in_row: u32,
    probe: Option<OwnerProbe>,
}

impl Default for OwnerLink {
    fn default() -> Self {
        Self {
            owner: None,
            silent: SilentOwners::default(),
            answer_times: CallTime::new(ANSWER_PRIOR),
            sent: VecDeque::new(),
            answered: 0,
            attempts: 0,
            last_attempt: None,
            silent_in_row: 0,
            probe: None,
        }
    }
}

impl OwnerLink {
    /// Returns the owner that reports go to.
    pub(super) fn owner(&self) -> Option<IpAddr> {
        self.owner
    }

    /// Returns whether as many owners were silent in a row that requests don't wait for another.
    pub(super) fn is_given_up(&self) -> bool {
        self.silent_in_row >= MAX_SILENT_OWNERS
    }

    /// Starts to count silent owners anew.
    pub(super) fn reset_silent(&mut self) {
        self.silent_in_row = 0;
    }

    /// Chooses the owner among `owners`, in order of rank. An owner that answers is kept until one
    /// that ranks before it has answered a probe.
    pub(super) fn choose(&mut self, owners: &[IpAddr], now: Instant) -> LinkTarget {
        self.drop_silent(now);
        let owners = &owners[..owners.len().min(MAX_OWNERS)];
        let first = owners.iter().copied().find(|owner| self.silent.allow(*owner, now));
        let Some(first) = first else {
            self.switch(None);
            return LinkTarget::Nobody;
        };
        match self.owner {
            Some(owner) if owners.contains(&owner) => {
                let wanted = (first != owner).then_some(first);
                if self.probe.map(|probe| probe.owner) != wanted {
                    self.probe = None;
                }
                LinkTarget::Owner(owner)
            }
            _ => {
                self.switch(Some(first));
                LinkTarget::Owner(first)
            }
        }
    }

    /// Returns a router to probe now: one that ranks before the owner and isn't silent.
    pub(super) fn probe_target(&self, owners: &[IpAddr], now: Instant) -> Option<IpAddr> {
        let owner = self.owner?;
        let before = owners.iter().copied().take(MAX_OWNERS).take_while(|other| *other != owner);
        let target = before.into_iter().find(|other| self.silent.allow(*other, now))?;
        let repeats_at = self.probe.map(|probe| probe.last_sent + self.repeat_interval());
        repeats_at.is_none_or(|repeats_at| now >= repeats_at).then_some(target)
    }

    /// Records that a probe was sent.
    pub(super) fn record_probe(&mut self, owner: IpAddr, sequence: u64, now: Instant) {
        let first = SentReport { sequence, sent_at: now };
        let probe = self.probe.get_or_insert(OwnerProbe { owner, first, last_sent: now });
        probe.last_sent = now;
    }

    /// Records that a report was sent to the owner.
    pub(super) fn record_sent(&mut self, sequence: u64, now: Instant) {
        if self.sent.len() >= MAX_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back(SentReport { sequence, sent_at: now });
        let interval = self.repeat_interval();
        if self.last_attempt.is_none_or(|last_attempt| now >= last_attempt + interval) {
            self.attempts += 1;
            self.last_attempt = Some(now);
        }
    }

    /// Records an answer to the report with this number. Returns when that report was sent; `None`
    /// if the answer is not one of the present owner's to a recent report.
    pub(super) fn record_answer(
        &mut self,
        sender: IpAddr,
        sequence: u64,
        now: Instant,
    ) -> Option<Instant> {
        if let Some(probe) = self.probe.filter(|probe| probe.owner == sender) {
            if sequence >= probe.first.sequence {
                self.switch(Some(sender));
                self.silent_in_row = 0;
            }
            return None;
        }
        if self.owner != Some(sender) {
            return None;
        }
        let sent = *self.sent.iter().find(|sent| sent.sequence == sequence)?;
        self.silent_in_row = 0;
        if sequence > self.answered {
            self.answered = sequence;
            self.attempts = 0;
            self.last_attempt = None;
            self.answer_times.record(now.saturating_duration_since(sent.sent_at));
        }
        Some(sent.sent_at)
    }

    /// Forgets sent reports whose answers no longer count.
    pub(super) fn forget_sent(&mut self, oldest: Instant) {
        let answered = self.answered;
        self.sent.retain(|sent| sent.sequence > answered || sent.sent_at >= oldest);
    }

    /// Returns when the report that waits for an answer is to be sent again; `None` if none waits.
    pub(super) fn repeats_at(&self) -> Option<Instant> {
        self.first_unanswered()?;
        self.sent.back().map(|sent| sent.sent_at + self.repeat_interval())
    }

    /// Returns when the next decision on the owner, or on a probe, is due.
    pub(super) fn next_decision(&self) -> Option<Instant> {
        let silent_at = self.silent_at();
        let probe_at = self.probe.map(|probe| {
            let repeats_at = probe.last_sent + self.repeat_interval();
            repeats_at.min(probe.first.sent_at + self.silence())
        });
        [silent_at, probe_at, self.repeats_at()].into_iter().flatten().min()
    }

    fn drop_silent(&mut self, now: Instant) {
        let silence = self.silence();
        if let Some(probe) = self.probe.filter(|probe| now >= probe.first.sent_at + silence) {
            self.silent.record(probe.owner, now);
            self.probe = None;
        }
        let Some(owner) = self.owner else { return };
        if self.silent_at().is_some_and(|silent_at| now >= silent_at) {
            self.silent.record(owner, now);
            self.silent_in_row += 1;
            self.switch(None);
        }
    }

    fn switch(&mut self, owner: Option<IpAddr>) {
        self.owner = owner;
        self.probe = None;
        self.sent.clear();
        self.answered = 0;
        self.attempts = 0;
        self.last_attempt = None;
    }

    /// Returns when the owner counts as silent unless it answers. A router that was itself paused
    /// sends its repeats first.
    fn silent_at(&self) -> Option<Instant> {
        self.first_unanswered().filter(|_| self.attempts >= SILENT_REPORTS)?;
        self.last_attempt.map(|last_attempt| last_attempt + self.repeat_interval())
    }

    fn first_unanswered(&self) -> Option<&SentReport> {
        self.sent.iter().find(|sent| sent.sequence > self.answered)
    }

    fn repeat_interval(&self) -> Duration {
        let late = self.answer_times.longer_than_usual(LATE_DEVIATIONS);
        late.clamp(MIN_REPEAT_INTERVAL, MAX_REPEAT_INTERVAL)
    }

    fn silence(&self) -> Duration {
        self.repeat_interval() * SILENT_REPORTS
    }
}
