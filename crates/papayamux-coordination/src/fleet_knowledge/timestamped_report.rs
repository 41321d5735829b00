//! Timestamps what one router knows on another router's clock, without a common clock.
//!
//! A router sends a query, and the other records on its own clock when it received it. Its later reports
//! carry an offset to that time. The querying router adds the offset to the time at which it sent the
//! query, which is earlier than the receipt. It therefore never takes a report for newer than it is,
//! regardless of network delays and of pauses of either router. Over several hops, the errors add up.

use papayamux_state::boot_time::BootInstant;

use crate::freshness_confirmation::FreshnessQuery;

/// Milliseconds from the receipt of a query to the time that a report refers to; negative if that time is
/// earlier than the receipt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportedOffset(pub i64);

/// A query of another router, with the time of its receipt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedQuery {
    /// The query.
    pub query: FreshnessQuery,
    /// Time of receipt, on this router's clock.
    pub received: BootInstant,
}

impl ReceivedQuery {
    /// Returns the offset by which a time on this router's clock is reported to the querying router, rounded
    /// towards the past.
    pub fn offset_to(&self, known: BootInstant) -> ReportedOffset {
        let millis = |instant: BootInstant| i64::try_from(instant.0.as_millis());
        let (Ok(known), Ok(received)) = (millis(known), millis(self.received)) else {
            return ReportedOffset(i64::MIN);
        };
        // Both times are truncated to milliseconds. Truncating the receipt can increase the offset by up to
        // one millisecond, which is subtracted.
        ReportedOffset(known.saturating_sub(received).saturating_sub(1))
    }
}

impl ReportedOffset {
    /// Returns the reported time on the querying router's clock, at most `now`; `None` if it lies before
    /// that clock's start.
    pub fn on_querier_clock(self, query: FreshnessQuery, now: BootInstant) -> Option<BootInstant> {
        let sent_at = query.sent_at;
        let span = std::time::Duration::from_millis(self.0.unsigned_abs());
        let known = match self.0 {
            0.. => sent_at.after(span),
            _ => BootInstant(sent_at.0.checked_sub(span)?),
        };
        Some(known.min(now))
    }
}
