//! The kinds of fault that scenarios inject.

use std::fmt;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FaultKind {
    /// Delays all bytes of a link for a while.
    LinkDelayed,
    /// Cuts the connections of a link after some bytes of answers.
    LinkCut,
    /// Silences the open connections of a link for good.
    LinkSilent,
    /// Holds back all bytes of a link for a while and then releases them.
    LinkHeld,
    /// Cuts the connections of an agent to its server after some bytes of answers.
    ServerLinkCut,
    /// Silences the open connections of an agent to its server for good.
    ServerLinkSilent,
    /// Kills an agent and restarts it without its state.
    AgentKilled,
    /// Pauses an agent and resumes it.
    AgentPaused,
    /// Shuts a router down gracefully and replaces it.
    RouterTerminated,
    /// Shuts an agent down gracefully and replaces it.
    AgentTerminated,
    /// Gives the routers different server lists.
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

    /// Returns whether the fault silences connections, which lasts until the silence is detected.
    pub fn is_silent(self) -> bool {
        matches!(self, FaultKind::LinkSilent | FaultKind::ServerLinkSilent)
    }

    /// Returns whether the fault is a graceful shutdown.
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
