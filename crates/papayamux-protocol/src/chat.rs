//! The part of the chat completions interface that routing depends on.
//!
//! The body is forwarded to the engine unchanged.

use papayamux_state::chat_key::{derive_chat_key, named_chat_key, ChatOpening};
use papayamux_state::ids::{AdapterId, ChatKey, IdError, ModelId, OrganisationId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The error of parsing a chat request.
#[derive(Debug, Error)]
pub enum ChatError {
    /// The body is not JSON of the expected structure. The message contains line and column.
    #[error("the body is not a chat request: {0}")]
    Shape(#[from] serde_json::Error),
    /// A field is not a valid identifier.
    #[error("field {field:?}: {source}")]
    Field {
        /// The field's name.
        field: &'static str,
        /// The cause.
        source: IdError,
    },
    /// The list of messages is empty.
    #[error("field \"messages\": at least one message is needed")]
    NoMessages,
}

/// One turn of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// The text of the turn.
    pub content: String,
}

/// A chat completion request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The requested model.
    pub model: String,
    /// The requested adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The turns of the chat, the oldest first.
    pub messages: Vec<ChatMessage>,
    /// `true` if the answer is to be streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// The caller's id of the conversation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conversation: Option<String>,
}

/// A chat request with validated identifiers.
#[derive(Debug, Clone)]
pub struct ChatCall {
    /// The requested model.
    pub model: ModelId,
    /// The requested adapter.
    pub adapter: Option<AdapterId>,
    /// The key that identifies later requests of the same chat.
    pub chat: ChatKey,
    /// The parsed request.
    pub request: ChatRequest,
}

/// Parses and validates the body of a chat request.
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
            first_messages: &first_messages(&request.messages),
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

/// Returns the roles and texts of the messages up to and including the user's first.
fn first_messages(messages: &[ChatMessage]) -> Vec<&str> {
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
    /// The number of prompt tokens that came from the cache.
    #[serde(default)]
    pub prompt_tokens_details: PromptDetails,
}

/// Details of the prompt tokens.
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
    /// The choices; papayamux requests a single one.
    pub choices: Vec<ChunkChoice>,
    /// Token counts, in the last chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageReport>,
}

/// The choice inside a streamed chunk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// The text added to the answer.
    pub delta: ChunkDelta,
    /// The reason why generation ended, in the last chunk only.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// The text added by a chunk.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkDelta {
    /// The text.
    #[serde(default)]
    pub content: String,
}

/// A complete answer to a request without streaming.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatCompletion {
    /// The id of the completion.
    pub id: String,
    /// The choices; papayamux requests a single one.
    pub choices: Vec<CompletionChoice>,
    /// Token counts.
    pub usage: UsageReport,
}

/// The choice inside a complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// The answer.
    pub message: ChatMessage,
    /// The reason why generation ended.
    pub finish_reason: String,
}

/// The data of the event that ends a stream.
pub const STREAM_END: &str = "[DONE]";
