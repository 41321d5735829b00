//! Opens, accepts and renews connections to peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::net::{TcpListener, TcpStream};
use papayamux_state::address_range::admits;
use papayamux_transport::link::connect;
use papayamux_transport::timer::TimerSubscription;
use rand::seq::IndexedRandom;
use rand::RngExt;

use super::link_reader::run_link;
use super::peer_error::PeerError;
use crate::core::SpreadCore;
use crate::peers::PEER_ALIVE_TIMEOUT;
use crate::rate_limit::{RetryBackoff, TokenBucket};

/// Maximum number of accepted connections. One more closes the oldest, whose peer knows other
/// processes by then, so that a process that has just started always finds a seed that accepts it.
const MAX_ACCEPTED_LINKS: usize = 12;
/// Accepted connections per second. When many processes start at once with the same seeds, they
/// wait in the listener's backlog instead of overdrawing the byte budget.
const ACCEPT_RATE: f64 = 8.0;
/// Burst allowance of accepted connections.
const ACCEPT_BURST: f64 = 8.0;
/// Maximum number of concurrent connection attempts of a process that knows no living peer. The
/// first peer that answers names others.
const MAX_SEED_DIALS: usize = 2;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Initial delay before a failed connection attempt is retried.
const INITIAL_REDIAL_DELAY: Duration = Duration::from_millis(500);
/// Maximum delay before a failed connection attempt is retried.
const MAX_REDIAL_DELAY: Duration = Duration::from_secs(10);
/// Maximum number of addresses whose failures are recorded.
const MAX_FAILURES: usize = 512;
/// Mean interval at which one connection is replaced by one to another peer. This lets the halves
/// of a healed partition find each other and keeps the connections mixed.
const RENEW_INTERVAL: Duration = Duration::from_secs(30);
/// Mean interval at which an additional connection to a silent peer is tried.
const PROBE_INTERVAL: Duration = Duration::from_secs(8);

/// Accepts connections from peers; never returns.
pub(crate) async fn accept_peers(core: Rc<SpreadCore>, listener: TcpListener) {
    let rate_limit = TokenBucket::new(ACCEPT_RATE, ACCEPT_BURST, ACCEPT_BURST, Instant::now());
    loop {
        rate_limit.take(1.0, 0.0).await;
        let stream = match listener.accept().await {
            Ok((_, from)) if !admits(&core.settings.allow, from.ip()) => {
                core.metrics.lost_links.count(PeerError::Address.label());
                continue;
            }
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "accepting a peer failed");
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if core.count_links(false) >= MAX_ACCEPTED_LINKS {
            core.metrics.lost_links.count("made_room");
            core.close_accepted_link();
        }
        let core = core.clone();
        monoio::spawn(async move {
            let outcome = run_link(&core, stream, false).await;
            record_link_end(&core, outcome);
        });
    }
}

fn record_link_end(core: &SpreadCore, outcome: Result<(), PeerError>) {
    let Err(error) = outcome else { return };
    core.metrics.lost_links.count(error.label());
    log::debug!(error:% = error; "peer connection ended");
}

struct DialFailure {
    backoff: RetryBackoff,
    retry_at: Instant,
}

/// Keeps connections to peers open.
struct PeerDialer {
    core: Rc<SpreadCore>,
    /// Peers with an outgoing connection that is open or being opened.
    dialing: Vec<SocketAddr>,
    /// Addresses that lead back to this process.
    own: Vec<SocketAddr>,
    failures: HashMap<SocketAddr, DialFailure>,
    ended: futures_channel::mpsc::UnboundedReceiver<DialEnd>,
    report: futures_channel::mpsc::UnboundedSender<DialEnd>,
    renew_at: Instant,
    probe_at: Instant,
}

/// Outcome of an outgoing connection.
enum DialEnd {
    /// The connection or its handshake failed, or it broke.
    Failed(SocketAddr),
    /// The connection was closed after use, or the peer went silent.
    Ended(SocketAddr),
    /// The address leads back to this process.
    SelfConnection(SocketAddr),
}

