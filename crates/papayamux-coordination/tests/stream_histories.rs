//! Generated histories of streams, restarts, cuts and rollouts: no stream goes on at another version
//! than the one that began it.
#![allow(clippy::unwrap_used, reason = "helpers of tests, which may panic")]

use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::stream_origins::{
    notified_owners, queried_owners, OriginSearch, OriginTable, SearchState, VersionHistory,
    VersionRule,
};
use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::ids::SoftwareVersion;
use papayamux_state::stream_origin::{StreamKey, StreamOrigin};

mod backend_servers;

/// Number of generated histories.
const HISTORIES: usize = 20_000;
/// Number of routers in a history.
const ROUTERS: usize = 6;
/// Time in which a caller gives a stream up, less than origins are kept for.
const STREAM_LIFE: Duration = Duration::from_secs(30);

/// Time for which a server that has left still answers.
const TERMINATION_TIME: Duration = Duration::from_secs(10);

/// A step, with the index of the router or stream that it concerns, modulo their number.
#[derive(Debug, Clone, Copy, bolero::TypeGenerator)]
enum Step {
    Begin {
        router: u8,
        server: u8,
    },
    Resume {
        router: u8,
        stream: u8,
    },
    Restart {
        router: u8,
    },
    Cut {
        router: u8,
    },
    Heal {
        router: u8,
    },
    /// Replaces a server by one of another version.
    Roll {
        server: u8,
        version: u8,
    },
    Pass {
        seconds: u8,
    },
}

struct ModelRouter {
    address: IpAddr,
    origins: OriginTable,
    versions: VersionHistory,
    /// The servers as known since the last contact with the source.
    servers: Vec<Rc<BackendServer>>,
    is_cut: bool,
}

struct ModelStream {
    began_at: Instant,
    version: Option<SoftwareVersion>,
}

struct Model {
    now: Instant,
    servers: Vec<Rc<BackendServer>>,
    /// Servers that have left, and when.
    departed: Vec<(Rc<BackendServer>, Instant)>,
    routers: Vec<ModelRouter>,
    streams: Vec<ModelStream>,
    refused: usize,
    resumed: usize,
}

fn server(index: usize, version: u8) -> Rc<BackendServer> {
    Rc::new(BackendServer {
        software: format!("v{version}").parse().ok(),
        ..backend_servers::server(&format!("i-{index}-{version}"), ServerPhase::Serving)
    })
}

impl Model {
    fn new() -> Self {
        let now = Instant::now();
        let servers: Vec<_> = (0..3).map(|index| server(index, 0)).collect();
        let router = |index| ModelRouter {
            address: Ipv4Addr::new(10, 0, 0, index).into(),
            origins: OriginTable::default(),
            versions: VersionHistory::new(now),
            servers: servers.clone(),
            is_cut: false,
        };
        let routers = (0..ROUTERS as u8).map(router).collect();
        Self {
            now,
            servers,
            departed: Vec::new(),
            routers,
            streams: Vec::new(),
            refused: 0,
            resumed: 0,
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Begin { router, server } => self.begin(usize::from(router) % ROUTERS, server),
            Step::Resume { router, stream } if !self.streams.is_empty() => {
                let stream = usize::from(stream) % self.streams.len();
                self.resume(usize::from(router) % ROUTERS, stream);
            }
            Step::Resume { .. } => {}
            Step::Restart { router } => {
                let router = &mut self.routers[usize::from(router) % ROUTERS];
                router.origins = OriginTable::default();
                router.versions = VersionHistory::new(self.now);
                if router.is_cut {
                    router.servers.clear();
                }
            }
            Step::Cut { router } => self.routers[usize::from(router) % ROUTERS].is_cut = true,
            Step::Heal { router } => self.routers[usize::from(router) % ROUTERS].is_cut = false,
            Step::Roll { server: index, version } => {
                let index = usize::from(index) % self.servers.len();
                let new = server(index, version % 3);
                let old = std::mem::replace(&mut self.servers[index], new);
                self.departed.push((old, self.now));
            }
            Step::Pass { seconds } => self.now += Duration::from_secs(u64::from(seconds % 90)),
        }
        for router in self.routers.iter_mut().filter(|router| !router.is_cut) {
            router.servers.clone_from(&self.servers);
        }
        for router in &mut self.routers {
            let servers_age = (!router.is_cut).then_some(Duration::ZERO);
            router.versions.update(router.servers.iter(), servers_age, self.now);
            router.origins.expire(self.now);
        }
    }

