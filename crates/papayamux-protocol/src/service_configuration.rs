//! The wire form of a configuration that one router hands to another.

use std::collections::HashMap;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use papayamux_state::durations::MAX_DURATION;
use papayamux_state::ids::{IdError, Region};
use papayamux_state::quantities::{ByteCount, TokenCount};
use papayamux_state::service_config::{
    CallerLimits, ColdStart, ConfigVersion, ConfigurationSnapshot, EngineProfile, HomeRegions,
    KeyHolder, OrganisationKeys, RequestKind, Route, RouteTable, Service, ServiceShare,
};
use prost::{Enumeration, Message};
use thiserror::Error;

/// The error of decoding a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("malformed {part}: {cause}")]
pub struct ConfigurationError {
    /// The name of the field.
    pub part: &'static str,
    /// The cause.
    pub cause: String,
}

fn invalid<E: Display>(part: &'static str) -> impl Fn(E) -> ConfigurationError {
    move |cause| ConfigurationError { part, cause: cause.to_string() }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Enumeration)]
#[repr(i32)]
enum KindWire {
    Unspecified = 0,
    Idempotent = 1,
    Once = 2,
    Stream = 3,
    ResumableStream = 4,
}

#[derive(Clone, PartialEq, Message)]
struct ShareWire {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(uint32, tag = "2")]
    weight: u32,
}

#[derive(Clone, PartialEq, Message)]
struct RouteWire {
    #[prost(string, tag = "1")]
    host: String,
    #[prost(string, tag = "2")]
    prefix: String,
    #[prost(string, tag = "3")]
    id: String,
    #[prost(message, repeated, tag = "4")]
    shares: Vec<ShareWire>,
    #[prost(enumeration = "KindWire", tag = "5")]
    kind: i32,
    #[prost(uint64, tag = "6")]
    timeout_us: u64,
    #[prost(uint64, tag = "7")]
    objective_us: u64,
    #[prost(uint64, optional, tag = "8")]
    gap_objective_us: Option<u64>,
    #[prost(uint32, tag = "9")]
    attempts: u32,
    #[prost(uint32, tag = "10")]
    priority: u32,
    #[prost(bool, tag = "11")]
    anonymous: bool,
    #[prost(string, repeated, tag = "12")]
    homes: Vec<String>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct EngineWire {
    #[prost(uint32, tag = "1")]
    slots: u32,
    #[prost(uint64, tag = "2")]
    cache_tokens: u64,
    #[prost(double, optional, tag = "3")]
    transfer_tokens_per_ms: Option<f64>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct ColdStartWire {
    #[prost(uint64, tag = "1")]
    duration_us: u64,
    #[prost(double, tag = "2")]
    per_second: f64,
}

#[derive(Clone, PartialEq, Message)]
struct ServiceWire {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(uint32, optional, tag = "2")]
    connection_limit: Option<u32>,
    #[prost(message, optional, tag = "3")]
    engine: Option<EngineWire>,
    #[prost(message, optional, tag = "4")]
    cold_start: Option<ColdStartWire>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct LimitsWire {
    #[prost(uint64, tag = "1")]
    head_bytes: u64,
    #[prost(uint64, tag = "2")]
    body_bytes: u64,
    #[prost(uint64, tag = "3")]
    head_timeout_us: u64,
    #[prost(uint64, tag = "4")]
    idle_timeout_us: u64,
}

#[derive(Clone, PartialEq, Message)]
struct OrganisationWire {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(uint32, optional, tag = "2")]
    priority: Option<u32>,
    #[prost(string, repeated, tag = "3")]
    homes: Vec<String>,
    #[prost(string, repeated, tag = "4")]
    keys: Vec<String>,
}

#[derive(Clone, PartialEq, Message)]
struct OrganisationsWire {
    #[prost(message, repeated, tag = "1")]
    organisations: Vec<OrganisationWire>,
    #[prost(bool, tag = "2")]
    is_incomplete: bool,
}

/// The place of a route that can't be read.
#[derive(Clone, PartialEq, Message)]
struct PlaceWire {
    #[prost(string, tag = "1")]
    host: String,
    #[prost(string, tag = "2")]
    prefix: String,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct SnapshotWire {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(message, repeated, tag = "2")]
    routes: Vec<RouteWire>,
    #[prost(message, repeated, tag = "3")]
    services: Vec<ServiceWire>,
    #[prost(message, optional, tag = "4")]
    limits: Option<LimitsWire>,
    /// Absent if requests need no keys.
    #[prost(message, optional, tag = "5")]
    organisations: Option<OrganisationsWire>,
    #[prost(message, repeated, tag = "6")]
    unreadable_routes: Vec<PlaceWire>,
    /// Set if there are routes of which not even the place can be read.
    #[prost(bool, tag = "7")]
    lacks_routes: bool,
    #[prost(uint32, tag = "8")]
    unreadable_parts: u32,
}

impl From<&ConfigurationSnapshot> for SnapshotWire {
    fn from(snapshot: &ConfigurationSnapshot) -> Self {
        Self {
            version: snapshot.version.0,
            routes: snapshot.routes.iter().map(RouteWire::from).collect(),
            services: snapshot
                .services
                .iter()
                .map(|(id, service)| ServiceWire { id: id.to_string(), ..service.into() })
                .collect(),
            limits: Some(snapshot.limits.into()),
            organisations: snapshot.organisations.as_ref().map(OrganisationsWire::from),
            unreadable_routes: snapshot.routes.unreadable().map(PlaceWire::from).collect(),
            lacks_routes: !snapshot.routes.is_complete(),
            unreadable_parts: snapshot.unreadable_parts,
        }
    }
}

impl TryFrom<SnapshotWire> for ConfigurationSnapshot {
    type Error = ConfigurationError;

