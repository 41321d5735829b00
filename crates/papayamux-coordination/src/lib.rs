//! Decisions: where to ask, whether to accept, what may be repeated.
//!
//! Everything here is called from one thread and is given the time by its caller.

pub mod admission;
pub mod admission_ticket;

pub mod attempt_plan;
pub mod body_end;
pub mod cache_survey;
pub mod caller_memory;
pub mod claims;
pub mod cold_servers;
pub mod configuration_readability;
pub mod crash_quarantine;
pub mod domain_evacuations;
pub mod failure_rates;
pub mod fair_queue;
pub mod fair_share;
pub mod fleet_knowledge;
pub mod freshness_confirmation;
pub mod key_freshness;
pub mod late_delivery;
pub mod link_delays;
pub mod load_bound;
pub mod log_limit;
pub mod mechanism;
pub mod orders;
pub mod part_owners;
pub mod part_prefills;
pub mod placement;
pub mod prefill_backlog;
pub mod recent_departures;
pub mod retry_benefit;
pub mod retry_budget;
pub mod retry_delay;
pub mod round_trips;
pub mod route_cost;
pub mod router_peers;
mod seen_requests;
pub mod server_evidence;
pub mod server_liveness;
pub mod server_notices;
pub mod server_presence;
pub mod server_profile;
pub mod server_slots;
pub mod server_slowdown;
pub mod service_queue;
pub mod service_retry_budget;
pub mod shared_queue;
pub mod source_polling;
pub mod stream_origins;
pub mod usual_deadline;
