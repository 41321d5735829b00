//! Forwards SIGTERM, SIGINT and SIGHUP from a separate thread to the daemon's runtime.

use std::io;

use futures_channel::mpsc::{unbounded, UnboundedReceiver};
pub use signal_hook::consts::SIGHUP;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Receives the numbers of caught signals.
pub type SignalReceiver = UnboundedReceiver<i32>;

/// Catches the signals that terminate a daemon.
pub fn catch_termination_signals() -> io::Result<SignalReceiver> {
    catch(&[SIGTERM, SIGINT])
}

/// Catches the signals that terminate a daemon, and SIGHUP, which makes it reload its settings.
pub fn catch_signals() -> io::Result<SignalReceiver> {
    catch(&[SIGTERM, SIGINT, SIGHUP])
}

fn catch(numbers: &[i32]) -> io::Result<SignalReceiver> {
    let mut signals = Signals::new(numbers)?;
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