    fn try_from(wire: SnapshotWire) -> Result<Self, ConfigurationError> {
        let mut routes = RouteTable::default();
        for route in wire.routes {
            let (host, prefix) = (route.host.clone(), route.prefix.clone());
            routes.add(&host, &prefix, Rc::new(route.try_into()?));
        }
        for PlaceWire { host, prefix } in wire.unreadable_routes {
            routes.add_unreadable(&host, &prefix);
        }
        if wire.lacks_routes {
            routes.mark_incomplete();
        }
        let mut services = HashMap::new();
        for service in wire.services {
            let id = service.id.parse().map_err(invalid("service"))?;
            services.insert(id, Service::from(service));
        }
        Ok(Self {
            version: ConfigVersion(wire.version),
            routes,
            services,
            limits: wire.limits.map(CallerLimits::from).unwrap_or_default(),
            organisations: wire.organisations.map(OrganisationKeys::try_from).transpose()?,
            unreadable_parts: wire.unreadable_parts,
        })
    }
}

impl From<(&str, &str)> for PlaceWire {
    fn from((host, prefix): (&str, &str)) -> Self {
        Self { host: host.to_string(), prefix: prefix.to_string() }
    }
}

impl From<(&str, &str, &Rc<Route>)> for RouteWire {
    fn from((host, prefix, route): (&str, &str, &Rc<Route>)) -> Self {
        let share = |share: &ServiceShare| ShareWire {
            service: share.service.to_string(),
            weight: share.weight,
        };
        Self {
            host: host.to_string(),
            prefix: prefix.to_string(),
            id: route.id.to_string(),
            shares: route.shares.iter().map(share).collect(),
            kind: KindWire::from(route.kind).into(),
            timeout_us: whole_micros(route.timeout),
            objective_us: whole_micros(route.objective),
            gap_objective_us: route.gap_objective.map(whole_micros),
            attempts: route.attempts,
            priority: route.priority,
            anonymous: route.anonymous,
            homes: region_names(&route.homes),
        }
    }
}

impl TryFrom<RouteWire> for Route {
    type Error = ConfigurationError;

    fn try_from(wire: RouteWire) -> Result<Self, ConfigurationError> {
        let kind = wire.kind().try_into()?;
        let shares = wire.shares.into_iter().map(|share| {
            let service = share.service.parse().map_err(invalid("service of a route"))?;
            Ok(ServiceShare { service, weight: share.weight })
        });
        Ok(Self {
            id: wire.id.parse().map_err(invalid("route"))?,
            shares: shares.collect::<Result<_, ConfigurationError>>()?,
            kind,
            timeout: from_micros(wire.timeout_us),
            objective: from_micros(wire.objective_us),
            gap_objective: wire.gap_objective_us.map(from_micros),
            attempts: wire.attempts,
            priority: wire.priority,
            anonymous: wire.anonymous,
            homes: parse_regions(wire.homes)?,
        })
    }
}

impl From<RequestKind> for KindWire {
    fn from(kind: RequestKind) -> Self {
        match kind {
            RequestKind::Idempotent => Self::Idempotent,
            RequestKind::Once => Self::Once,
            RequestKind::Stream { resumable: false } => Self::Stream,
            RequestKind::Stream { resumable: true } => Self::ResumableStream,
        }
    }
}

impl TryFrom<KindWire> for RequestKind {
    type Error = ConfigurationError;

