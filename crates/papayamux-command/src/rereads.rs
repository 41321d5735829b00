//! `papayamux rereads`: why engines prefilled shared parts of prompts again, from the logs of all
//! routers.
//!
//! The logs show which shared parts each engine received and when its answer began. From then on the
//! engine is assumed to hold them. If an engine receives a part that it doesn't hold while another
//! engine does, the part is prefilled again, and this module assigns one cause to it. The logs don't
//! show how long engines keep parts: a part is assumed to be held until the engine has received more
//! tokens of other shared parts than a given capacity.

use std::collections::{BTreeMap, HashMap};

use papayamux_state::prompt::{PartId, PromptChain};
use serde_json::Value;

use crate::log_line::LogLine;
use crate::output::{CommandOutput, ExitMeaning};

/// Time after the start of a router during which repeated prefills are attributed to the start. By its
/// end the other routers have sent it most parts.
const STARTUP_WINDOW_MS: u64 = 3_000;
/// Upper bounds, in milliseconds, of the classes by age of holders that a router didn't know: one round
/// of reports, one second, and the repeated announcement of holders to routers.
const AGE_BOUNDS_MS: [u64; 3] = [250, 1_000, 4_000];

/// The cause of prefilling a part that another engine had prefilled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RereadCause {
    /// No engine had prefilled it. This isn't a repeated prefill and is counted for comparison.
    FirstRead,
    /// Another engine was prefilling it at the time.
    ConcurrentElsewhere,
    /// The same engine was prefilling it for another request; the logs don't show whether it prefills
    /// the part twice.
    ConcurrentAtEngine,
    /// The router had just started.
    RouterStarted,
    /// The engine is the group's home, which was assumed to hold the part but didn't.
    HomeLacksPart,
    /// The part was to be copied from an engine that didn't hold it.
    SourceLacksPart,
    /// The router knew a holder and sent the request without copying.
    NotCopied,
    /// The engine had held it and has since received more other tokens than its capacity.
    Evicted,
    /// The router didn't know a holder; the number is the age class of the holder's prefill.
    HolderUnknown(usize),
}

impl RereadCause {
    fn label(self) -> String {
        match self {
            RereadCause::FirstRead => "first read of all".to_string(),
            RereadCause::ConcurrentElsewhere => "read at two engines at once".to_string(),
            RereadCause::ConcurrentAtEngine => "engine was reading it already".to_string(),
            RereadCause::RouterStarted => "router just started".to_string(),
            RereadCause::HomeLacksPart => "home without the part".to_string(),
            RereadCause::SourceLacksPart => "copied from an engine without it".to_string(),
            RereadCause::Evicted => "evicted since".to_string(),
            RereadCause::NotCopied => "holder known, not copied".to_string(),
            RereadCause::HolderUnknown(class) => match AGE_BOUNDS_MS.get(class) {
                Some(age) => format!("holder of under {age} ms ago not known"),
                None => "older holder not known".to_string(),
            },
        }
    }
}

/// A request as sent to an engine.
#[derive(Debug)]
struct PlacedPrompt {
    router: String,
    server: String,
    source: String,
    sent_ms: u64,
    read_ms: u64,
    shared: PromptChain,
    known: u64,
    is_home: bool,
}

impl PlacedPrompt {
    fn read(line: &LogLine) -> Option<Self> {
        let shared = line.text("shared")?.parse().ok()?;
        let number = |field: &str| line.fields.get(field).and_then(Value::as_u64);
        Some(Self {
            router: line.writer.clone(),
            server: line.text("server")?.to_string(),
            source: line.text("copied_from").unwrap_or_default().to_string(),
            sent_ms: line.time_ms.saturating_sub(number("sent_ms")?),
            read_ms: line.time_ms,
            shared,
            known: number("known")?,
            is_home: line.fields.get("home").and_then(Value::as_bool)?,
        })
    }
}

/// The parts and tokens counted for a cause.
#[derive(Debug, Default, Clone, Copy)]
struct CauseCount {
    parts: u64,
    tokens: u64,
}

/// The shared parts in an engine's cache, least recently used first.
#[derive(Debug, Default)]
struct EngineCache {
    parts: Vec<(PartId, u64)>,
}

impl EngineCache {
    fn touch(&mut self, prefix: PartId, tokens: u64) {
        self.parts.retain(|(part, _)| *part != prefix);
        self.parts.push((prefix, tokens));
    }

    /// Returns the tokens of other parts that the engine has received since it last received this one.
    fn tokens_since(&self, prefix: PartId) -> u64 {
        let since = self.parts.iter().rev().take_while(|(part, _)| *part != prefix);
        since.map(|(_, tokens)| tokens).sum()
    }
}

/// The times at which engines prefilled parts, by prefix and engine, and the state of their caches.
#[derive(Debug, Default)]
struct PrefillHistory {
    times: HashMap<PartId, HashMap<String, u64>>,
    caches: HashMap<String, EngineCache>,
    capacity: Option<u64>,
}

impl PrefillHistory {
    fn with_capacity(capacity: Option<u64>) -> Self {
        Self { capacity, ..Self::default() }
    }

    fn was_evicted(&self, prefix: PartId, server: &str) -> bool {
        let cache = self.caches.get(server);
        let since = cache.map_or(0, |cache| cache.tokens_since(prefix));
        self.capacity.is_some_and(|capacity| since > capacity)
    }

