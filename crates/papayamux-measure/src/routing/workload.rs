//! The callers' script: a function of seed, site and scenario alone, the same for every policy.

use std::ops::Range;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::scenario::Scenario;
use super::site::SiteProfile;

/// Organisations of a site.
pub const ORGANISATIONS: usize = 10;
/// The organisation that surges.
pub const SURGING_ORGANISATION: usize = 3;
const SURGE_FACTOR: f64 = 8.0;
/// When the surge begins and ends, as shares of the run.
const SURGE_SHARES: (f64, f64) = (0.4, 0.73);
/// Turns of a chat that belongs to a surge.
const SURGE_TURNS: Range<usize> = 1..3;
/// Seconds at a run's start in which the chats begin that would have been there already.
const FILL_SECONDS: f64 = 2.0;
/// About the time from the sending of a turn to the end of its answer.
const ANSWER_SECONDS: f64 = 0.25;
/// Share of the chats that open alike in the scenario `hot`.
const HOT_SHARE: f64 = 0.25;
/// Share of the chats whose callers name the conversation.
const NAMED_SHARE: f64 = 0.5;
const BYTES_PER_TOKEN: usize = 4;

const WORDS: [&str; 16] = [
    "coach", "guide", "ticket", "refund", "cavern", "lift", "lunch", "group", "letter", "scheme",
    "clerk", "window", "salary", "member", "notice", "transfer",
];

/// One turn of a chat.
#[derive(Debug, Clone, PartialEq)]
pub struct TurnScript {
    /// What the user says.
    pub text: String,
    /// Tokens of the answer.
    pub answer_tokens: u32,
    /// The router that gets the turn.
    pub router: usize,
    /// The pause after the answer.
    pub pause: Duration,
}

/// A chat.
#[derive(Debug, Clone, PartialEq)]
pub struct ChatScript {
    /// When its first turn is sent.
    pub arrival: Duration,
    /// The organisation, by rank of size.
    pub organisation: usize,
    /// Which of the organisation's documents opens it.
    pub document: usize,
    /// The conversation that the caller names, if it does.
    pub conversation: Option<String>,
    /// The turns.
    pub turns: Vec<TurnScript>,
}

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct CallScript {
    /// When it is sent.
    pub arrival: Duration,
    /// The organisation.
    pub organisation: usize,
    /// The router that gets it.
    pub router: usize,
}

/// All that the callers are going to do.
#[derive(Debug, Clone, PartialEq)]
pub struct Workload {
    /// The organisations' opening documents.
    pub documents: Vec<Vec<String>>,
    /// Chats by arrival.
    pub chats: Vec<ChatScript>,
    /// Calls by arrival.
    pub calls: Vec<CallScript>,
}

/// The name of an organisation.
pub fn organisation_name(organisation: usize) -> String {
    format!("organisation-{organisation}")
}

/// The share of the chats that an organisation has: Zipf's law with exponent one.
fn organisation_share(organisation: usize) -> f64 {
    let total: f64 = (1..=ORGANISATIONS).map(|rank| 1.0 / rank as f64).sum();
    1.0 / (organisation + 1) as f64 / total
}

impl Workload {
    /// The script for `seconds` of a scenario.
    pub fn generate(seed: u64, site: &SiteProfile, scenario: Scenario, seconds: f64) -> Self {
        let mut writer = ScriptWriter { random: StdRng::seed_from_u64(seed), site };
        let documents = (0..ORGANISATIONS)
            .map(|_| (0..site.documents).map(|_| writer.text(site.document_tokens)).collect())
            .collect();
        let mut chats = writer.usual_chats(scenario, seconds);
        if scenario == Scenario::Surge {
            chats.extend(writer.surge_chats(seconds));
            chats.sort_by_key(|chat| chat.arrival);
        }
        let calls = writer.calls(seconds);
        Self { documents, chats, calls }
    }
}

fn mean(range: &Range<usize>) -> f64 {
    (range.start + range.end - 1) as f64 / 2.0
}

struct ScriptWriter<'a> {
    random: StdRng,
    site: &'a SiteProfile,
}