    fn others(&self, router: usize) -> Vec<IpAddr> {
        let own = self.routers[router].address;
        self.routers.iter().map(|other| other.address).filter(|other| *other != own).collect()
    }

    /// Returns the router at `address` if `router` reaches it.
    fn reached(&self, router: usize, address: IpAddr) -> Option<usize> {
        let index = self.routers.iter().position(|other| other.address == address)?;
        (!self.routers[router].is_cut && !self.routers[index].is_cut).then_some(index)
    }

    fn begin(&mut self, router: usize, server: u8) {
        let servers = &self.routers[router].servers;
        let Some(server) = servers.get(usize::from(server) % servers.len().max(1)).cloned() else {
            return;
        };
        let now = self.now;
        let lingers = |(departed, left_at): &(Rc<BackendServer>, Instant)| {
            *departed == server && now - *left_at < TERMINATION_TIME
        };
        if !self.servers.contains(&server) && !self.departed.iter().any(lingers) {
            return;
        }
        let key = StreamKey(self.streams.len() as u64);
        self.streams.push(ModelStream { began_at: self.now, version: server.software.clone() });
        let version = server.software.clone().unwrap();
        let origin = StreamOrigin { service: server.service.clone(), version };
        self.routers[router].origins.record(key, &origin, self.now);
        for owner in notified_owners(key, &self.others(router)) {
            if let Some(owner) = self.reached(router, owner) {
                self.routers[owner].origins.record(key, &origin, self.now);
            }
        }
    }

    fn known(&self, router: usize, key: StreamKey) -> Option<StreamOrigin> {
        self.routers[router].origins.get(key)?.origin().cloned()
    }

    fn find(&self, router: usize, key: StreamKey) -> Option<StreamOrigin> {
        if let Some(origin) = self.known(router, key) {
            return Some(origin);
        }
        let owners = queried_owners(key, &self.others(router));
        let mut search = OriginSearch::new(owners.clone());
        for owner in owners {
            let Some(index) = self.reached(router, owner) else { continue };
            if let SearchState::Found(found) = search.record_answer(owner, self.known(index, key)) {
                return Some(found);
            }
        }
        // A router that is cut off can't have its servers confirmed.
        let asker = &self.routers[router];
        let service = &self.servers[0].service;
        let certain = asker.versions.certain_version(service, self.now).filter(|_| !asker.is_cut);
        let version = certain?.clone();
        Some(StreamOrigin { service: service.clone(), version })
    }

    fn resume(&mut self, router: usize, stream: usize) {
        let ModelStream { began_at, version } = &self.streams[stream];
        if self.now - *began_at >= STREAM_LIFE {
            return;
        }
        let key = StreamKey(stream as u64);
        let Some(origin) = self.find(router, key) else {
            self.refused += 1;
            return;
        };
        let rule = VersionRule::Began(Some(origin.version));
        for server in self.routers[router].servers.iter().filter(|server| rule.admits(server)) {
            assert_eq!(server.software, *version, "stream {stream} at router {router}");
        }
        self.resumed += 1;
    }
}

#[test]
fn no_stream_goes_on_at_another_version() {
    bolero::check!().with_iterations(HISTORIES).with_type::<Vec<Step>>().for_each(|steps| {
        let mut model = Model::new();
        steps.iter().for_each(|step| model.take(*step));
    });
}

#[test]
fn streams_go_on_after_one_router_restarts_in_the_midst_of_a_rollout() {
    for beginner in 0..ROUTERS as u8 {
        let mut model = Model::new();
        model.take(Step::Roll { server: 1, version: 1 });
        (0..20).for_each(|server| model.take(Step::Begin { router: beginner, server }));
        model.take(Step::Restart { router: beginner });
        for stream in 0..20 {
            model.take(Step::Resume { router: stream, stream });
        }
        assert_eq!((model.resumed, model.refused), (20, 0));
    }
}
