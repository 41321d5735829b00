//! Position up to which a router knows the source, from its own reads and from reports of other routers.
//!
//! Two invariants hold at any time. The known servers are those that the source listed at the position.
//! And the newest configuration version up to the position is in force, or wanted: a read of the changes
//! after the position doesn't return it any more.

use papayamux_state::boot_time::BootInstant;
use papayamux_state::service_config::ConfigVersion;
use papayamux_state::source::SourcePosition;

/// Report of another router on its view of the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedView {
    /// Position up to which the sender knows all changes.
    pub position: SourcePosition,
    /// Position after which the report contains all changes of servers; `None` if some may be missing.
    pub after: Option<SourcePosition>,
    /// Newest configuration version up to `position`.
    pub version: ConfigVersion,
    /// Time at which that was known to be the newest, on the receiving router's clock.
    pub known: BootInstant,
}

/// The configuration that the receiving router has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewInForce {
    /// Version in force.
    pub version: ConfigVersion,
    /// Time at which that version was known to be the newest.
    pub confirmed: Option<BootInstant>,
}

/// Consequences of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportVerdict {
    /// `true` if its changes of servers must be applied. The view has moved to its position then.
    pub takes_servers: bool,
    /// `true` if it refers to a later time than all reports before, or to a later position than the known
    /// one. Only such a report is relayed; otherwise, two routers that follow each other would never stop.
    pub progresses: bool,
    /// `true` if configuration and servers are confirmed to be the newest at the reported time.
    pub confirms: bool,
    /// `true` if this router must read the source itself.
    pub needs_read: bool,
}

/// A router's view of the source.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SourceView {
    position: Option<SourcePosition>,
    wanted: ConfigVersion,
    last_reported: Option<BootInstant>,
}

impl SourceView {
    /// Returns the position after which changes must be read; `None` if a full read is required.
    pub fn position(&self) -> Option<SourcePosition> {
        self.position
    }

    /// Returns the newest known configuration version up to the position.
    pub fn newest(&self, in_force: ConfigVersion) -> ConfigVersion {
        self.wanted.max(in_force)
    }

    /// Returns the version reported by another router, if it is newer than the one in force.
    pub fn wanted(&self, in_force: ConfigVersion) -> Option<ConfigVersion> {
        (self.wanted > in_force).then_some(self.wanted)
    }

    /// Applies a report to the view and returns its consequences.
    pub fn evaluate_report(
        &mut self,
        report: ReportedView,
        in_force: ViewInForce,
    ) -> ReportVerdict {
        let rejected = ReportVerdict {
            takes_servers: false,
            progresses: false,
            confirms: false,
            needs_read: true,
        };
        let Some(own) = self.position else { return rejected };
        let is_older = report.position < own;
        let is_contiguous = report.after.is_some_and(|after| after <= own);
        if !is_older && !is_contiguous {
            return rejected;
        }
        if !is_older {
            self.position = Some(report.position);
        }
        let is_later = self.last_reported.is_none_or(|last_reported| report.known > last_reported);
        self.last_reported = self.last_reported.max(Some(report.known));
        // Never decreases, since an older version may be reported after a newer one.
        self.wanted = self.wanted.max(report.version);
        let is_newer = in_force.confirmed.is_none_or(|confirmed| report.known > confirmed);
        ReportVerdict {
            takes_servers: !is_older,
            progresses: is_later || report.position > own,
            confirms: report.version == in_force.version && is_newer,
            needs_read: report.version > in_force.version,
        }
    }

    /// Applies a complete view of another router and returns its consequences. Unlike a report of changes, it
    /// follows on any position, also if nothing is known yet.
    pub fn evaluate_complete_view(
        &mut self,
        report: ReportedView,
        in_force: ViewInForce,
    ) -> ReportVerdict {
        self.position.get_or_insert_default();
        let after = Some(SourcePosition::default());
        self.evaluate_report(ReportedView { after, ..report }, in_force)
    }

    /// Records a read of the changes up to `at`. Returns the position after which its changes of servers must be
    /// applied.
    ///
    /// Reports of other routers may have moved the view further while the read was in flight. Its changes up to
    /// there are outdated, and applying them would, for example, revert a reported drain, or bring a server
    /// back that is known to have departed.
    pub fn record_changes(&mut self, at: SourcePosition) -> SourcePosition {
        let own = self.position.unwrap_or_default();
        self.position = self.position.max(Some(at));
        own
    }

    /// Records a full read, up to `at`.
    pub fn record_full_read(&mut self, at: SourcePosition) {
        self.position = Some(at);
    }

    /// Discards the position, so that a full read is required.
    pub fn forget(&mut self) {
        self.position = None;
    }
}
