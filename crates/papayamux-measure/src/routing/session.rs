//! Runs chats and plain calls from the caller's side.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, StatusCode};
use papayamux_protocol::chat::ChatMessage;
use papayamux_protocol::engine::{block_hashes, prompt_tokens, render_prompt, root_hash};
use papayamux_protocol::failure::{FailureEnvelope, FailureOutcome};
use papayamux_standins::engine::expected_answer;
use papayamux_testbed::{chat_request, Caller, CallerError, FLEET_MODEL, FLEET_PATH};

use super::prefix_oracle::PrefixOracle;
use super::tally::{AnsweredTurn, RunTally, TurnOutcome, TurnRecord};
use super::workload::{CallScript, ChatScript, TurnScript, Workload};

/// State shared by all sessions of a run.
pub struct SessionContext {
    /// The start of the run.
    pub started_at: Instant,
    /// The time after which no turn is sent, since the start of the run.
    pub end: Duration,
    /// The callers, by router and organisation.
    pub callers: Vec<Vec<Caller>>,
    /// The workload to send.
    pub workload: Rc<Workload>,
    /// The number of engines, from which the oracle's home engines are assigned.
    pub engines: usize,
    /// Bit mask of the engines replaced since the oracle was last updated.
    pub replaced: Arc<AtomicU64>,
    /// The oracle that computes the best possible reuse.
    pub oracle: RefCell<PrefixOracle>,
    /// The results recorded so far.
    pub tally: RefCell<RunTally>,
    /// The number of requests in flight.
    pub in_flight: Cell<usize>,
}

/// Returns the block hashes of a prompt.
fn prompt_blocks(prompt: &str) -> Vec<u64> {
    block_hashes(root_hash(FLEET_MODEL, None), prompt)
}

fn message(role: &str, content: String) -> ChatMessage {
    ChatMessage { role: role.to_string(), content }
}

impl SessionContext {
    async fn wait_until(&self, at: Duration) {
        monoio::time::sleep(at.saturating_sub(self.started_at.elapsed())).await;
    }

    /// Runs the chat with the index `index` in the workload.
    pub async fn run_chat(self: Rc<Self>, index: usize) {
        let workload = self.workload.clone();
        let chat = &workload.chats[index];
        self.wait_until(chat.arrival).await;
        let document = workload.documents[chat.organisation][chat.document].clone();
        let mut messages = vec![message("system", document)];
        let mut history_blocks = 0;
        for turn in &chat.turns {
            if self.started_at.elapsed() >= self.end {
                return;
            }
            messages.push(message("user", turn.text.clone()));
            let prompt = render_prompt(&messages);
            let answer = expected_answer(FLEET_MODEL, &prompt, Some(turn.answer_tokens));
            let record = self.best_case(index, turn, &prompt, history_blocks);
            let outcome = self.run_turn(chat, turn, &messages, &answer).await;
            self.tally.borrow_mut().turns.push(TurnRecord { outcome, ..record });
            let blocks = prompt_blocks(&format!("{prompt}assistant: {answer}\n"));
            history_blocks = blocks.len();
            self.oracle.borrow_mut().store(index % self.engines, &blocks);
            messages.push(message("assistant", answer));
            monoio::time::sleep(turn.pause).await;
        }
    }

    /// Creates the record of a turn about to be sent, with the best possible reuse.
    fn best_case(
        &self,
        chat: usize,
        turn: &TurnScript,
        prompt: &str,
        history_blocks: usize,
    ) -> TurnRecord {
        let mut oracle = self.oracle.borrow_mut();
        oracle.forget(self.replaced.swap(0, Ordering::AcqRel));
        let blocks = prompt_blocks(prompt);
        let best_blocks = oracle.best_blocks(&blocks);
        oracle.store(chat % self.engines, &blocks);
        TurnRecord {
            sent: self.started_at.elapsed(),
            organisation: self.workload.chats[chat].organisation,
            prompt_tokens: prompt_tokens(prompt.len()),
            answer_tokens: u64::from(turn.answer_tokens),
            history_blocks,
            best_blocks,
            outcome: TurnOutcome::Failed,
        }
    }

    async fn run_turn(
        &self,
        chat: &ChatScript,
        turn: &TurnScript,
        messages: &[ChatMessage],
        expected: &str,
    ) -> TurnOutcome {
        let mut request = chat_request(FLEET_MODEL, messages.to_vec(), turn.answer_tokens);
        request.conversation.clone_from(&chat.conversation);
        let caller = &self.callers[turn.router][chat.organisation];
        self.in_flight.set(self.in_flight.get() + 1);
        let sent = Instant::now();
        let answer = caller.chat(&request).await;
        let whole = sent.elapsed();
        self.in_flight.set(self.in_flight.get() - 1);
        match answer {
            Ok(answer) if answer.text == expected => TurnOutcome::Answered(AnsweredTurn {
                cached_tokens: answer.usage.prompt_tokens_details.cached_tokens,
                first_token: answer.first_token,
                token_gap: (whole - answer.first_token) / turn.answer_tokens,
            }),
            Ok(answer) if expected.starts_with(&answer.text) => TurnOutcome::Short,
            Ok(_) => TurnOutcome::Mixed,
            Err(error) => {
                match &error {
                    CallerError::Failure { body, .. } => {
                        self.tally.borrow_mut().count_failure(body.as_bytes());
                    }
                    CallerError::Reported { failure, .. } => {
                        self.tally.borrow_mut().count_failure(&failure.to_json());
                    }
                    _ => {}
                }
                failed_outcome(&error, expected)
            }
        }
    }

    /// Sends a call to a plain service at its arrival time and records its latency.
    pub async fn run_call(self: Rc<Self>, call: CallScript) {
        self.wait_until(call.arrival).await;
        let caller = &self.callers[call.router][call.organisation];
        let (sent, path) = (self.started_at.elapsed(), format!("{FLEET_PATH}/gate/7"));
        let body = Bytes::from_static(b"{\"ticket\":7}");
        self.in_flight.set(self.in_flight.get() + 1);
        let answer = caller.call(Method::POST, &path, &[], body).await;
        self.in_flight.set(self.in_flight.get() - 1);
        let latency = match answer {
            Ok((StatusCode::OK, _)) => Some(self.started_at.elapsed() - sent),
            Ok((_, body)) => {
                self.tally.borrow_mut().count_failure(&body);
                None
            }
            Err(_) => None,
        };
        self.tally.borrow_mut().calls.push((sent, latency));
    }
}

fn failed_outcome(error: &CallerError, expected: &str) -> TurnOutcome {
    match error {
        CallerError::Failure { body, .. } => match serde_json::from_str::<FailureEnvelope>(body) {
            Ok(envelope) if envelope.error.outcome == FailureOutcome::NotRun => {
                TurnOutcome::Refused
            }
            _ => TurnOutcome::Failed,
        },
        CallerError::Short(answer) if expected.starts_with(&answer.text) => TurnOutcome::Short,
        CallerError::Partial { answer, .. } | CallerError::Reported { answer, .. }
            if expected.starts_with(&answer.text) =>
        {
            TurnOutcome::Cut
        }
        CallerError::Client(_) | CallerError::Request(_) => TurnOutcome::Failed,
        _ => TurnOutcome::Mixed,
    }
}
