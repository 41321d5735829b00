//! Answers of runs with a key, kept for repeats of the key.

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

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// Status and headers.
    pub head: AnswerHead,
    /// The body.
    pub body: Bytes,
}

impl KeptAnswer {
    /// What the answer counts for.
    fn size(&self) -> usize {
        let header_sizes = self
            .head
            .headers
            .iter()
            .map(|field| size_of_val(field) + field.name.len() + field.value.len());
        size_of::<KeptRun>() + self.body.len() + header_sizes.sum::<usize>()
    }
}

/// How a run with a key stands.
#[derive(Debug, Clone)]
enum RunState {
    Running,
    Whole(KeptAnswer),
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
    until: Duration,
}

#[derive(Debug, Clone, Copy)]
struct RunExpiry {
    key: ClaimKey,
    until: Duration,
}

#[derive(Debug, Default)]
struct RunTable {
    runs: HashMap<ClaimKey, KeptRun>,
    expiries: VecDeque<RunExpiry>,
    bytes: usize,
}

/// The runs with a key of one life of an agent. None is run a second time here, whatever the
/// witnesses say.
#[derive(Debug)]
pub struct KeptAnswers {
    retention: Duration,
    most_runs: usize,
    most_bytes: usize,
    table: RefCell<RunTable>,
}

impl KeptAnswers {
    /// No runs.
    pub fn new(settings: &ClaimSettings) -> Rc<Self> {
        Rc::new(Self {
            retention: settings.retention,
            most_runs: settings.most_claims,
            most_bytes: settings.kept_bytes.get() as usize,
            table: RefCell::default(),
        })
    }

    /// Begins a run at `now` after the agent's start: the recorder of its answer, or nothing for
    /// a call without a key.
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
        if table.expiries.len() >= self.most_runs {
            return Err(RefusalReason::ClaimsFull);
        }
        let until = now + self.retention;
        let run = KeptRun {
            organisation: open.organisation.clone(),
            key: key.clone(),
            fingerprint: CallFingerprint::new(&open.method, &open.path, &open.body),
            state: RunState::Running,
            settled: ShutdownSignal::new(),
            until,
        };
        table.runs.insert(claim_key, run);
        table.expiries.push_back(RunExpiry { key: claim_key, until });
        Ok(Some(RunRecorder::new(self.clone(), claim_key)))
    }

    /// The first run's answer, once that run has ended.
    pub async fn recall(&self, request: &RecallRequest) -> Result<KeptAnswer, RefusalReason> {
        let settled = self.find(request, |run| run.settled.clone())?;
        settled.given().await;
        self.find(request, |run| match &run.state {
            RunState::Whole(answer) => Ok(answer.clone()),
            RunState::Running | RunState::NotKept => Err(RefusalReason::AnswerNotKept),
            RunState::Failed => Err(RefusalReason::FirstRunFailed),
        })?
    }

    /// Bytes kept.
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

    /// Keeps the answer of a run that ended well, if it is not too long to be kept.
    pub(super) fn settle_whole(&self, key: ClaimKey, answer: Option<KeptAnswer>) {
        let mut table = self.table.borrow_mut();
        let size = answer.as_ref().map_or(0, KeptAnswer::size);
        table.settle(key, answer.map_or(RunState::NotKept, RunState::Whole));
        table.bytes += size;
        table.drop_oldest_answers(self.most_bytes);
    }

    /// Notes that a run ended without a whole answer.
    pub(super) fn settle_failed(&self, key: ClaimKey) {
        self.table.borrow_mut().settle(key, RunState::Failed);
    }

    /// Forgets a run that is proved not to have happened.
    pub(super) fn forget(&self, key: ClaimKey) {
        self.table.borrow_mut().remove(key);
    }
}

impl RunTable {
    fn settle(&mut self, key: ClaimKey, state: RunState) {
        if let Some(run) = self.runs.get_mut(&key) {
            run.state = state;
            run.settled.give();
        }
    }

    fn drop_oldest_answers(&mut self, most_bytes: usize) {
        for expiry in &self.expiries {
            if self.bytes <= most_bytes {
                break;
            }
            if let Some(run) = self.runs.get_mut(&expiry.key) {
                if let RunState::Whole(answer) = &run.state {
                    self.bytes -= answer.size();
                    run.state = RunState::NotKept;
                }
            }
        }
    }

    /// Drops runs past their time; one that still runs is kept for another retention.
    fn expire(&mut self, now: Duration, retention: Duration) {
        while let Some(expiry) = self.expiries.front().copied() {
            if expiry.until > now {
                break;
            }
            self.expiries.pop_front();
            match self.runs.get_mut(&expiry.key) {
                Some(run) if matches!(run.state, RunState::Running) => {
                    run.until = now + retention;
                    self.expiries.push_back(RunExpiry { until: run.until, ..expiry });
                }
                Some(run) if run.until <= now => self.remove(expiry.key),
                _ => {}
            }
        }
    }

    fn remove(&mut self, key: ClaimKey) {
        if let Some(run) = self.runs.remove(&key) {
            if let RunState::Whole(answer) = run.state {
                self.bytes -= answer.size();
            }
            run.settled.give();
        }
    }
}
