//! Routers vouch for one another's configuration.
//!
//! A router that can't reach the source knows nothing of keys that were taken away since. One that
//! can may tell it that its configuration is still the newest. What counts is when the other router's
//! read was sent, on the clock of the one that asks: no later than its question plus the age that the
//! answer states. So the time on the way, and a pause of either router, only make it older.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use papayamux_state::boot_time::BootInstant;
use papayamux_state::service_config::ConfigVersion;

/// Age of the own confirmation, as a part of the longest at which keys are accepted, from which others
/// are asked: one read of the source may be lost without a question.
const ASK_FROM_PART: f64 = 0.5;
/// How long a question is answered: the next reports to its sender, of which one may be lost.
const ANSWERED_WITHIN: Duration = Duration::from_secs(1);

/// A question, by which its answer is known again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VouchQuestion {
    /// The life of the router that asks, drawn at its start: its clock begins anew when its instance
    /// does.
    pub life: u64,
    /// When it asked, on its own clock.
    pub asked: BootInstant,
}

/// What a router knows of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VouchStatement {
    /// The version that it has in force.
    pub version: ConfigVersion,
    /// How long ago that was known to be the newest.
    pub age: Duration,
}

/// Whether to ask others, with a confirmation of this age.
pub fn should_ask(age: Option<Duration>, longest: Option<Duration>) -> bool {
    let Some(longest) = longest else { return false };
    age.is_some_and(|age| age >= longest.mul_f64(ASK_FROM_PART))
}

/// Until when the configuration of the router that asked is known to have been the newest, by an
/// answer that arrived at `now`; `None` where it vouches for nothing.
pub fn vouched_until(
    question: VouchQuestion,
    own: (u64, ConfigVersion),
    statement: VouchStatement,
    now: BootInstant,
) -> Option<BootInstant> {
    let (life, version) = own;
    let answers = question.life == life && question.asked <= now;
    let vouches = statement.version == version && statement.age <= question.asked.0;
    (answers && vouches).then(|| BootInstant(question.asked.0.saturating_sub(statement.age)))
}

/// The questions of other routers that are still to be answered.
#[derive(Debug)]
pub struct VouchQuestions<R> {
    open: HashMap<R, (VouchQuestion, Instant)>,
}

impl<R> Default for VouchQuestions<R> {
    fn default() -> Self {
        Self { open: HashMap::new() }
    }
}

impl<R: Copy + Eq + Hash> VouchQuestions<R> {
    /// Notes what `router` asks.
    pub fn note(&mut self, router: R, question: VouchQuestion, now: Instant) {
        self.open.insert(router, (question, now));
    }

    /// The questions to answer now.
    pub fn open(&mut self, now: Instant) -> Vec<(R, VouchQuestion)> {
        self.open.retain(|_, (_, noted)| now.duration_since(*noted) < ANSWERED_WITHIN);
        self.open.iter().map(|(router, (question, _))| (*router, *question)).collect()
    }
}
