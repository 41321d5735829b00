//! Idempotency keys of non-idempotent calls: the agent grants claims as a witness and keeps the
//! answers for retries.

mod claim_settings;
mod kept_answers;
mod recall;
mod run_recorder;
mod witness;

pub use claim_settings::ClaimSettings;
pub use kept_answers::KeptAnswers;
pub use recall::{serve_recall, RecallStream};
pub use run_recorder::RunRecorder;
pub use witness::ClaimWitness;
