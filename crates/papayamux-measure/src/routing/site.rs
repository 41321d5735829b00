//! The two users' sites of today, scaled so that a run takes seconds.

use std::fmt;
use std::ops::Range;
use std::str::FromStr;
use std::time::Duration;

/// Which user's site is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiteName {
    /// Twelve model runners and three ticket runners; chats and many gate scans.
    Yanchang,
    /// Twenty model runners and four portal runners; long rulebooks that chats share.
    Kitakaze,
}

impl fmt::Display for SiteName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            SiteName::Yanchang => "yanchang",
            SiteName::Kitakaze => "kitakaze",
        })
    }
}

impl FromStr for SiteName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "yanchang" => Ok(SiteName::Yanchang),
            "kitakaze" => Ok(SiteName::Kitakaze),
            other => Err(format!("unknown site {other:?}, known: yanchang, kitakaze")),
        }
    }
}

/// The size of a site and the shape of its traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct SiteProfile {
    /// Model engines.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
    /// Routers; each request goes to one of them at random.
    pub routers: usize,
    /// Time of one engine step.
    pub step: Duration,
    /// Places in an engine's batch.
    pub batch: u64,
    /// Prompt tokens that an engine computes in one step.
    pub prefill: u64,
    /// Blocks in an engine's prefix cache.
    pub cache_blocks: usize,
    /// Chats that begin in a second, over all organisations.
    pub chats_per_second: f64,
    /// Opening documents (rulebooks, house rules) of one organisation.
    pub documents: usize,
    /// Tokens of an opening document.
    pub document_tokens: usize,
    /// Turns of a chat.
    pub turns: Range<usize>,
    /// Tokens of what a user says in one turn.
    pub user_tokens: Range<usize>,
    /// Tokens of an answer.
    pub answer_tokens: Range<u32>,
    /// Mean pause between an answer and the next turn.
    pub pause: Duration,
    /// Calls to plain services in a second.
    pub calls_per_second: f64,
}

impl SiteProfile {
    /// The profile of a site.
    pub fn of(site: SiteName) -> Self {
        match site {
            SiteName::Yanchang => Self {
                engines: 12,
                services: 3,
                routers: 3,
                step: Duration::from_micros(4_000),
                batch: 8,
                prefill: 128,
                cache_blocks: 4_096,
                chats_per_second: 69.0,
                documents: 1,
                document_tokens: 300,
                turns: 3..9,
                user_tokens: 40..300,
                answer_tokens: 16..56,
                pause: Duration::from_millis(1_200),
                calls_per_second: 60.0,
            },
            SiteName::Kitakaze => Self {
                engines: 20,
                services: 4,
                routers: 3,
                step: Duration::from_micros(3_300),
                batch: 6,
                prefill: 128,
                cache_blocks: 4_096,
                chats_per_second: 125.0,
                documents: 3,
                document_tokens: 3_000,
                turns: 2..8,
                user_tokens: 20..120,
                answer_tokens: 16..56,
                pause: Duration::from_millis(1_200),
                calls_per_second: 30.0,
            },
        }
    }
}
