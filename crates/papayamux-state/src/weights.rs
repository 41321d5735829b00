//! Models and adapters as things that an engine loads.

use std::fmt;

use crate::ids::{AdapterId, ModelId};

/// What weights are for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WeightsKind {
    /// A model.
    Model,
    /// An adapter on top of a model.
    Adapter,
}

impl WeightsKind {
    /// The stable word for metrics, logs and settings.
    pub const fn label(self) -> &'static str {
        match self {
            WeightsKind::Model => "model",
            WeightsKind::Adapter => "adapter",
        }
    }
}

/// A model or an adapter, whatever its version. Models sort before adapters.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WeightsRef {
    /// What it is.
    pub kind: WeightsKind,
    /// Its name.
    pub name: String,
}

impl WeightsRef {
    /// The weights of a model.
    pub fn model(model: &ModelId) -> Self {
        Self { kind: WeightsKind::Model, name: model.to_string() }
    }

    /// The weights of an adapter.
    pub fn adapter(adapter: &AdapterId) -> Self {
        Self { kind: WeightsKind::Adapter, name: adapter.to_string() }
    }
}

impl fmt::Display for WeightsRef {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.kind.label(), self.name)
    }
}
