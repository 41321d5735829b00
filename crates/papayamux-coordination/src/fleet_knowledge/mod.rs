//! Distribution of the source's state within the router fleet: a few routers read the source, all others
//! follow one of them or one another.
//!
//! The cost and load of the source thereby stay nearly constant regardless of the number of routers, and
//! readers can afford to read more often than each router on its own could. Safety stays local: each
//! router timestamps received updates on its own clock, and reads the source itself once they are too old.

mod follower_table;
mod reader_order;
mod role_selector;
mod server_change_log;
mod source_readers;
mod source_view;
mod timestamped_report;
mod view_distributor;
mod view_search;

pub use follower_table::{FollowerEntry, FollowerTable};
pub use reader_order::{reader_count, reading_interval, ReaderOrder};
pub use role_selector::{RoleSelector, RoleView, SourceRole, ViewOrigin};
pub use server_change_log::{ServerChange, ServerChangeLog, ServerChangeSpan, ServerDigest};
pub use source_readers::{ReadersError, SourceReaders};
pub use source_view::{ReportVerdict, ReportedView, SourceView, ViewInForce};
pub use timestamped_report::{ReceivedQuery, ReportedOffset};
pub use view_distributor::{TransferVerdict, ViewDistributor};
pub use view_search::{SearchStep, ViewSearch, HOLD_TIME};
