//! Shares processor time among callers whose bodies come in very many pieces.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;

/// Pieces of a body that are read without a pause: those of a usual body.
const UNPACED_PIECES: u32 = 64;
/// Pieces that one body gets at a time.
const TURN_PIECES: u32 = 32;
/// Turns of all bodies together between two pauses.
const TURNS_PER_SLICE: u32 = 8;
/// Minimum duration of a pause: the resolution of timers. The runtime fires timers only when no task is ready.
const MIN_PAUSE: Duration = Duration::from_millis(1);

/// Hands out turns to bodies with many pieces. After each slice of turns it pauses for as long as the slice took, so
/// that such bodies get at most half of the processor.
#[derive(Debug, Clone, Default)]
pub(super) struct PiecePacer {
    waiting: Rc<RefCell<VecDeque<oneshot::Sender<()>>>>,
    is_running: Rc<Cell<bool>>,
}

impl PiecePacer {
    /// Waits until the piece with this number, from 0, may be read.
    pub(super) async fn wait_for_turn(&self, piece: u32) {
        if piece < UNPACED_PIECES || !piece.is_multiple_of(TURN_PIECES) {
            return;
        }
        let (turn, granted) = oneshot::channel();
        self.waiting.borrow_mut().push_back(turn);
        if !self.is_running.replace(true) {
            monoio::spawn(self.clone().grant_turns());
        }
        // The pacer grants turns until nobody waits, so that the turn comes unless the runtime ends.
        let _ = granted.await;
    }

    async fn grant_turns(self) {
        let mut slice_start = Instant::now();
        loop {
            monoio::time::sleep(slice_start.elapsed().max(MIN_PAUSE)).await;
            slice_start = Instant::now();
            let mut granted = 0;
            while granted < TURNS_PER_SLICE {
                let Some(turn) = self.waiting.borrow_mut().pop_front() else { break };
                // A caller that has left needs no turn.
                granted += u32::from(turn.send(()).is_ok());
            }
            if granted == 0 {
                self.is_running.set(false);
                return;
            }
            monoio::time::sleep(MIN_PAUSE).await;
        }
    }
}
