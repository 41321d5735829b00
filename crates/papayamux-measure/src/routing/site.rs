//! Profiles of the two users' current sites, scaled so that a run takes seconds.

use std::fmt;
use std::ops::Range;
use std::str::FromStr;
use std::time::Duration;

/// The site to simulate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiteName {
    /// 12 engines and 3 ticket services; chats and many gate scans.
    Yanchang,
    /// 20 engines and 4 portal services; chats that share long rulebooks.
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
    /// The number of model engines.
    pub engines: usize,
    /// The number of plain services.
    pub services: usize,
    /// The number of routers; each request goes to one of them at random.
    pub routers: usize,
    /// The duration of one engine step.
    pub step: Duration,
    /// The number of slots in an engine's batch.
    pub batch: u64,
    /// The number of prompt tokens that an engine prefills in one step.
    pub prefill: u64,
    /// The number of blocks in an engine's prefix cache.
    pub cache_blocks: usize,
    /// New chats per second, over all organisations.
    pub chats_per_second: f64,
    /// The number of opening documents (rulebooks, house rules) per organisation.
    pub documents: usize,
    /// The number of tokens in an opening document.
    pub document_tokens: usize,
    /// The number of turns in a chat.
    pub turns: Range<usize>,
    /// The number of tokens in a user message.
    pub user_tokens: Range<usize>,
    /// The number of tokens in an answer.
    pub answer_tokens: Range<u32>,
    /// The mean pause between an answer and the next turn.
    pub pause: Duration,
    /// Calls to plain services per second.
    pub calls_per_second: f64,
}

impl SiteProfile {
    /// Returns the profile of a site.
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
