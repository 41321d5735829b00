//! The reasons for refusing a request. A refused request was never run.

use std::fmt;

macro_rules! refusal_reasons {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $label:literal;)*) => {
        /// The reason for which an agent or a router refused a request.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum RefusalReason {
            $($(#[$doc])* $name,)*
        }

        impl RefusalReason {
            /// All reasons, in the order of their declaration.
            pub const ALL: &'static [RefusalReason] = &[$(RefusalReason::$name,)*];

            /// Returns the number of the reason on the wire.
            pub const fn number(self) -> u32 {
                match self { $(RefusalReason::$name => $number,)* }
            }

            /// Returns the reason with this number on the wire.
            pub const fn from_number(number: u32) -> Option<Self> {
                match number { $($number => Some(RefusalReason::$name),)* _ => None }
            }

            /// Returns the stable label for metrics, logs and error bodies.
            pub const fn label(self) -> &'static str {
                match self { $(RefusalReason::$name => $label,)* }
            }
        }
    };
}

refusal_reasons! {
    /// The request names another incarnation of the agent.
    WrongIncarnation = 1, "wrong_incarnation";
    /// The agent has seen the request's id before.
    SeenBefore = 2, "seen_before";
    /// The request was received after its deadline.
    DeadlinePassed = 3, "deadline_passed";
    /// The server is draining.
    Leaving = 4, "leaving";
    /// The server is at its capacity limit.
    AtCapacity = 5, "at_capacity";
    /// The agent can't reach its server.
    ServerUnreachable = 6, "server_unreachable";
    /// The server does not serve the model or route.
    NotServed = 7, "not_served";
    /// The router couldn't reach any agent.
    NoAgentReachable = 8, "no_agent_reachable";
    /// The request was cancelled before it ran.
    Cancelled = 9, "cancelled";
    /// The call has an idempotency key but doesn't name a claim of it.
    ClaimMissing = 30, "claim_missing";
    /// The agent has already run a call with the same key.
    KeyRunBefore = 31, "key_run_before";
    /// The answer of the first run is not stored.
    AnswerNotKept = 32, "answer_not_kept";
    /// The witness has run for less than a retention window.
    WitnessYoung = 33, "witness_young";
    /// The witness knows a different view of the declared fleet.
    OtherFleet = 34, "other_fleet";
    /// The witness can't store any more claims.
    ClaimsFull = 35, "claims_full";
    /// Another attempt holds the key.
    KeyHeld = 36, "key_held";
    /// The key was used for another call.
    KeyReused = 37, "key_reused";
    /// The first run did not finish with a complete answer.
    FirstRunFailed = 38, "first_run_failed";
    /// Too few witnesses granted the key.
    NoMajority = 39, "no_majority";
    /// The connection was lost before the request was received. The agent refuses the request from
    /// then on.
    NeverArrived = 40, "never_arrived";
    /// The server has reached the configured multiple of the mean load.
    OverBound = 10, "over_bound";
    /// The queue is full.
    QueueFull = 11, "queue_full";
    /// The request would be queued past its deadline.
    WaitTooLong = 12, "wait_too_long";
    /// The request lost its place in the queue to an organisation or class that takes precedence.
    Displaced = 13, "displaced";
    /// The chat's context is cached on another server.
    ContextElsewhere = 14, "context_elsewhere";
    /// Servers crashed while they ran the request.
    Quarantined = 15, "quarantined";
    /// The agent has no memory for the request's body.
    NoMemory = 16, "no_memory";
    /// The engine doesn't have the model loaded.
    ModelNotLoaded = 50, "model_not_loaded";
    /// The engine doesn't have the adapter loaded.
    AdapterNotLoaded = 51, "adapter_not_loaded";
    /// A newer agent has taken control of the engine.
    Superseded = 52, "superseded";
    /// The engine is about to unload the model or adapter.
    Unloading = 53, "unloading";
}

impl RefusalReason {
    /// Returns whether the same request may be sent to another server.
    pub const fn may_try_elsewhere(self) -> bool {
        !matches!(
            self,
            RefusalReason::DeadlinePassed
                | RefusalReason::Cancelled
                | RefusalReason::ClaimMissing
                | RefusalReason::KeyRunBefore
                | RefusalReason::Quarantined
        )
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}

impl std::error::Error for RefusalReason {}
