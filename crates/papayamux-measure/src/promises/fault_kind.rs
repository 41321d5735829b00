//! The kinds of fault that a scenario brings about.

use std::fmt;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FaultKind {
    /// All bytes of a link are late for a while.
    LinkDelayed,
    /// The connections of a link are cut after some bytes of answers.
    LinkCut,
    /// The open connections of a link go silent for good.
    LinkSilent,
    /// A link keeps all bytes for a while, and lets them go.
    LinkHeld,
    /// The connections of an agent to its server are cut after some bytes of answers.
    ServerLinkCut,
    /// The open connections of an agent to its server go silent for good.
    ServerLinkSilent,
    /// An agent is killed and restarted with empty memory.
    AgentKilled,
    /// An agent is paused and woken.
    AgentPaused,
    /// A router ends gracefully and is replaced.
    RouterTerminated,
    /// An agent ends gracefully and is replaced.
    AgentTerminated,
    /// The routers know different servers.
    ListsDiffer,
}

impl FaultKind {
    /// Every kind.
    pub const ALL: [FaultKind; 11] = [
        FaultKind::LinkDelayed,
        FaultKind::LinkCut,
        FaultKind::LinkSilent,
        FaultKind::LinkHeld,
        FaultKind::ServerLinkCut,
        FaultKind::ServerLinkSilent,
        FaultKind::AgentKilled,
        FaultKind::AgentPaused,
        FaultKind::RouterTerminated,
        FaultKind::AgentTerminated,
        FaultKind::ListsDiffer,
    ];

    /// Whether the fault concerns connections that go silent until they are found.
    pub fn is_silent(self) -> bool {
        matches!(self, FaultKind::LinkSilent | FaultKind::ServerLinkSilent)
    }

    /// Whether the fault is a graceful shutdown.
    pub fn is_graceful(self) -> bool {
        matches!(self, FaultKind::RouterTerminated | FaultKind::AgentTerminated)
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            FaultKind::LinkDelayed => "link_delayed",
            FaultKind::LinkCut => "link_cut",
            FaultKind::LinkSilent => "link_silent",
            FaultKind::LinkHeld => "link_held",
            FaultKind::ServerLinkCut => "server_link_cut",
            FaultKind::ServerLinkSilent => "server_link_silent",
            FaultKind::AgentKilled => "agent_killed",
            FaultKind::AgentPaused => "agent_paused",
            FaultKind::RouterTerminated => "router_terminated",
            FaultKind::AgentTerminated => "agent_terminated",
            FaultKind::ListsDiffer => "lists_differ",
        })
    }
}
