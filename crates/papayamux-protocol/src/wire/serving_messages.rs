//! Prost types of the query between agents before a server stops serving weights.

/// The wire form of [`crate::serving::ServingQuery`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireServingQuestion {
    /// 1 for a model, 2 for an adapter.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// The name of the model or adapter.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The server that is about to stop serving the weights.
    #[prost(string, tag = "3")]
    pub asker: String,
}

/// The wire form of [`crate::serving::ServingAnswer`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireServingAnswer {
    /// 0 if the server serves the weights, otherwise the number of the refusal.
    #[prost(uint32, tag = "1")]
    pub refusal: u32,
}
