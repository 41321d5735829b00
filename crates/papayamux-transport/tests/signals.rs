//! Shutdown signals wake all waiters and release the slots of dropped ones.

use futures_util::future::{join, select, Either};
use papayamux_transport::runtime;
use papayamux_transport::shutdown::ShutdownSignal;

#[test]
fn all_waiters_are_woken_and_dropped_ones_free_their_slots() -> std::io::Result<()> {
    runtime::run(async {
        let signal = ShutdownSignal::new();
        for _ in 0..3 {
            let wait = signal.triggered();
            let other = std::future::ready(());
            assert!(matches!(select(wait, other).await, Either::Right(_)));
        }
        let waiting = join(signal.triggered(), signal.triggered());
        let sender = signal.clone();
        monoio::spawn(async move { sender.trigger() });
        waiting.await;
        signal.triggered().await;
        assert!(signal.is_triggered());
    })
}
