//! Prompts as chains of parts, and which server was given which of them.

mod prompt_chain;
mod warm_parts;

pub use prompt_chain::{ChainError, PartId, PartIdError, PromptChain, PromptPart};
pub use warm_parts::WarmParts;
