//! The store of all answers that the agent buffers, limited in bytes and time.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bon::Builder;
use papayamux_protocol::link::{OpenRequest, RefusalNotice};
use papayamux_state::ids::RequestId;
use papayamux_transport::timer::TimerService;
use prometheus_client::metrics::gauge::Gauge;

use super::{AnswerRecord, Attachment};

/// Interval at which the store drops expired records.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of records.
const MAX_RECORDS: usize = 16_384;
/// Maximum number of remembered refusals.
const MAX_REFUSALS: usize = 4_096;

/// Limits of an answer store.
#[derive(Debug, Clone, Copy, Builder)]
pub struct StoreLimits {
    /// The duration for which an answer can be resumed after its router's connection was lost.
    pub resume_within: Duration,
    /// The duration for which a streamed chat continues after its caller disconnected.
    pub cancel_grace: Duration,
    /// The duration for which the events of a finished chat are kept.
    pub keep_for: Duration,
    /// Maximum number of bytes kept of all answers together. Unacknowledged bytes of running
    /// answers may exceed it.
    pub total_bytes: u64,
    /// Maximum number of acknowledged bytes kept of one answer.
    pub answer_bytes: u64,
}

#[derive(Default)]
struct RefusalMemory {
    notices: HashMap<RequestId, RefusalNotice>,
    order: VecDeque<RequestId>,
}

/// The answers of the agent by request id.
pub struct AnswerStore {
    limits: StoreLimits,
    records: RefCell<HashMap<RequestId, Rc<AnswerRecord>>>,
    refusals: RefCell<RefusalMemory>,
    total_buffered: Rc<Cell<u64>>,
}

impl AnswerStore {
    /// Creates an empty store.
    pub fn new(limits: StoreLimits) -> Rc<Self> {
        Rc::new(Self {
            limits,
            records: RefCell::default(),
            refusals: RefCell::default(),
            total_buffered: Rc::default(),
        })
    }

    /// Creates the record of an admitted request.
    pub fn start_record(&self, open: &OpenRequest, attachment: Attachment) -> Rc<AnswerRecord> {
        let record = AnswerRecord::new(open, attachment, self.limits, self.total_buffered.clone());
        self.make_room();
        self.records.borrow_mut().insert(open.id, record.clone());
        record
    }

    /// Returns the record of a request.
    pub fn find(&self, id: &RequestId) -> Option<Rc<AnswerRecord>> {
        self.records.borrow().get(id).cloned()
    }

    /// Records that a request was refused before it had a record.
    pub fn record_refusal(&self, id: RequestId, notice: RefusalNotice) {
        let mut memory = self.refusals.borrow_mut();
        if memory.notices.insert(id, notice).is_none() {
            memory.order.push_back(id);
        }
        if memory.order.len() > MAX_REFUSALS {
            if let Some(oldest) = memory.order.pop_front() {
                memory.notices.remove(&oldest);
            }
        }
    }

    /// Returns the refusal of a request, if it is still remembered.
    pub fn refusal(&self, id: &RequestId) -> Option<RefusalNotice> {
        self.refusals.borrow().notices.get(id).cloned()
    }

    /// Returns the number of buffered bytes, including the overhead of pieces and event ends.
    pub fn buffered_bytes(&self) -> u64 {
        self.total_buffered.get()
    }

    /// Returns the number of records that a router still reads or is expected to resume.
    pub fn awaited(&self) -> usize {
        self.records.borrow().values().filter(|record| record.is_awaited()).count()
    }

    /// Drops the records that have expired at `now`.
    pub fn sweep(&self, now: Instant) {
        self.records.borrow_mut().retain(|_, record| !record.is_expired(now));
        self.make_room();
    }

    /// Brings the store back within its limits. Drops finished answers without a reader first,
    /// starting with the oldest, then the acknowledged parts of all remaining answers.
    fn make_room(&self) {
        if self.is_within_bounds() {
            return;
        }
        let mut finished: Vec<_> = self.finished();
        finished.sort_by_key(|(ended, _)| *ended);
        for (_, id) in finished {
            if self.is_within_bounds() {
                return;
            }
            self.records.borrow_mut().remove(&id);
        }
        self.records.borrow().values().for_each(|record| record.release_acknowledged());
    }

    fn finished(&self) -> Vec<(Instant, RequestId)> {
        let records = self.records.borrow();
        let ended = |record: &Rc<AnswerRecord>| Some((record.ended_at()?, record.id()));
        records.values().filter(|record| !record.is_awaited()).filter_map(ended).collect()
    }

    fn is_within_bounds(&self) -> bool {
        let few = self.records.borrow().len() < MAX_RECORDS;
        few && self.total_buffered.get() <= self.limits.total_bytes
    }
}

/// Sweeps the store at a fixed interval until the timer ends.
pub async fn sweep_answers(store: Rc<AnswerStore>, buffered_bytes: Gauge, timers: TimerService) {
    let mut sweeps = timers.every(SWEEP_INTERVAL);
    while sweeps.tick().await.is_some() {
        store.sweep(Instant::now());
        buffered_bytes.set(store.buffered_bytes() as i64);
    }
}
