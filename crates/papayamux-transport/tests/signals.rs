//! Shutdown signals reach all who wait, and forget those who no longer do.

use futures_util::future::{join, select, Either};
use papayamux_transport::runtime;
use papayamux_transport::shutdown::ShutdownSignal;

#[test]
fn all_waiters_are_woken_and_dropped_ones_leave_their_place() -> std::io::Result<()> {
    runtime::run(async {
        let signal = ShutdownSignal::new();
        for _ in 0..3 {
            let wait = signal.given();
            let other = std::future::ready(());
            assert!(matches!(select(wait, other).await, Either::Right(_)));
        }
        let waiting = join(signal.given(), signal.given());
        let giver = signal.clone();
        monoio::spawn(async move { giver.give() });
        waiting.await;
        signal.given().await;
        assert!(signal.is_given());
    })
}
