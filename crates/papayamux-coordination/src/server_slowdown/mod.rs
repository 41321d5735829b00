//! How much other work on their machines slows servers down at the moment.
//!
//! Servers report it with their answers. The value changes several times a second, so that a report
//! of a second ago says little more than the mean of the last ones.

mod slowdown_change;
mod slowdown_estimate;
mod slowdown_tracker;

pub use slowdown_change::SlowdownChange;
pub use slowdown_estimate::SlowdownEstimate;
pub use slowdown_tracker::SlowdownTracker;