    fn try_from(wire: KindWire) -> Result<Self, ConfigurationError> {
        match wire {
            // A router may only repeat requests whose kind it knows.
            KindWire::Unspecified => Err(invalid("kind of a route")("unknown value")),
            KindWire::Idempotent => Ok(Self::Idempotent),
            KindWire::Once => Ok(Self::Once),
            KindWire::Stream => Ok(Self::Stream { resumable: false }),
            KindWire::ResumableStream => Ok(Self::Stream { resumable: true }),
        }
    }
}

impl From<&Service> for ServiceWire {
    fn from(service: &Service) -> Self {
        Self {
            id: String::new(),
            connection_limit: service.connection_limit,
            engine: service.engine.map(|engine| EngineWire {
                slots: engine.slots,
                cache_tokens: engine.cache_tokens.get(),
                transfer_tokens_per_ms: engine.transfer_tokens_per_ms,
            }),
            cold_start: service.cold_start.map(|cold_start| ColdStartWire {
                duration_us: whole_micros(cold_start.duration),
                per_second: cold_start.per_second,
            }),
        }
    }
}

impl From<ServiceWire> for Service {
    fn from(wire: ServiceWire) -> Self {
        Self {
            connection_limit: wire.connection_limit,
            engine: wire.engine.map(|engine| EngineProfile {
                slots: engine.slots,
                cache_tokens: TokenCount::new(engine.cache_tokens),
                transfer_tokens_per_ms: engine.transfer_tokens_per_ms,
            }),
            cold_start: wire.cold_start.map(|cold_start| ColdStart {
                duration: from_micros(cold_start.duration_us),
                per_second: cold_start.per_second,
            }),
        }
    }
}

impl From<CallerLimits> for LimitsWire {
    fn from(limits: CallerLimits) -> Self {
        Self {
            head_bytes: limits.head_bytes.get(),
            body_bytes: limits.body_bytes.get(),
            head_timeout_us: whole_micros(limits.head_timeout),
            idle_timeout_us: whole_micros(limits.idle_timeout),
        }
    }
}

impl From<LimitsWire> for CallerLimits {
    fn from(wire: LimitsWire) -> Self {
        Self {
            head_bytes: ByteCount::new(wire.head_bytes),
            body_bytes: ByteCount::new(wire.body_bytes),
            head_timeout: from_micros(wire.head_timeout_us),
            idle_timeout: from_micros(wire.idle_timeout_us),
        }
    }
}

impl From<&OrganisationKeys> for OrganisationsWire {
    fn from(keys: &OrganisationKeys) -> Self {
        let mut organisations: HashMap<*const KeyHolder, OrganisationWire> = HashMap::new();
        for (key, holder) in keys.iter() {
            let organisation =
                organisations.entry(Rc::as_ptr(holder)).or_insert_with(|| OrganisationWire {
                    id: holder.organisation.to_string(),
                    priority: holder.priority,
                    homes: region_names(&holder.homes),
                    keys: Vec::new(),
                });
            organisation.keys.push(key.secret_text().to_string());
        }
        Self {
            organisations: organisations.into_values().collect(),
            is_incomplete: !keys.is_complete(),
        }
    }
}

impl TryFrom<OrganisationsWire> for OrganisationKeys {
    type Error = ConfigurationError;

    fn try_from(wire: OrganisationsWire) -> Result<Self, ConfigurationError> {
        let mut organisations = Self::default();
        if wire.is_incomplete {
            organisations.mark_incomplete();
        }
        for organisation in wire.organisations {
            let OrganisationWire { id, priority, homes, keys } = organisation;
            let keys: Result<Vec<_>, _> = keys.iter().map(|key| key.parse()).collect();
            let holder = KeyHolder {
                organisation: id.parse().map_err(invalid("organisation"))?,
                priority,
                homes: parse_regions(homes)?,
            };
            organisations.add(holder, keys.map_err(invalid("API key"))?);
        }
        Ok(organisations)
    }
}

fn region_names(homes: &HomeRegions) -> Vec<String> {
    homes.iter().map(Region::to_string).collect()
}

fn parse_regions(names: Vec<String>) -> Result<HomeRegions, ConfigurationError> {
    let regions: Result<HomeRegions, IdError> = names.iter().map(|name| name.parse()).collect();
    regions.map_err(invalid("home region"))
}

fn from_micros(micros: u64) -> Duration {
    Duration::from_micros(micros).min(MAX_DURATION)
}

fn whole_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
