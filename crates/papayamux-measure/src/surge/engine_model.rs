//! Model of an engine with slots, a cache of shared parts and sequential prefill.

use std::collections::{HashMap, VecDeque};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use papayamux_platform_standins::{chunk, QueueReport, ServerRequest, ServerStandIn, LAST_CHUNK};
use parking_lot::{Condvar, Mutex};

use super::engine_kind::EngineTraits;

/// Number of tokens of a shared part, and of a request's own part.
pub(super) const SHARED_TOKENS: u64 = 4_000;
pub(super) const OWN_TOKENS: u64 = 200;
/// Number of events of an answer.
const EVENTS: u64 = 8;

#[derive(Debug, Default)]
struct EngineState {
    running: u32,
    waiting: u32,
    cache: VecDeque<String>,
    cold_tokens: u64,
}

#[derive(Debug)]
struct Engine {
    traits: Mutex<EngineTraits>,
    state: Mutex<EngineState>,
    freed: Condvar,
    /// Held during prefill: an engine prefills one prompt at a time.
    reading: Mutex<()>,
}

/// All engines by address.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineRegistry {
    engines: Arc<Mutex<HashMap<SocketAddr, Arc<Engine>>>>,
}

impl EngineRegistry {
    /// Starts an engine and registers it.
    pub(super) fn start(&self, id: &str, traits: EngineTraits) -> ServerStandIn {
        let engine = Arc::new(Engine {
            traits: Mutex::new(traits),
            state: Mutex::default(),
            freed: Condvar::new(),
            reading: Mutex::new(()),
        });
        let (own, registry) = (engine.clone(), self.clone());
        let server = ServerStandIn::start(id, "llm", move |request, stream| {
            registry.serve(&own, request, stream)
        });
        self.engines.lock().insert(server.address, engine);
        server
    }

    /// Returns the number of tokens of shared parts that engines had to prefill.
    pub(super) fn cold_tokens(&self) -> u64 {
        let engines = self.engines.lock();
        engines.values().map(|engine| engine.state.lock().cold_tokens).sum()
    }

    /// Slows each engine down by its `slower_from_halfway` factor.
    pub(super) fn slow_down(&self) {
        for engine in self.engines.lock().values() {
            let mut traits = engine.traits.lock();
            *traits = traits.slowed(traits.slower_from_halfway);
        }
    }

    fn serve(&self, engine: &Engine, request: &ServerRequest, stream: &mut TcpStream) -> bool {
        engine.take_slot();
        let held = self.read_prompt(engine, request);
        let queue = {
            let mut state = engine.state.lock();
            state.cold_tokens += if held { 0 } else { SHARED_TOKENS };
            let slots = engine.traits.lock().slots;
            QueueReport {
                running: state.running,
                waiting: state.waiting,
                slots,
                slowdown_percent: None,
            }
        };
        let event_every = engine.traits.lock().event_every;
        let answered = answer(request, queue, event_every, stream);
        engine.free_slot();
        answered.is_ok()
    }

    /// Prefills the tokens of a prompt that aren't cached. Returns whether the shared part was in
    /// the engine's own cache or copied from another engine.
    fn read_prompt(&self, engine: &Engine, request: &ServerRequest) -> bool {
        let _reading = engine.reading.lock();
        let part = request.first_part().to_string();
        let source = request.fetch_source();
        let own = engine.state.lock().holds(&part);
        let taken_over = !own && source.is_some_and(|source| self.holds(source, &part));
        let cold = if own || taken_over { 0 } else { SHARED_TOKENS };
        let traits = *engine.traits.lock();
        std::thread::sleep(traits.read_token * (cold + OWN_TOKENS) as u32);
        if taken_over {
            std::thread::sleep(traits.take_over);
        }
        engine.state.lock().keep(part, traits.cached_parts);
        cold == 0
    }

    fn holds(&self, address: SocketAddr, part: &str) -> bool {
        let engine = self.engines.lock().get(&address).cloned();
        engine.is_some_and(|engine| engine.state.lock().holds(part))
    }
}

impl EngineState {
    fn holds(&self, part: &str) -> bool {
        self.cache.iter().any(|known| known == part)
    }

    /// Caches a part and evicts the least recently used one if there are more than `most`.
    fn keep(&mut self, part: String, most: usize) {
        self.cache.retain(|known| *known != part);
        self.cache.push_back(part);
        if self.cache.len() > most {
            self.cache.pop_front();
        }
    }
}

impl Engine {
    fn take_slot(&self) {
        let mut state = self.state.lock();
        state.waiting += 1;
        while state.running >= self.traits.lock().slots {
            self.freed.wait(&mut state);
        }
        state.waiting -= 1;
        state.running += 1;
    }

    fn free_slot(&self) {
        self.state.lock().running -= 1;
        self.freed.notify_one();
    }
}

fn answer(
    request: &ServerRequest,
    queue: QueueReport,
    event_every: Duration,
    stream: &mut TcpStream,
) -> std::io::Result<()> {
    stream.write_all(request.stream_head(Some(queue)).as_bytes())?;
    for number in 1..=EVENTS {
        std::thread::sleep(event_every);
        stream.write_all(chunk(&format!("id: {number}\ndata: word\n\n")).as_bytes())?;
    }
    stream.write_all(LAST_CHUNK.as_bytes())
}
