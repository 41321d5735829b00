//! SIGTERM and SIGINT, brought from a thread of their own to the daemon's runtime.

use std::io;

use futures_channel::mpsc::{unbounded, UnboundedReceiver};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Signal numbers as they arrive.
pub type SignalReceiver = UnboundedReceiver<i32>;

/// Catches the signals that end a daemon.
pub fn catch_end_signals() -> io::Result<SignalReceiver> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (sender, receiver) = unbounded();
    std::thread::Builder::new().name("signals".to_string()).spawn(move || {
        for signal in signals.forever() {
            if sender.unbounded_send(signal).is_err() {
                break;
            }
        }
    })?;
    Ok(receiver)
}
