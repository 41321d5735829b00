//! Requests that wait while their engine reads a part for another one, of this router or of others.

use std::time::{Duration, Instant};

use papayamux_coordination::mechanism::Mechanism;
use papayamux_coordination::part_flights::{FlightTicket, PromptReading};
use papayamux_coordination::part_owners::is_worth_telling;
use papayamux_coordination::placement::HolderNote;
use papayamux_state::ids::ServerId;
use papayamux_state::prompt::PartId;
use papayamux_state::quantities::TokenCount;

use super::{ChosenServer, Fleet};

/// What an engine has begun to read, for the other routers.
#[derive(Debug, Clone)]
pub(in crate::direct) struct StartedReading {
    /// The engine.
    pub server: ServerId,
    /// The shared prefixes of the prompt, with their tokens.
    pub prefixes: Vec<(PartId, TokenCount)>,
    /// What it reads; nothing where that has ended.
    pub reading: Option<PromptReading>,
}

/// A reading of this router.
pub(in crate::direct) struct OwnReading {
    ticket: FlightTicket,
    /// What the others were told.
    told: Option<StartedReading>,
}

/// Whether the owner of a chain's last part should know who holds it.
fn is_worth_noting(prefixes: &[(PartId, TokenCount)]) -> bool {
    is_worth_telling(prefixes.iter().map(|(_, tokens)| tokens.get()).sum())
}

impl Fleet {
    /// Waits while the same parts are read at a server for another request, up to `patience`.
    /// Returns how long that was, nothing where none is read there.
    pub(in crate::direct) async fn wait_for_parts(
        &self,
        server: &ServerId,
        prefixes: &[(PartId, TokenCount)],
        patience: Duration,
    ) -> Option<Duration> {
        if !self.uses(Mechanism::PartWaits) {
            return None;
        }
        let begun = Instant::now();
        let mut waited = false;
        loop {
            let now = Instant::now();
            let until = self.flights.borrow().wait_until(server, prefixes, now);
            let Some(until) = until.map(|until| until.min(begun + patience)) else { break };
            waited = true;
            let left = until.saturating_duration_since(now);
            let read = self.part_read.borrow().clone();
            if left.is_zero() || monoio::time::timeout(left, read.triggered()).await.is_err() {
                break;
            }
        }
        waited.then(|| begun.elapsed())
    }

    /// Notes that a request begins to read, at the server that was chosen, what that isn't known to
    /// hold of these parts.
    pub(in crate::direct) fn begin_reading(
        &self,
        chosen: &ChosenServer,
        prefixes: &[(PartId, TokenCount)],
    ) -> OwnReading {
        let held = chosen.placement.held;
        let mut end = TokenCount::default();
        let lacking = prefixes.iter().filter(|(_, tokens)| {
            end += *tokens;
            end > held
        });
        let lacking: Vec<_> = lacking.copied().collect();
        // Where the server is only believed to hold a part, it may have to read it.
        let guessed = match chosen.fetch_from {
            None => chosen.placement.guessed,
            Some(_) => TokenCount::default(),
        };
        let cold = chosen.placement.cold + guessed;
        let speed = self.speed(&chosen.server);
        let expected = chosen.expected + speed.reading_time(guessed);
        let now = Instant::now();
        let server = &chosen.server.id;
        let ahead = TokenCount::new(self.load_at(&chosen.server, now).backlog);
        let waiting = self.queue_reports.borrow().waiting(server, now);
        let reading = PromptReading { cold, begun: now, expected, ahead, waiting };
        if !lacking.is_empty() && is_worth_noting(prefixes) {
            let reading = Some(reading);
            self.tell_owner(StartedReading {
                server: server.clone(),
                prefixes: prefixes.to_vec(),
                reading,
            });
        }
        let is_told = self.uses(Mechanism::ReadingsTold) && reading.is_worth_telling(&lacking);
        let told = is_told.then(|| {
            // The whole chain is told, so that its parts are known as what follows what.
            let prefixes = prefixes.to_vec();
            StartedReading { server: server.clone(), prefixes, reading: Some(reading) }
        });
        if let Some(started) = &told {
            self.tell_reading(started.clone());
        }
        OwnReading { ticket: self.flights.borrow_mut().begin(server, &lacking, reading), told }
    }

    fn tell_reading(&self, started: StartedReading) {
        self.readings.borrow_mut().push(started);
        self.reading_begun.take().trigger();
    }

    /// Waits until a reading has begun that the other routers should hear of; returns all such.
    pub(in crate::direct) async fn next_readings(&self) -> Vec<StartedReading> {
        if self.readings.borrow().is_empty() {
            let begun = self.reading_begun.borrow().clone();
            begun.triggered().await;
        }
        self.readings.take()
    }

    /// Notes what an engine has begun to read for another router.
    pub(in crate::direct) fn note_reading(&self, started: &StartedReading) {
        let StartedReading { server, prefixes, reading } = started;
        match reading {
            Some(reading) => {
                let note = HolderNote { server: server.clone(), prefixes: prefixes.clone() };
                self.note_holder(&note);
                self.flights.borrow_mut().note_elsewhere(server, prefixes, *reading);
            }
            None => {
                self.flights.borrow_mut().end_elsewhere(server, prefixes);
                self.part_read.take().trigger();
            }
        }
    }

    /// Notes that a request's prompt was read, or that it won't be.
    pub(in crate::direct) fn end_reading(&self, own: OwnReading) {
        self.flights.borrow_mut().end(&own.ticket);
        if let Some(told) = own.told {
            self.tell_reading(StartedReading { reading: None, ..told });
        }
        self.part_read.take().trigger();
    }
}
