//! Dates on one router's clock what another one knows, without a common clock.
//!
//! A router asks; the other notes on its own clock when it heard that. What it states later is dated
//! relative to that moment. The asker adds the difference to its own moment of asking, which was
//! earlier than the hearing: so it never takes what it is told for newer than it is, whatever the way
//! took, and however long either of them stood still. Over several hops the differences add up.

use papayamux_state::boot_time::BootInstant;

use crate::freshness_confirmation::FreshnessQuery;

/// Milliseconds from the hearing of a question to the moment that a statement dates; negative where
/// that moment was earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportedOffset(pub i64);

/// A question of another router, as this one heard it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedQuery {
    /// The question.
    pub query: FreshnessQuery,
    /// When it was heard, on this router's clock.
    pub received: BootInstant,
}

impl ReceivedQuery {
    /// How a moment on this router's clock is stated to the asker; rounded to the past.
    pub fn offset_to(&self, known: BootInstant) -> ReportedOffset {
        let millis = |instant: BootInstant| i64::try_from(instant.0.as_millis());
        let (Ok(known), Ok(received)) = (millis(known), millis(self.received)) else {
            return ReportedOffset(i64::MIN);
        };
        // Both were cut off to whole milliseconds, the one that counts against the asker by up to one.
        ReportedOffset(known.saturating_sub(received).saturating_sub(1))
    }
}

impl ReportedOffset {
    /// The moment on the clock of the router that asked; `None` where it lies before that clock's
    /// beginning. Never later than `now`.
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
