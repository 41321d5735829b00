//! What a fleet of routers knows of the source, and how it spreads: a few routers read the source, all
//! others follow one of them or one another.
//!
//! The source's price and load then stay nearly level however many routers there are, and readers can
//! afford to read more often than each router by itself could. Safety stays local: each router dates
//! what it hears on its own clock, and reads by itself once that is too old.

mod follower_table;
mod reader_order;
mod role_selector;
mod server_change_log;
mod source_readers;
mod source_view;
mod timestamped_report;

pub use follower_table::{FollowerEntry, FollowerTable};
pub use reader_order::{reader_count, reading_interval, ReaderOrder};
pub use role_selector::{RoleSelector, RoleView, SourceRole};
pub use server_change_log::{ServerChange, ServerChangeLog, ServerChangeSpan, ServerDigest};
pub use source_readers::{ReadersError, SourceReaders};
pub use source_view::{ReportVerdict, ReportedView, SourceView, ViewInForce};
pub use timestamped_report::{ReceivedQuery, ReportedOffset};
