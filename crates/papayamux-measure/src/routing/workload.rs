//! The generated workload. It depends only on seed, site, scenario and run length, so that every
//! policy gets the same one.

use std::ops::Range;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::scenario::Scenario;
use super::site::SiteProfile;

/// The number of organisations at a site.
pub const ORGANISATIONS: usize = 10;
/// The organisation that sends the surge.
pub const SURGING_ORGANISATION: usize = 3;
const SURGE_FACTOR: f64 = 8.0;
/// Start and end of the surge, as shares of the run.
const SURGE_SHARES: (f64, f64) = (0.4, 0.73);
/// The number of turns of a surge chat.
const SURGE_TURNS: Range<usize> = 1..3;
/// Period at the start of a run, in seconds, in which additional chats begin. They stand for the
/// chats that would already be in progress.
const FILL_SECONDS: f64 = 2.0;
/// Approximate time in seconds from sending a turn to the end of its answer.
const ANSWER_SECONDS: f64 = 0.25;
/// The share of chats with the same opening in the scenario `hot`.
const HOT_SHARE: f64 = 0.25;
/// The share of chats whose callers send a conversation id.
const NAMED_SHARE: f64 = 0.5;
const BYTES_PER_TOKEN: usize = 4;

const WORDS: [&str; 16] = [
    "coach", "guide", "ticket", "refund", "cavern", "lift", "lunch", "group", "letter", "scheme",
    "clerk", "window", "salary", "member", "notice", "transfer",
];

/// One generated turn of a chat.
#[derive(Debug, Clone, PartialEq)]
pub struct TurnScript {
    /// The text of the user message.
    pub text: String,
    /// The number of tokens in the answer.
    pub answer_tokens: u32,
    /// The index of the router that receives the turn.
    pub router: usize,
    /// The pause between the answer and the next turn.
    pub pause: Duration,
}

/// One generated chat.
#[derive(Debug, Clone, PartialEq)]
pub struct ChatScript {
    /// The time at which the first turn is sent, since the start of the run.
    pub arrival: Duration,
    /// The organisation, as its rank by size from 0.
    pub organisation: usize,
    /// The index of the organisation's document that opens the chat.
    pub document: usize,
    /// The conversation id, if the caller sends one.
    pub conversation: Option<String>,
    /// The turns, in order.
    pub turns: Vec<TurnScript>,
}

/// One generated call to a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct CallScript {
    /// The time at which the call is sent, since the start of the run.
    pub arrival: Duration,
    /// The organisation, as its rank by size from 0.
    pub organisation: usize,
    /// The index of the router that receives the call.
    pub router: usize,
}

/// All requests that callers send during a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Workload {
    /// The opening documents of each organisation.
    pub documents: Vec<Vec<String>>,
    /// The chats, ordered by arrival.
    pub chats: Vec<ChatScript>,
    /// The calls, ordered by arrival.
    pub calls: Vec<CallScript>,
}

/// Returns the name of an organisation.
pub fn organisation_name(organisation: usize) -> String {
    format!("organisation-{organisation}")
}

/// Returns an organisation's share of all chats, which follows Zipf's law with exponent 1.
fn organisation_share(organisation: usize) -> f64 {
    let total: f64 = (1..=ORGANISATIONS).map(|rank| 1.0 / rank as f64).sum();
    1.0 / (organisation + 1) as f64 / total
}

impl Workload {
    /// Generates the workload for a run of `seconds`.
    pub fn generate(seed: u64, site: &SiteProfile, scenario: Scenario, seconds: f64) -> Self {
        let mut generator = WorkloadGenerator { random: StdRng::seed_from_u64(seed), site };
        let documents = (0..ORGANISATIONS)
            .map(|_| (0..site.documents).map(|_| generator.text(site.document_tokens)).collect())
            .collect();
        let mut chats = generator.regular_chats(scenario, seconds);
        if scenario == Scenario::Surge {
            chats.extend(generator.surge_chats(seconds));
            chats.sort_by_key(|chat| chat.arrival);
        }
        let calls = generator.calls(seconds);
        Self { documents, chats, calls }
    }
}

fn mean(range: &Range<usize>) -> f64 {
    (range.start + range.end - 1) as f64 / 2.0
}

struct WorkloadGenerator<'a> {
    random: StdRng,
    site: &'a SiteProfile,
}

impl WorkloadGenerator<'_> {
    fn regular_chats(&mut self, scenario: Scenario, seconds: f64) -> Vec<ChatScript> {
        let hot_opening = self.text(self.site.user_tokens.end);
        let mut chats = Vec::new();
        let fill_rate = self.site.chats_per_second * self.mean_chat_seconds() / FILL_SECONDS;
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

    /// Returns the mean duration of a chat in seconds.
    fn mean_chat_seconds(&self) -> f64 {
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

    /// Samples the arrivals of a Poisson process between two times in seconds.
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
