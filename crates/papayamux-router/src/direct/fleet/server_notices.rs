//! What servers say of themselves with their answers.

use papayamux_state::backend::{BackendServer, ServerNotice};

use super::Fleet;

impl Fleet {
    /// Takes in what a server said with an answer.
    pub(in crate::direct) fn take_notice(&self, server: &BackendServer, notice: ServerNotice) {
        if notice.leaves {
            self.metrics.server_notices.count("leaves");
            log::info!(server:% = server.id; "server says that it leaves");
        }
        if let Some(rest) = notice.rest {
            self.metrics.server_notices.count("rests");
            let rest_ms = u64::try_from(rest.as_millis()).unwrap_or(u64::MAX);
            log::info!(server:% = server.id, rest_ms = rest_ms; "server asks for rest");
        }
    }
}