    fn prefilled_at(&self, prefix: PartId, server: &str) -> Option<u64> {
        self.times.get(&prefix)?.get(server).copied()
    }

    fn held_at(&self, prefix: PartId, server: &str, at_ms: u64) -> bool {
        self.prefilled_at(prefix, server).is_some_and(|read| read <= at_ms)
            && !self.was_evicted(prefix, server)
    }

    /// Returns the time at which the first other engine had prefilled a part.
    fn first_prefill_elsewhere(&self, prefix: PartId, server: &str) -> Option<u64> {
        let servers = self.times.get(&prefix)?.iter();
        servers.filter(|(other, _)| *other != server).map(|(_, read)| *read).min()
    }

    fn record_prefill(&mut self, prefix: PartId, tokens: u64, server: &str, read_ms: u64) {
        self.caches.entry(server.to_string()).or_default().touch(prefix, tokens);
        let read = self.times.entry(prefix).or_default().entry(server.to_string());
        let read = read.or_insert(read_ms);
        *read = (*read).min(read_ms);
    }
}

/// Attributes each repeated prefill of a shared part to one cause. Engines are assumed to keep
/// `capacity` tokens of shared parts, or all parts if it is `None`.
pub fn explain_rereads(files: &[(String, String)], capacity: Option<u64>) -> CommandOutput {
    let mut lines: Vec<_> = files
        .iter()
        .flat_map(|(file, text)| text.lines().filter_map(|line| LogLine::read(file, line)))
        .collect();
    lines.sort_by_key(|line| line.time_ms);
    let mut starts: HashMap<String, Vec<u64>> = HashMap::new();
    for line in lines.iter().filter(|line| line.text("message") == Some("router started")) {
        starts.entry(line.writer.clone()).or_default().push(line.time_ms);
    }
    let mut prompts: Vec<_> = lines.iter().filter_map(PlacedPrompt::read).collect();
    prompts.sort_by_key(|prompt| prompt.sent_ms);
    if prompts.is_empty() {
        let text = "no line names a prompt's shared parts\n".to_string();
        return CommandOutput::new(ExitMeaning::Findings, text);
    }
    let counts = count_causes(&prompts, &starts, PrefillHistory::with_capacity(capacity));
    CommandOutput::new(ExitMeaning::Clean, table(prompts.len(), &counts))
}

fn count_causes(
    prompts: &[PlacedPrompt],
    starts: &HashMap<String, Vec<u64>>,
    times: PrefillHistory,
) -> BTreeMap<RereadCause, CauseCount> {
    let mut times = times;
    let mut counts: BTreeMap<RereadCause, CauseCount> = BTreeMap::new();
    for prompt in prompts {
        let mut before = 0;
        for (prefix, tokens) in prompt.shared.prefixes() {
            before += tokens.get();
            if let Some(cause) = reread_cause(prompt, prefix, before, &times, starts) {
                let count = counts.entry(cause).or_default();
                count.parts += 1;
                count.tokens += tokens.get();
            }
            times.record_prefill(prefix, tokens.get(), &prompt.server, prompt.read_ms);
        }
    }
    counts
}

/// Returns the cause of prefilling the part of a prompt that ends at token `end`; `None` if the engine
/// held it or could copy it.
fn reread_cause(
    prompt: &PlacedPrompt,
    prefix: PartId,
    end: u64,
    times: &PrefillHistory,
    starts: &HashMap<String, Vec<u64>>,
) -> Option<RereadCause> {
    if times.held_at(prefix, &prompt.server, prompt.sent_ms)
        || times.held_at(prefix, &prompt.source, prompt.sent_ms)
    {
        return None;
    }
    if times.prefilled_at(prefix, &prompt.server).is_some() {
        return Some(match times.was_evicted(prefix, &prompt.server) {
            true => RereadCause::Evicted,
            false => RereadCause::ConcurrentAtEngine,
        });
    }
    let Some(first) = times.first_prefill_elsewhere(prefix, &prompt.server) else {
        return Some(RereadCause::FirstRead);
    };
    if first > prompt.sent_ms {
        return Some(RereadCause::ConcurrentElsewhere);
    }
    let started = starts.get(&prompt.router).into_iter().flatten();
    let age = started.filter_map(|start| prompt.sent_ms.checked_sub(*start)).min();
    if age.is_some_and(|age| age < STARTUP_WINDOW_MS) {
        return Some(RereadCause::RouterStarted);
    }
    if !prompt.source.is_empty() {
        return Some(RereadCause::SourceLacksPart);
    }
    if prompt.known >= end {
        return Some(RereadCause::NotCopied);
    }
    if prompt.is_home {
        return Some(RereadCause::HomeLacksPart);
    }
    let unknown_for = prompt.sent_ms - first;
    Some(RereadCause::HolderUnknown(AGE_BOUNDS_MS.partition_point(|age| *age <= unknown_for)))
}

fn table(prompts: usize, counts: &BTreeMap<RereadCause, CauseCount>) -> String {
    let again = counts.iter().filter(|(cause, _)| **cause != RereadCause::FirstRead);
    let total: u64 = again.map(|(_, count)| count.tokens).sum();
    let mut text = format!("{prompts} prompts, {total} tokens of shared parts read again\n\n");
    text.push_str(&format!("{:<40} {:>8} {:>12}\n", "cause", "parts", "tokens"));
    for (cause, count) in counts {
        text.push_str(&format!("{:<40} {:>8} {:>12}\n", cause.label(), count.parts, count.tokens));
    }
    text
}
