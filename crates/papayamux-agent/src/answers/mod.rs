//! Buffers answers until routers have received them, so that an interrupted stream can resume.

mod answer_record;
mod answer_store;
mod buffered_bytes;
mod event_tagger;

pub use answer_record::{AnswerRecord, Attachment, AttachmentKey};
pub use answer_store::{sweep_answers, AnswerStore, StoreLimits};
pub use event_tagger::{EventTagger, EventTooLong, TaggedPiece};
