//! The part of the chat completions interface that routing needs to understand.
//!
//! The body itself goes to the engine as the caller sent it.

use papayamux_state::chat_key::{derive_chat_key, named_chat_key, ChatOpening};
use papayamux_state::ids::{AdapterId, ChatKey, IdError, ModelId, OrganisationId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a chat request can't be taken.
#[derive(Debug, Error)]
pub enum ChatError {
    /// The body is not JSON of the expected shape; the text names line and column.
    #[error("the body is not a chat request: {0}")]
    Shape(#[from] serde_json::Error),
    /// A field that must be an identifier is none.
    #[error("field {field:?}: {source}")]
    Field {
        /// The field's name.
        field: &'static str,
        /// What is wrong with it.
        source: IdError,
    },
    /// There is no message.
    #[error("field \"messages\": at least one message is needed")]
    NoMessages,
}

/// One turn of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// What was said.
    pub content: String,
}

/// A chat completion request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The model asked for.
    pub model: String,
    /// The adapter asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The turns so far, the oldest first.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is to be streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The most tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// The caller's id of the conversation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conversation: Option<String>,
}

/// A chat request with its identifiers checked.
#[derive(Debug, Clone)]
pub struct ChatCall {
    /// The model asked for.
    pub model: ModelId,
    /// The adapter asked for.
    pub adapter: Option<AdapterId>,
    /// The key under which the chat comes back.
    pub chat: ChatKey,
    /// The request as parsed.
    pub request: ChatRequest,
}

/// Reads the body of a chat request.
pub fn parse_chat_call(
    organisation: &OrganisationId,
    conversation_header: Option<&str>,
    body: &[u8],
) -> Result<ChatCall, ChatError> {
    let request: ChatRequest = serde_json::from_slice(body)?;
    if request.messages.is_empty() {
        return Err(ChatError::NoMessages);
    }
    let model: ModelId = parse_field("model", &request.model)?;
    let adapter: Option<AdapterId> =
        request.adapter.as_deref().map(|text| parse_field("adapter", text)).transpose()?;
    let conversation = conversation_header.or(request.conversation.as_deref());
    let chat = match conversation {
        Some(conversation) => named_chat_key(organisation, conversation),
        None => derive_chat_key(ChatOpening {
            organisation,
            model: &model,
            adapter: adapter.as_ref(),
            first_turns: &first_turns(&request.messages),
        }),
    };
    Ok(ChatCall { model, adapter, chat, request })
}

fn parse_field<T: std::str::FromStr<Err = IdError>>(
    field: &'static str,
    text: &str,
) -> Result<T, ChatError> {
    text.parse().map_err(|source| ChatError::Field { field, source })
}

/// The turns up to and including the user's first.
fn first_turns(messages: &[ChatMessage]) -> Vec<&str> {
    let first_user = messages.iter().position(|message| message.role == "user");
    let opening = &messages[..=first_user.unwrap_or(messages.len() - 1)];
    opening.iter().flat_map(|message| [message.role.as_str(), message.content.as_str()]).collect()
}

/// Token counts at the end of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Of the prompt, what came from the cache.
    #[serde(default)]
    pub prompt_tokens_details: PromptDetails,
}

/// What is known of the prompt's tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptDetails {
    /// Tokens found in the prefix cache.
    pub cached_tokens: u64,
}

/// One server-sent event of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// The id of the completion.
    pub id: String,
    /// The choices; this product asks for one.
    pub choices: Vec<ChunkChoice>,
    /// Token counts, in the last chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageReport>,
}

/// The choice inside a streamed chunk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// What is added to the answer.
    pub delta: ChunkDelta,
    /// Why generation ended, in the last chunk only.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Text that a chunk adds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkDelta {
    /// The text.
    #[serde(default)]
    pub content: String,
}

/// A whole answer, where the caller asked for no stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatCompletion {
    /// The id of the completion.
    pub id: String,
    /// The choices; this product asks for one.
    pub choices: Vec<CompletionChoice>,
    /// Token counts.
    pub usage: UsageReport,
}

/// The choice inside a whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// The answer.
    pub message: ChatMessage,
    /// Why generation ended.
    pub finish_reason: String,
}

/// The data of the event that ends a stream.
pub const STREAM_END: &str = "[DONE]";