impl ScriptWriter<'_> {
    fn usual_chats(&mut self, scenario: Scenario, seconds: f64) -> Vec<ChatScript> {
        let hot_opening = self.text(self.site.user_tokens.end);
        let mut chats = Vec::new();
        let fill_rate = self.site.chats_per_second * self.mean_life() / FILL_SECONDS;
        let fill = self.arrivals(fill_rate, 0.0, FILL_SECONDS.min(seconds));
        let new = self.arrivals(self.site.chats_per_second, 0.0, seconds);
        let fill = fill.into_iter().map(|arrival| (arrival, true));
        let arrivals = fill.chain(new.into_iter().map(|arrival| (arrival, false)));
        for (arrival, is_fill) in arrivals {
            let organisation = self.organisation();
            let turns = self.site.turns.clone();
            let mut chat = self.chat(arrival, organisation, turns);
            if is_fill {
                let left = self.random.random_range(1..=chat.turns.len());
                chat.turns.truncate(left);
            }
            let hot = scenario == Scenario::Hot && self.random.random_bool(HOT_SHARE);
            if hot {
                (chat.organisation, chat.document, chat.conversation) = (0, 0, None);
                chat.turns[0].text.clone_from(&hot_opening);
            }
            chats.push(chat);
        }
        chats.sort_by_key(|chat| chat.arrival);
        chats
    }

    /// The mean time in seconds from a chat's first turn to its last.
    fn mean_life(&self) -> f64 {
        mean(&self.site.turns) * (self.site.pause.as_secs_f64() + ANSWER_SECONDS)
    }

    fn surge_chats(&mut self, seconds: f64) -> Vec<ChatScript> {
        let usual_turns = self.site.chats_per_second
            * organisation_share(SURGING_ORGANISATION)
            * mean(&self.site.turns);
        let rate = usual_turns * (SURGE_FACTOR - 1.0) / mean(&SURGE_TURNS);
        let (from, until) = (SURGE_SHARES.0 * seconds, SURGE_SHARES.1 * seconds);
        let arrivals = self.arrivals(rate, from, until);
        let chat = |arrival| self.chat(arrival, SURGING_ORGANISATION, SURGE_TURNS);
        arrivals.into_iter().map(chat).collect()
    }

    fn calls(&mut self, seconds: f64) -> Vec<CallScript> {
        let arrivals = self.arrivals(self.site.calls_per_second, 0.0, seconds);
        let call = |arrival| {
            let organisation = self.organisation();
            CallScript { arrival, organisation, router: self.router() }
        };
        arrivals.into_iter().map(call).collect()
    }

    /// Arrivals of a Poisson process between two times in seconds.
    fn arrivals(&mut self, rate: f64, from: f64, until: f64) -> Vec<Duration> {
        let mut arrivals = Vec::new();
        let mut at = from + self.exponential(1.0 / rate);
        while at < until {
            arrivals.push(Duration::from_secs_f64(at));
            at += self.exponential(1.0 / rate);
        }
        arrivals
    }

    fn chat(&mut self, arrival: Duration, organisation: usize, turns: Range<usize>) -> ChatScript {
        let named = self.random.random_bool(NAMED_SHARE);
        let id: u64 = self.random.random();
        let document = self.random.random_range(0..self.site.documents);
        let turns = (0..self.random.random_range(turns)).map(|_| self.turn()).collect();
        let conversation = named.then(|| format!("conversation-{id:016x}"));
        ChatScript { arrival, organisation, document, conversation, turns }
    }

    fn turn(&mut self) -> TurnScript {
        let tokens = self.random.random_range(self.site.user_tokens.clone());
        TurnScript {
            text: self.text(tokens),
            answer_tokens: self.random.random_range(self.site.answer_tokens.clone()),
            router: self.router(),
            pause: Duration::from_secs_f64(self.exponential(self.site.pause.as_secs_f64())),
        }
    }

    fn text(&mut self, tokens: usize) -> String {
        let mut text = format!("{:08x}", self.random.random::<u32>());
        while text.len() < tokens * BYTES_PER_TOKEN {
            text.push(' ');
            text.push_str(WORDS[self.random.random_range(0..WORDS.len())]);
        }
        text.truncate(tokens * BYTES_PER_TOKEN);
        text
    }

    fn organisation(&mut self) -> usize {
        let mut left: f64 = self.random.random();
        for organisation in 0..ORGANISATIONS {
            left -= organisation_share(organisation);
            if left < 0.0 {
                return organisation;
            }
        }
        ORGANISATIONS - 1
    }

    fn router(&mut self) -> usize {
        self.random.random_range(0..self.site.routers)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.random.random();
        -mean * (1.0 - uniform).ln()
    }
}
