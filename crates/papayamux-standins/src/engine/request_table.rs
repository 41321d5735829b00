//! Table of running and recently ended requests by id.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use super::answer_record::AnswerRecord;
use super::job::EngineRequest;

/// Maximum number of ended requests that can still be resumed.
const MAX_ENDED_REQUESTS: usize = 4_096;
/// Maximum number of request ids, and of tags, whose runs are counted separately.
const MAX_COUNTED_NAMES: usize = 4_000_000;
/// Key that counts the runs of all names beyond [`MAX_COUNTED_NAMES`].
const BEYOND_COUNTED: &str = "(further)";

type RunCounts = HashMap<String, u64>;

/// Answers by request id, and run counts by request id and tag.
#[derive(Debug, Default)]
pub struct RequestTable {
    answers: HashMap<String, Rc<AnswerRecord>>,
    ended: VecDeque<(String, Rc<AnswerRecord>)>,
    runs: RunCounts,
    tag_runs: RunCounts,
}

impl RequestTable {
    /// Adds a request. A request with an empty id is not stored and can't be found later.
    pub fn add(&mut self, id: &str, record: Rc<AnswerRecord>) {
        if !id.is_empty() {
            self.answers.insert(id.to_string(), record);
        }
    }

    /// Returns the answer of a running or recently ended request.
    pub fn find(&self, id: &str) -> Option<&Rc<AnswerRecord>> {
        self.answers.get(id)
    }

    /// Records that a request has ended, and removes the oldest ended one above the limit.
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

    /// Counts a run of a request, by id and by tag.
    pub fn count_run(&mut self, request: &EngineRequest) {
        count(&mut self.runs, &request.id);
        if let Some(tag) = &request.tag {
            count(&mut self.tag_runs, tag);
        }
    }

    /// Returns the number of runs by request id.
    pub fn runs(&self) -> &HashMap<String, u64> {
        &self.runs
    }

    /// Returns the number of runs by tag.
    pub fn tag_runs(&self) -> &HashMap<String, u64> {
        &self.tag_runs
    }
}

fn count(counts: &mut RunCounts, name: &str) {
    let known = counts.contains_key(name) || counts.len() < MAX_COUNTED_NAMES;
    let name = if known { name } else { BEYOND_COUNTED };
    *counts.entry(name.to_string()).or_default() += 1;
}
