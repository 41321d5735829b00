//! How far a router knows the source, by its own reads and by the word of others.
//!
//! Two things have to hold at any time. The servers that are believed are those that the source listed at
//! the position. And whatever version of the configuration lies before the position is in force, or wanted:
//! changes behind the position don't show it any more.

use papayamux_state::boot_time::BootInstant;
use papayamux_state::service_config::ConfigVersion;
use papayamux_state::source::SourcePosition;

/// What another router states of the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedView {
    /// The position up to which it knows all.
    pub position: SourcePosition,
    /// Its changes of servers are those behind this position; `None` where it no longer has them all.
    pub after: Option<SourcePosition>,
    /// The newest version of the configuration up to its position.
    pub version: ConfigVersion,
    /// When that was known to be the newest, on the clock of the router that is told.
    pub known: BootInstant,
}

/// What the router that is told has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewInForce {
    /// The version of its configuration.
    pub version: ConfigVersion,
    /// When that was known to be the newest.
    pub confirmed: Option<BootInstant>,
}

/// What follows from a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportVerdict {
    /// Whether its changes of servers are to be taken over. The view's position is its position then.
    pub takes_servers: bool,
    /// Whether it is of a later moment than any statement before, or goes farther than what was known.
    /// Only then is it worth telling on: two routers that follow each other would else never stop.
    pub progresses: bool,
    /// Whether configuration and servers were the newest at the moment that it names.
    pub confirms: bool,
    /// Whether a read of this router's own is needed.
    pub needs_read: bool,
}

/// How far a router knows the source.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SourceView {
    position: Option<SourcePosition>,
    wanted: ConfigVersion,
    last_reported: Option<BootInstant>,
}

impl SourceView {
    /// The position behind which changes have to be read; `None` where everything has.
    pub fn position(&self) -> Option<SourcePosition> {
        self.position
    }

    /// The newest version of the configuration that lies before the position, as far as is known.
    pub fn newest(&self, in_force: ConfigVersion) -> ConfigVersion {
        self.wanted.max(in_force)
    }

    /// A version that another router has told of, newer than the one in force.
    pub fn wanted(&self, in_force: ConfigVersion) -> Option<ConfigVersion> {
        (self.wanted > in_force).then_some(self.wanted)
    }

    /// Decides what a statement is good for.
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
        // Never less than was wanted: an older version may be told of after a newer one.
        self.wanted = self.wanted.max(report.version);
        let is_newer = in_force.confirmed.is_none_or(|confirmed| report.known > confirmed);
        ReportVerdict {
            takes_servers: !is_older,
            progresses: is_later || report.position > own,
            confirms: report.version == in_force.version && is_newer,
            needs_read: report.version > in_force.version,
        }
    }

    /// Notes that a read brought the changes up to `at`; whether those of servers are to be taken over.
    ///
    /// Others may have told of more while it was under way. What it says of servers is older then: a
    /// drain that was told of would be taken back.
    pub fn record_changes(&mut self, at: SourcePosition) -> bool {
        let is_overtaken = self.position > Some(at);
        self.position = self.position.max(Some(at));
        !is_overtaken
    }

    /// Notes that a read brought everything, up to `at`.
    pub fn record_full_read(&mut self, at: SourcePosition) {
        self.position = Some(at);
    }

    /// Notes that everything has to be read.
    pub fn forget(&mut self) {
        self.position = None;
    }
}