fn jittered(period: Duration) -> Duration {
    period.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// Opens connections to peers until the timer stops.
pub(crate) async fn dial_peers(core: Rc<SpreadCore>, mut ticks: TimerSubscription) {
    let (report, ended) = futures_channel::mpsc::unbounded();
    let now = Instant::now();
    let mut dialer = PeerDialer {
        core,
        dialing: Vec::new(),
        own: Vec::new(),
        failures: HashMap::new(),
        ended,
        report,
        renew_at: now + jittered(RENEW_INTERVAL),
        probe_at: now + jittered(PROBE_INTERVAL),
    };
    dialer.maintain_links(now);
    while ticks.tick().await.is_some() {
        dialer.handle_ended_dials();
        dialer.maintain_links(Instant::now());
    }
}

impl PeerDialer {
    fn handle_ended_dials(&mut self) {
        while let Ok(end) = self.ended.try_recv() {
            match end {
                DialEnd::Failed(address) => self.record_failure(address),
                DialEnd::Ended(address) => {
                    self.failures.remove(&address);
                    self.dialing.retain(|dialed| *dialed != address);
                }
                DialEnd::SelfConnection(address) => {
                    self.dialing.retain(|dialed| *dialed != address);
                    self.own.push(address);
                }
            }
        }
    }

    fn record_failure(&mut self, address: SocketAddr) {
        self.dialing.retain(|dialed| *dialed != address);
        if self.failures.len() >= MAX_FAILURES {
            self.failures.clear();
        }
        let failure = self.failures.entry(address).or_insert_with(|| DialFailure {
            backoff: RetryBackoff::new(INITIAL_REDIAL_DELAY, MAX_REDIAL_DELAY),
            retry_at: Instant::now(),
        });
        failure.retry_at = Instant::now() + failure.backoff.next_delay();
    }

    fn maintain_links(&mut self, now: Instant) {
        let open = self.dialing.len();
        let fanout = self.core.settings.fanout;
        for _ in open..fanout {
            let alive = self.pick(now, PeerFilter::Alive);
            let dials_seeds = alive.is_none() && self.dialing.len() < MAX_SEED_DIALS;
            let Some(address) =
                alive.or_else(|| dials_seeds.then(|| self.pick(now, PeerFilter::Any))?)
            else {
                break;
            };
            self.dial(address);
        }
        if now >= self.renew_at {
            self.renew_at = now + jittered(RENEW_INTERVAL);
            if open > fanout || (open == fanout && self.pick(now, PeerFilter::Alive).is_some()) {
                self.core.close_opened_link();
            }
        }
        if now >= self.probe_at {
            self.probe_at = now + jittered(PROBE_INTERVAL);
            if let Some(address) = self.pick(now, PeerFilter::Silent) {
                self.dial(address);
            }
        }
    }

    /// Returns a random peer that isn't connected. Peers of other failure domains are as likely as
    /// those of this process's own domain.
    fn pick(&self, now: Instant, filter: PeerFilter) -> Option<SocketAddr> {
        let table = self.core.table.borrow();
        let mut near = Vec::new();
        let mut far = Vec::new();
        for peer in table.all().filter(|peer| self.may_dial(peer.address, now)) {
            let alive = now.saturating_duration_since(peer.last_contact) < PEER_ALIVE_TIMEOUT;
            if filter.accepts(alive) {
                let is_near = peer.domain == self.core.domain;
                if is_near { &mut near } else { &mut far }.push(peer.address);
            }
        }
        if filter != PeerFilter::Alive {
            let seeds = self.core.settings.peers.iter().copied();
            let unknown = |seed: &SocketAddr| table.all().all(|peer| peer.address != *seed);
            far.extend(seeds.filter(unknown).filter(|seed| self.may_dial(*seed, now)));
        }
        let mut random = rand::rng();
        let (first, second) = if random.random_bool(0.5) { (near, far) } else { (far, near) };
        first.choose(&mut random).or_else(|| second.choose(&mut random)).copied()
    }

    fn may_dial(&self, address: SocketAddr, now: Instant) -> bool {
        let backs_off = self.failures.get(&address).is_some_and(|failure| failure.retry_at > now);
        let is_own = self.own.contains(&address);
        !backs_off && !is_own && !self.dialing.contains(&address) && !self.core.is_linked(address)
    }

    fn dial(&mut self, address: SocketAddr) {
        self.dialing.push(address);
        let (core, report) = (self.core.clone(), self.report.clone());
        monoio::spawn(async move {
            let end = match connect(address).await {
                Ok(stream) => run_dialed(&core, stream, address).await,
                Err(_) => DialEnd::Failed(address),
            };
            let _ = report.unbounded_send(end);
        });
    }
}

async fn run_dialed(core: &Rc<SpreadCore>, stream: TcpStream, address: SocketAddr) -> DialEnd {
    let outcome = run_link(core, stream, true).await;
    let end = match &outcome {
        Ok(()) | Err(PeerError::Silent) => DialEnd::Ended(address),
        Err(PeerError::SelfConnection) => DialEnd::SelfConnection(address),
        Err(_) => DialEnd::Failed(address),
    };
    record_link_end(core, outcome);
    end
}

/// Selection criterion for peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerFilter {
    /// Peers that count as alive.
    Alive,
    /// Peers that don't count as alive, and unknown seeds.
    Silent,
    /// All known peers, and unknown seeds.
    Any,
}

impl PeerFilter {
    fn accepts(self, alive: bool) -> bool {
        match self {
            PeerFilter::Alive => alive,
            PeerFilter::Silent => !alive,
            PeerFilter::Any => true,
        }
    }
}
