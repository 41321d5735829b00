//! State of a configuration service: files, faults and counters, shared by its connections.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use futures_util::future::{select, Either};
use papayamux_protocol::platform::{ConfigFile, FileListing};
use papayamux_transport::shutdown::ShutdownSignal;

use super::file_history::{FileHistory, HistoryError};
use super::options::{ConfigFaults, ConfigServiceOptions, ServedView};
use crate::call_meter::{CallCounters, CallMeter};

/// The state of a configuration service.
pub struct ServiceState {
    history: RefCell<FileHistory>,
    faults: RefCell<ConfigFaults>,
    meter: RefCell<CallMeter>,
    changed: RefCell<ShutdownSignal>,
}

impl ServiceState {
    /// Creates the state of a service without files.
    pub fn new(options: ConfigServiceOptions) -> Self {
        Self {
            history: RefCell::default(),
            faults: RefCell::default(),
            meter: RefCell::new(CallMeter::new(options.reads_per_second)),
            changed: RefCell::default(),
        }
    }

    /// Counts a read and returns `true` if it is within the rate limit.
    pub fn accept_read(&self) -> bool {
        self.meter.borrow_mut().accept(Instant::now())
    }

    /// Returns the call counters.
    pub fn counters(&self) -> CallCounters {
        self.meter.borrow().counters()
    }

    /// Returns the current faults.
    pub fn faults(&self) -> ConfigFaults {
        *self.faults.borrow()
    }

    /// Replaces the faults and wakes pending watches. Returns the faults now in effect, in which
    /// [`ServedView::Frozen`] is resolved to a revision.
    pub fn set_faults(&self, mut faults: ConfigFaults) -> ConfigFaults {
        if faults.view == ServedView::Frozen {
            faults.view = ServedView::At(self.served_revision());
        }
        self.faults.replace(faults);
        self.wake_watches();
        faults
    }

    /// Puts or removes a file and wakes pending watches.
    pub fn put(&self, name: &str, text: Option<&str>) -> Result<u64, HistoryError> {
        let revision = self.history.borrow_mut().put(name, text)?;
        self.wake_watches();
        Ok(revision)
    }

    /// Lists the files changed after revision `after`, as served to readers.
    pub fn listing(&self, after: u64) -> FileListing {
        self.history.borrow().listing(self.served_revision(), after)
    }

    /// Returns a file as served to readers.
    pub fn file(&self, name: &str) -> Option<ConfigFile> {
        self.history.borrow().file(self.served_revision(), name)
    }

    /// Waits until a change after revision `after` is served, the timeout expires, or the service
    /// becomes unavailable.
    pub async fn watch(&self, after: u64, timeout: Duration) -> FileListing {
        let mut over = Box::pin(monoio::time::sleep(timeout));
        loop {
            let changed = self.changed.borrow().clone();
            let listing = self.listing(after);
            if !listing.files.is_empty() || self.faults().unavailable {
                return listing;
            }
            let changed = std::pin::pin!(changed.triggered());
            if let Either::Right(_) = select(changed, over.as_mut()).await {
                return self.listing(after);
            }
        }
    }

    fn served_revision(&self) -> u64 {
        let newest = self.history.borrow().revision();
        match self.faults().view {
            ServedView::Live | ServedView::Frozen => newest,
            ServedView::At(revision) => revision.min(newest),
        }
    }

    fn wake_watches(&self) {
        self.changed.replace(ShutdownSignal::new()).trigger();
    }
}
