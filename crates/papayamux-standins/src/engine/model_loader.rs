//! Loading of models and adapters, as ordered by the agent.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

use bytes::Bytes;
use http::{Request, StatusCode};
use papayamux_protocol::engine::{
    EngineError, EngineErrorCode, EngineOrder, EngineState, MAX_ORDERED_WEIGHTS,
};
use papayamux_protocol::platform::{weights_path, MAX_WEIGHTS_BYTES};
use papayamux_transport::http::{HttpClient, HttpClientError};

use super::batch::EngineBatch;
use super::failure::{engine_error, invalid_request};
use super::loaded_weights::{LoadedWeights, WeightsKey};
use super::options::EngineOptions;

/// Loads and unloads weights according to orders. Clones share their state.
#[derive(Clone)]
pub struct ModelLoader {
    options: Rc<EngineOptions>,
    weights: Rc<RefCell<LoadedWeights>>,
    batch: EngineBatch,
    store: Option<HttpClient>,
}

impl ModelLoader {
    /// Creates a loader that has the models and adapters of the options loaded.
    pub fn new(options: Rc<EngineOptions>, batch: EngineBatch) -> Self {
        let weights = Rc::new(RefCell::new(LoadedWeights::new(&options)));
        let store = options.weight_store.map(HttpClient::new);
        Self { options, weights, batch, store }
    }

    /// Returns the current load state.
    pub fn state(&self) -> EngineState {
        self.weights.borrow().state(&self.options.server)
    }

    /// Returns an error if the model or the adapter is not loaded.
    pub fn check_loaded(&self, model: &str, adapter: Option<&str>) -> Result<(), EngineError> {
        let weights = self.weights.borrow();
        if !weights.is_loaded(&WeightsKey::model(model)) {
            let message = format!("model {model} is not loaded");
            return Err(engine_error(EngineErrorCode::ModelNotLoaded, message));
        }
        match adapter {
            Some(adapter) if !weights.is_loaded(&WeightsKey::adapter(adapter)) => {
                let message = format!("adapter {adapter} is not loaded");
                Err(engine_error(EngineErrorCode::AdapterNotLoaded, message))
            }
            _ => Ok(()),
        }
    }

    /// Returns the identity of the weights below a root, which differs between versions. Returns
    /// `None` if they are not loaded.
    pub fn weights_below(&self, root: u64) -> Option<u64> {
        self.weights.borrow().roots().get(&root).copied()
    }

    /// Applies an order. Loads continue in the background.
    pub fn apply_order(&self, order: EngineOrder) -> Result<EngineState, EngineError> {
        if order.models.len() + order.adapters.len() > MAX_ORDERED_WEIGHTS {
            let message =
                format!("an order names at most {MAX_ORDERED_WEIGHTS} models and adapters");
            return Err(invalid_request(message));
        }
        self.check_fence(order.fence)?;
        let starts = self.change(|weights| weights.retarget(order));
        for (key, version) in starts {
            monoio::spawn(self.clone().load(key, version));
        }
        Ok(self.state())
    }

    fn check_fence(&self, fence: u64) -> Result<(), EngineError> {
        let highest = self.weights.borrow().highest_fence();
        if self.options.ignore_fencing || fence >= highest {
            return Ok(());
        }
        let message = format!("order {fence} is older than order {highest}");
        let error = engine_error(EngineErrorCode::StaleFence, message);
        Err(EngineError { highest_fence: Some(highest), ..error })
    }

    /// Changes the weights, and evicts all blocks that were computed with weights no longer loaded.
    fn change<T>(&self, change: impl FnOnce(&mut LoadedWeights) -> T) -> T {
        let mut weights = self.weights.borrow_mut();
        let before = weights.roots();
        let result = change(&mut weights);
        let after = weights.roots();
        let gone: HashSet<u64> = before
            .iter()
            .filter(|(root, identity)| after.get(root) != Some(identity))
            .map(|(root, _)| *root)
            .collect();
        self.batch.evict_roots(&gone);
        result
    }

    async fn load(self, key: WeightsKey, version: String) {
        let fetched = self.fetch(&key, &version).await;
        monoio::time::sleep(self.options.load_time).await;
        if let Err(reason) = &fetched {
            log::warn!(name = key.name, version = version, reason = reason; "load failed");
        }
        self.change(|weights| weights.loaded(key, version, fetched));
    }

    async fn fetch(&self, key: &WeightsKey, version: &str) -> Result<(), String> {
        let Some(store) = &self.store else { return Ok(()) };
        let request = Request::get(weights_path(&key.name, version))
            .header(http::header::HOST, store.address().to_string())
            .body(Bytes::new())
            .map_err(|error| error.to_string())?;
        let describe = |error: HttpClientError| format!("weight store: {error}");
        let answer = store.send_idempotent(request).await.map_err(describe)?;
        let status = answer.head.status;
        answer.read_body(MAX_WEIGHTS_BYTES as u64).await.map_err(describe)?;
        match status {
            StatusCode::OK => Ok(()),
            other => Err(format!("weight store: status {other}")),
        }
    }
}
