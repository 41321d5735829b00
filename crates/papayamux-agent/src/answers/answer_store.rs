//! All answers that the agent holds, within bounds of bytes and time.

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

/// How often the store looks for what has expired.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Records held at most.
const MAX_RECORDS: usize = 16_384;
/// Refusals remembered at most.
const MAX_REFUSALS: usize = 4_096;

/// Bounds of an answer store.
#[derive(Debug, Clone, Copy, Builder)]
pub struct StoreLimits {
    /// How long an answer waits for a router whose connection was lost.
    pub resume_within: Duration,
    /// How long a streamed chat runs on for a caller that has gone.
    pub cancel_grace: Duration,
    /// How long the events of a finished chat are kept.
    pub keep_for: Duration,
    /// Bytes kept of all answers together, beside what is on its way.
    pub total_bytes: u64,
    /// Bytes kept of one answer.
    pub answer_bytes: u64,
}

#[derive(Default)]
struct RefusalMemory {
    notices: HashMap<RequestId, RefusalNotice>,
    order: VecDeque<RequestId>,
}

/// The agent's answers by request id.
pub struct AnswerStore {
    limits: StoreLimits,
    records: RefCell<HashMap<RequestId, Rc<AnswerRecord>>>,
    refusals: RefCell<RefusalMemory>,
    total_buffered: Rc<Cell<u64>>,
}

impl AnswerStore {
    /// An empty store.
    pub fn new(limits: StoreLimits) -> Rc<Self> {
        Rc::new(Self {
            limits,
            records: RefCell::default(),
            refusals: RefCell::default(),
            total_buffered: Rc::default(),
        })
    }

    /// Starts the record of an admitted request.
    pub fn start_record(&self, open: &OpenRequest, attachment: Attachment) -> Rc<AnswerRecord> {
        let record = AnswerRecord::new(open, attachment, self.limits, self.total_buffered.clone());
        self.make_room();
        self.records.borrow_mut().insert(open.id, record.clone());
        record
    }

    /// The record of a request.
    pub fn find(&self, id: &RequestId) -> Option<Rc<AnswerRecord>> {
        self.records.borrow().get(id).cloned()
    }

    /// Remembers that a request was refused before it had a record.
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

    /// How a request was refused, where that is remembered.
    pub fn refusal(&self, id: &RequestId) -> Option<RefusalNotice> {
        self.refusals.borrow().notices.get(id).cloned()
    }

    /// Bytes of answers that are held.
    pub fn buffered_bytes(&self) -> u64 {
        self.total_buffered.get()
    }

    /// Records that a router still has to receive, or may come back for.
    pub fn awaited(&self) -> usize {
        self.records.borrow().values().filter(|record| record.is_awaited()).count()
    }

    /// Drops what has expired at `now`.
    pub fn sweep(&self, now: Instant) {
        self.records.borrow_mut().retain(|_, record| !record.is_expired(now));
        self.make_room();
    }

    /// Brings the store back within its bounds: finished answers go first, the oldest before the
    /// others; then the parts of running ones that were acknowledged.
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

/// Sweeps the store for as long as the agent lives.
pub async fn sweep_answers(store: Rc<AnswerStore>, buffered_bytes: Gauge, timers: TimerService) {
    let mut sweeps = timers.every(SWEEP_INTERVAL);
    while sweeps.tick().await.is_some() {
        store.sweep(Instant::now());
        buffered_bytes.set(store.buffered_bytes() as i64);
    }
}
