//! The weights that an engine loads: models and adapters.

use std::fmt;

use crate::ids::{AdapterId, ModelId};

/// The kind of weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WeightsKind {
    /// A model.
    Model,
    /// An adapter on top of a model.
    Adapter,
}

impl WeightsKind {
    /// Returns the stable label for metrics, logs and settings.
    pub const fn label(self) -> &'static str {
        match self {
            WeightsKind::Model => "model",
            WeightsKind::Adapter => "adapter",
        }
    }
}

/// A reference to a model or an adapter, regardless of its version. Models sort before adapters.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WeightsRef {
    /// Whether it is a model or an adapter.
    pub kind: WeightsKind,
    /// The name of the model or adapter.
    pub name: String,
}

impl WeightsRef {
    /// Returns a reference to the weights of a model.
    pub fn model(model: &ModelId) -> Self {
        Self { kind: WeightsKind::Model, name: model.to_string() }
    }

    /// Returns a reference to the weights of an adapter.
    pub fn adapter(adapter: &AdapterId) -> Self {
        Self { kind: WeightsKind::Adapter, name: adapter.to_string() }
    }
}

impl fmt::Display for WeightsRef {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.kind.label(), self.name)
    }
}
