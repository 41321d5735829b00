//! Why work is refused. A refusal always means that the work was not run.

use std::fmt;

macro_rules! refusal_reasons {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $label:literal;)*) => {
        /// Why an agent or a router refused a request.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum RefusalReason {
            $($(#[$doc])* $name,)*
        }

        impl RefusalReason {
            /// Every reason, in the order of their numbers.
            pub const ALL: &'static [RefusalReason] = &[$(RefusalReason::$name,)*];

            /// The number sent on the wire.
            pub const fn number(self) -> u32 {
                match self { $(RefusalReason::$name => $number,)* }
            }

            /// The reason with this number on the wire.
            pub const fn from_number(number: u32) -> Option<Self> {
                match number { $($number => Some(RefusalReason::$name),)* _ => None }
            }

            /// The stable word for metrics, logs and error bodies.
            pub const fn label(self) -> &'static str {
                match self { $(RefusalReason::$name => $label,)* }
            }
        }
    };
}

refusal_reasons! {
    /// The request names another incarnation of the agent.
    WrongIncarnation = 1, "wrong_incarnation";
    /// The request's id was seen before.
    SeenBefore = 2, "seen_before";
    /// The request came after its deadline.
    DeadlinePassed = 3, "deadline_passed";
    /// The server is leaving.
    Leaving = 4, "leaving";
    /// The server is at its bound.
    AtCapacity = 5, "at_capacity";
    /// The server can't be reached by its agent.
    ServerUnreachable = 6, "server_unreachable";
    /// The server does not serve the model or route.
    NotServed = 7, "not_served";
    /// No agent could be reached by the router.
    NoAgentReachable = 8, "no_agent_reachable";
    /// The request was cancelled before it ran.
    Cancelled = 9, "cancelled";
    /// The call has an idempotency key, but names no claim of it.
    ClaimMissing = 30, "claim_missing";
    /// The agent has run a call with the same key.
    KeyRunBefore = 31, "key_run_before";
    /// The first run's answer is not held.
    AnswerNotKept = 32, "answer_not_kept";
    /// The witness has lived for less than a retention window.
    WitnessYoung = 33, "witness_young";
    /// The witness knows of another declared fleet.
    OtherFleet = 34, "other_fleet";
    /// The witness can remember no further claim.
    ClaimsFull = 35, "claims_full";
    /// Another attempt holds the key.
    KeyHeld = 36, "key_held";
    /// The key was used for another call.
    KeyReused = 37, "key_reused";
    /// The first run did not end with a whole answer.
    FirstRunFailed = 38, "first_run_failed";
    /// Too few witnesses granted the key.
    NoMajority = 39, "no_majority";
    /// The connection was lost before the request arrived, and it is refused from now on.
    NeverArrived = 40, "never_arrived";
    /// The server carries the set multiple of the mean load.
    OverBound = 10, "over_bound";
    /// The queue is full.
    QueueFull = 11, "queue_full";
    /// The request would have to wait past its deadline.
    WaitTooLong = 12, "wait_too_long";
    /// The place in the queue went to an organisation or class with a better right to it.
    Displaced = 13, "displaced";
    /// The chat's context is at another server.
    ContextElsewhere = 14, "context_elsewhere";
    /// Servers have ended under the request.
    Quarantined = 15, "quarantined";
    /// The engine does not have the model loaded at present.
    ModelNotLoaded = 50, "model_not_loaded";
    /// The engine does not have the adapter loaded at present.
    AdapterNotLoaded = 51, "adapter_not_loaded";
    /// A newer agent orders the engine.
    Superseded = 52, "superseded";
    /// The engine is about to unload the model or adapter.
    Unloading = 53, "unloading";
}

impl RefusalReason {
    /// Whether the same request may be asked of another server.
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
