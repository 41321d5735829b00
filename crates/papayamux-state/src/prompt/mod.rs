//! Prompts as chains of parts, and models of which parts a server has cached.

mod prompt_chain;
mod warm_parts;

pub use prompt_chain::{ChainError, PartId, PartIdError, PromptChain, PromptPart};
pub use warm_parts::WarmParts;
