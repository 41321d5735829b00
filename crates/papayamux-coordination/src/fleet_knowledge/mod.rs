//! What a fleet of routers knows of the source, and how it spreads: a few routers read the source, all
//! others follow one of them or one another.
//!
//! The source's price and load then stay nearly level however many routers there are, and readers can
//! afford to read more often than each router by itself could. Safety stays local: each router dates
//! what it hears on its own clock, and reads by itself once that is too old.

mod belief_journal;
mod dated_statement;
mod follower_table;
mod reader_order;
mod source_duty;
mod source_readers;
mod source_view;

pub use belief_journal::{BeliefChange, BeliefDigest, BeliefJournal, BeliefSpan};
pub use dated_statement::{HeardQuestion, StatedShift};
pub use follower_table::{FollowerEntry, FollowerTable};
pub use reader_order::{reader_count, reading_interval, ReaderOrder};
pub use source_duty::{DutyView, SourceDuty, SourceRole};
pub use source_readers::{ReadersError, SourceReaders};
pub use source_view::{NewsVerdict, SourceView, StatedView, ViewInForce};
