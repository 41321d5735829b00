//! The answers of runs with an idempotency key, kept for retries with the same key.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use papayamux_protocol::link::{AnswerHead, OpenRequest, RecallRequest, RetryRule};
use papayamux_state::claims::{CallFingerprint, ClaimKey};
use papayamux_state::ids::{IdempotencyKey, OrganisationId};
use papayamux_state::quantities::ByteCount;
use papayamux_state::refusal::RefusalReason;
use papayamux_transport::shutdown::ShutdownSignal;

use super::{ClaimSettings, RunRecorder};

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// The status and headers.
    pub head: AnswerHead,
    /// The complete body.
    pub body: Bytes,
}

impl KeptAnswer {
    /// Returns the number of bytes that the answer counts towards the limit.
    fn size(&self) -> usize {
        let header_sizes = self
            .head
            .headers
            .iter()
            .map(|field| size_of_val(field) + field.name.len() + field.value.len());
        size_of::<KeptRun>() + self.body.len() + header_sizes.sum::<usize>()
    }
}

/// The state of a run with a key.
#[derive(Debug, Clone)]
enum RunState {
    Running,
    Complete(KeptAnswer),
    NotKept,
    Failed,
}

#[derive(Debug)]
struct KeptRun {
    organisation: OrganisationId,
    key: IdempotencyKey,
    fingerprint: CallFingerprint,
    state: RunState,
    settled: ShutdownSignal,
    expires_at: Duration,
}

#[derive(Debug, Clone, Copy)]
struct RunExpiry {
    key: ClaimKey,
    expires_at: Duration,
}

#[derive(Debug, Default)]
struct RunTable {
    runs: HashMap<ClaimKey, KeptRun>,
    expiries: VecDeque<RunExpiry>,
    bytes: usize,
}

/// The runs with a key of one incarnation of an agent. A key that is present is never run again
/// here, even if the witnesses grant it again.
#[derive(Debug)]
pub struct KeptAnswers {
    retention: Duration,
    max_runs: usize,
    max_bytes: usize,
    table: RefCell<RunTable>,
}

impl KeptAnswers {
    /// Creates an empty table of runs.
    pub fn new(settings: &ClaimSettings) -> Rc<Self> {
        Rc::new(Self {
            retention: settings.retention,
            max_runs: settings.most_claims,
            max_bytes: settings.kept_bytes.get() as usize,
            table: RefCell::default(),
        })
    }

    /// Begins a run at `now`, the time since the agent's start. Returns the recorder of its answer,
    /// or `None` for a call without a key.
    pub fn begin(
        self: &Rc<Self>,
        open: &OpenRequest,
        now: Duration,
    ) -> Result<Option<RunRecorder>, RefusalReason> {
        let RetryRule::AtMostOnce(Some(key)) = &open.retry_rule else { return Ok(None) };
        if open.claim.is_none() {
            return Err(RefusalReason::ClaimMissing);
        }
        let mut table = self.table.borrow_mut();
        table.expire(now, self.retention);
        let claim_key = ClaimKey::new(&open.organisation, key);
        if table.runs.contains_key(&claim_key) {
            return Err(RefusalReason::KeyRunBefore);
        }
        if table.expiries.len() >= self.max_runs {
            return Err(RefusalReason::ClaimsFull);
        }
        let expires_at = now + self.retention;
        let run = KeptRun {
            organisation: open.organisation.clone(),
            key: key.clone(),
            fingerprint: CallFingerprint::new(&open.method, &open.path, &open.body),
            state: RunState::Running,
            settled: ShutdownSignal::new(),
            expires_at,
        };
        table.runs.insert(claim_key, run);
        table.expiries.push_back(RunExpiry { key: claim_key, expires_at });
        Ok(Some(RunRecorder::new(self.clone(), claim_key)))
    }

    /// Waits until the first run has ended and returns its answer.
    pub async fn recall(&self, request: &RecallRequest) -> Result<KeptAnswer, RefusalReason> {
        let settled = self.find(request, |run| run.settled.clone())?;
        settled.triggered().await;
        self.find(request, |run| match &run.state {
            RunState::Complete(answer) => Ok(answer.clone()),
            RunState::Running | RunState::NotKept => Err(RefusalReason::AnswerNotKept),
            RunState::Failed => Err(RefusalReason::FirstRunFailed),
        })?
    }

    /// Returns the number of bytes of kept answers.
    pub fn kept_bytes(&self) -> ByteCount {
        ByteCount::new(self.table.borrow().bytes as u64)
    }

    fn find<T>(
        &self,
        request: &RecallRequest,
        read: impl FnOnce(&KeptRun) -> T,
    ) -> Result<T, RefusalReason> {
        let table = self.table.borrow();
        let run = table.runs.get(&ClaimKey::new(&request.organisation, &request.key));
        let same_key =
            |run: &&KeptRun| run.organisation == request.organisation && run.key == request.key;
        let run = run.filter(same_key).ok_or(RefusalReason::AnswerNotKept)?;
        match run.fingerprint == request.fingerprint {
            true => Ok(read(run)),
            false => Err(RefusalReason::KeyReused),
        }
    }

    /// Records that a run completed, with its answer unless that is too long to be kept.
    pub(super) fn settle_complete(&self, key: ClaimKey, answer: Option<KeptAnswer>) {
        let mut table = self.table.borrow_mut();
        let size = answer.as_ref().map_or(0, KeptAnswer::size);
        table.settle(key, answer.map_or(RunState::NotKept, RunState::Complete));
        table.bytes += size;
        table.drop_oldest_answers(self.max_bytes);
    }

    /// Records that a run ended without a complete answer.
    pub(super) fn settle_failed(&self, key: ClaimKey) {
        self.table.borrow_mut().settle(key, RunState::Failed);
    }

    /// Removes a run that has provably not happened.
    pub(super) fn forget(&self, key: ClaimKey) {
        self.table.borrow_mut().remove(key);
    }
}

impl RunTable {
    fn settle(&mut self, key: ClaimKey, state: RunState) {
        if let Some(run) = self.runs.get_mut(&key) {
            run.state = state;
            run.settled.trigger();
        }
    }

    fn drop_oldest_answers(&mut self, max_bytes: usize) {
        for expiry in &self.expiries {
            if self.bytes <= max_bytes {
                break;
            }
            if let Some(run) = self.runs.get_mut(&expiry.key) {
                if let RunState::Complete(answer) = &run.state {
                    self.bytes -= answer.size();
                    run.state = RunState::NotKept;
                }
            }
        }
    }

    /// Drops expired runs. A run that is still in progress is kept for another retention period.
    fn expire(&mut self, now: Duration, retention: Duration) {
        while let Some(expiry) = self.expiries.front().copied() {
            if expiry.expires_at > now {
                break;
            }
            self.expiries.pop_front();
            match self.runs.get_mut(&expiry.key) {
                Some(run) if matches!(run.state, RunState::Running) => {
                    run.expires_at = now + retention;
                    self.expiries.push_back(RunExpiry { expires_at: run.expires_at, ..expiry });
                }
                Some(run) if run.expires_at <= now => self.remove(expiry.key),
                _ => {}
            }
        }
    }

    fn remove(&mut self, key: ClaimKey) {
        if let Some(run) = self.runs.remove(&key) {
            if let RunState::Complete(answer) = run.state {
                self.bytes -= answer.size();
            }
            run.settled.trigger();
        }
    }
}
