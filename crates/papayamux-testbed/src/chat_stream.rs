//! A streamed chat that is read event by event, with the event ids from which it can be resumed at
//! another router.

use bytes::Bytes;
use http::{Method, StatusCode};
use papayamux_protocol::chat::{ChatChunk, ChatRequest, STREAM_END};
use papayamux_protocol::engine::CHAT_PATH;
use papayamux_protocol::headers::{LAST_EVENT_ID, SERVED_BY};
use papayamux_transport::http::ClientAnswer;

use crate::caller::{Caller, CallerAnswer, CallerError, MAX_ANSWER_BYTES};

/// A server-sent event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's id, or an empty string.
    pub id: String,
    /// The event's type, or an empty string.
    pub kind: String,
    /// The event's data, or an empty string.
    pub data: String,
}

/// The streamed answer to a chat request.
pub struct ChatStream {
    answer: ClientAnswer,
    pending: Vec<u8>,
    /// The server that generates the answer.
    pub server: String,
    /// The text received so far.
    pub text: String,
    /// The id of the last event that had one.
    pub last_id: String,
    /// Whether the event that ends the stream was received.
    pub is_whole: bool,
}

impl ChatStream {
    /// Sends a chat request, or resumes one after the event `last_id`.
    pub async fn start(
        caller: &Caller,
        request: &ChatRequest,
        last_id: Option<&str>,
    ) -> Result<Self, CallerError> {
        let body = serde_json::to_vec(request).map_err(invalid_answer)?;
        let headers: Vec<_> = last_id.map(|id| (LAST_EVENT_ID, id)).into_iter().collect();
        let answer = caller.send_once(Method::POST, CHAT_PATH, &headers, body.into()).await?;
        if answer.head.status != StatusCode::OK {
            let status = answer.head.status;
            let body: Bytes = answer.read_body(MAX_ANSWER_BYTES).await?;
            let body = String::from_utf8_lossy(&body).into_owned();
            return Err(CallerError::Failure { status, body });
        }
        let served_by = answer.head.headers.get(SERVED_BY).and_then(|value| value.to_str().ok());
        Ok(Self {
            server: served_by.unwrap_or_default().to_string(),
            answer,
            pending: Vec::new(),
            text: String::new(),
            last_id: String::new(),
            is_whole: false,
        })
    }

    /// Reads the next event. Returns `None` at the end of the body.
    pub async fn next_event(&mut self) -> Result<Option<StreamEvent>, CallerError> {
        loop {
            if let Some(end) = self.pending.windows(2).position(|pair| pair == b"\n\n") {
                let event: Vec<u8> = self.pending.drain(..end + 2).collect();
                return self.apply_event(&String::from_utf8_lossy(&event)).map(Some);
            }
            match self.answer.next_piece().await {
                None => return Ok(None),
                Some(Ok(piece)) => self.pending.extend_from_slice(&piece),
                Some(Err(error)) => {
                    let answer = CallerAnswer {
                        text: self.text.clone(),
                        server: self.server.clone(),
                        last_event: self.last_id.clone(),
                        ..CallerAnswer::default()
                    };
                    return Err(CallerError::Partial { answer: Box::new(answer), error });
                }
            }
        }
    }

    /// Reads `count` events, or fewer if the body ends before.
    pub async fn read_events(&mut self, count: usize) -> Result<(), CallerError> {
        for _ in 0..count {
            if self.next_event().await?.is_none() {
                break;
            }
        }
        Ok(())
    }

    /// Reads the remaining events.
    pub async fn read_rest(&mut self) -> Result<(), CallerError> {
        while self.next_event().await?.is_some() {}
        Ok(())
    }

    fn apply_event(&mut self, text: &str) -> Result<StreamEvent, CallerError> {
        let field = |name: &str| {
            let mut lines = text.lines();
            lines.find_map(|line| line.strip_prefix(name)).unwrap_or_default().to_string()
        };
        let event =
            StreamEvent { id: field("id: "), kind: field("event: "), data: field("data: ") };
        if !event.id.is_empty() {
            self.last_id = event.id.clone();
        }
        if event.kind.is_empty() && event.data == STREAM_END {
            self.is_whole = true;
        } else if event.kind.is_empty() {
            let chunk: ChatChunk = serde_json::from_str(&event.data).map_err(invalid_answer)?;
            chunk.choices.iter().for_each(|choice| self.text.push_str(&choice.delta.content));
        }
        Ok(event)
    }
}

fn invalid_answer(error: serde_json::Error) -> CallerError {
    CallerError::InvalidAnswer(error.to_string())
}
