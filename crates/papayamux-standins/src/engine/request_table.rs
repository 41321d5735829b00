//! Requests by their id: those that run, and the last ones that ended.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use super::answer_record::AnswerRecord;
use super::job::EngineRequest;

/// Ended requests that can still be resumed.
const MAX_ENDED_REQUESTS: usize = 4_096;
/// Request ids, and tags, of which the runs are counted.
const MAX_COUNTED_NAMES: usize = 4_000_000;
/// The count of all runs beyond those that are counted one by one.
const BEYOND_COUNTED: &str = "(further)";

type RunCounts = HashMap<String, u64>;

/// Answers by request id, and how often each id was run.
#[derive(Debug, Default)]
pub struct RequestTable {
    answers: HashMap<String, Rc<AnswerRecord>>,
    ended: VecDeque<(String, Rc<AnswerRecord>)>,
    runs: RunCounts,
    tag_runs: RunCounts,
}

impl RequestTable {
    /// Adds a request; a request without an id can't be found again.
    pub fn add(&mut self, id: &str, record: Rc<AnswerRecord>) {
        if !id.is_empty() {
            self.answers.insert(id.to_string(), record);
        }
    }

    /// The answer of a request that runs or ended recently.
    pub fn find(&self, id: &str) -> Option<&Rc<AnswerRecord>> {
        self.answers.get(id)
    }

    /// A request has left the engine.
    pub fn end(&mut self, id: &str, record: &Rc<AnswerRecord>) {
        if id.is_empty() {
            return;
        }
        self.ended.push_back((id.to_string(), record.clone()));
        if self.ended.len() <= MAX_ENDED_REQUESTS {
            return;
        }
        let Some((id, record)) = self.ended.pop_front() else { return };
        if self.answers.get(&id).is_some_and(|present| Rc::ptr_eq(present, &record)) {
            self.answers.remove(&id);
        }
    }

    /// Counts a run of a request.
    pub fn count_run(&mut self, request: &EngineRequest) {
        count(&mut self.runs, &request.id);
        if let Some(tag) = &request.tag {
            count(&mut self.tag_runs, tag);
        }
    }

    /// How often each request id was run.
    pub fn runs(&self) -> &HashMap<String, u64> {
        &self.runs
    }

    /// How often a request with each tag was run.
    pub fn tag_runs(&self) -> &HashMap<String, u64> {
        &self.tag_runs
    }
}

fn count(counts: &mut RunCounts, name: &str) {
    let known = counts.contains_key(name) || counts.len() < MAX_COUNTED_NAMES;
    let name = if known { name } else { BEYOND_COUNTED };
    *counts.entry(name.to_string()).or_default() += 1;
}
