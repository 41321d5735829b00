//! Reports of routers to the owner of a service's shared queue, and the owner's answers.

use std::time::Duration;

use papayamux_state::backend::ServerSlowdown;
use papayamux_state::ids::{IdError, Incarnation, OrganisationId, ServerKey, ServiceId};
use papayamux_state::quantities::TokenCount;
use papayamux_state::shared_queue::{
    HeldSlot, QueueAnswer, QueueDecision, QueueReport, QueuedTicket, ServerOccupancy, TicketAnswer,
    TicketNumber,
};
use prost::Message;
use thiserror::Error;

/// The error of decoding a message about a shared queue.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum QueueExchangeError {
    /// The service or an organisation is malformed.
    #[error(transparent)]
    Id(#[from] IdError),
    /// The columns of a table have different lengths.
    #[error("the columns of {table} have different lengths")]
    Columns {
        /// The table.
        table: &'static str,
    },
    /// A request refers to an organisation that the message doesn't list.
    #[error("organisation {index} is not listed")]
    Organisation {
        /// The number of the organisation in the message, from 1.
        index: u32,
    },
}

/// A report in columns. Times are in milliseconds.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct QueueReportWire {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    sequence: u64,
    /// The organisations to which the column of organisations refers.
    #[prost(string, repeated, tag = "4")]
    organisations: Vec<String>,
    #[prost(uint64, repeated, tag = "5")]
    numbers: Vec<u64>,
    /// Numbers of organisations, from 1; 0 for callers without a key.
    #[prost(uint32, repeated, tag = "6")]
    organisation_numbers: Vec<u32>,
    #[prost(uint32, repeated, tag = "7")]
    priorities: Vec<u32>,
    #[prost(uint64, repeated, tag = "8")]
    work: Vec<u64>,
    #[prost(uint32, repeated, tag = "9")]
    waited: Vec<u32>,
    #[prost(uint32, repeated, tag = "10")]
    since_first_attempt: Vec<u32>,
    #[prost(uint32, repeated, tag = "11")]
    objectives: Vec<u32>,
    #[prost(uint32, repeated, tag = "12")]
    time_left: Vec<u32>,
    #[prost(uint32, repeated, tag = "13")]
    service_times: Vec<u32>,
    #[prost(uint64, repeated, tag = "14")]
    held_numbers: Vec<u64>,
    #[prost(fixed32, repeated, tag = "15")]
    held_servers: Vec<u32>,
    #[prost(message, optional, tag = "16")]
    occupancy: Option<OccupancyWire>,
}

#[derive(Clone, PartialEq, Message)]
struct OccupancyWire {
    #[prost(fixed32, repeated, tag = "1")]
    servers: Vec<u32>,
    #[prost(uint32, repeated, tag = "2")]
    running: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    waiting: Vec<u32>,
    /// Slowdowns in per cent; 0 if a server didn't report one.
    #[prost(uint32, repeated, tag = "4")]
    slowdowns: Vec<u32>,
    #[prost(uint32, repeated, tag = "5")]
    ages: Vec<u32>,
}

/// An answer in columns. Waits are in milliseconds.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct QueueAnswerWire {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    sequence: u64,
    #[prost(bool, tag = "4")]
    is_contended: bool,
    #[prost(uint64, repeated, tag = "5")]
    granted_numbers: Vec<u64>,
    #[prost(fixed32, repeated, tag = "6")]
    granted_servers: Vec<u32>,
    #[prost(uint64, repeated, tag = "7")]
    refused_numbers: Vec<u64>,
    #[prost(uint32, repeated, tag = "8")]
    waits: Vec<u32>,
    #[prost(uint32, repeated, tag = "9")]
    waiting: Vec<u32>,
}

impl From<&QueueReport> for QueueReportWire {
    fn from(report: &QueueReport) -> Self {
        let mut wire = Self {
            service: report.service.to_string(),
            incarnation: report.incarnation.get(),
            sequence: report.sequence,
            held_numbers: report.held.iter().map(|slot| slot.number.0).collect(),
            held_servers: report.held.iter().map(|slot| slot.server.0).collect(),
            occupancy: (!report.occupancy.is_empty())
                .then(|| OccupancyWire::from(report.occupancy.as_slice())),
            ..Self::default()
        };
        report.waiting.iter().for_each(|ticket| wire.add_ticket(ticket));
        wire
    }
}

impl QueueReportWire {
    fn add_ticket(&mut self, ticket: &QueuedTicket) {
        let organisation = self.organisation_number(ticket.organisation.as_ref());
        self.numbers.push(ticket.number.0);
        self.organisation_numbers.push(organisation);
        self.priorities.push(ticket.priority);
        self.work.push(ticket.work.get());
        self.waited.push(millis(ticket.waited));
        self.since_first_attempt.push(millis(ticket.since_first_attempt));
        self.objectives.push(millis(ticket.objective));
        self.time_left.push(millis(ticket.time_left));
        self.service_times.push(millis(ticket.service_time));
    }

    /// Returns the number of an organisation, which is added to the list if it isn't there.
    fn organisation_number(&mut self, organisation: Option<&OrganisationId>) -> u32 {
        let Some(organisation) = organisation else { return 0 };
        let listed = self.organisations.iter().position(|other| other == organisation.as_str());
        let index = listed.unwrap_or_else(|| {
            self.organisations.push(organisation.to_string());
            self.organisations.len() - 1
        });
        u32::try_from(index + 1).unwrap_or(0)
    }

    fn tickets(&self) -> Result<Vec<QueuedTicket>, QueueExchangeError> {
        let count = self.numbers.len();
        let lengths = [
            self.organisation_numbers.len(),
            self.priorities.len(),
            self.work.len(),
            self.waited.len(),
            self.since_first_attempt.len(),
            self.objectives.len(),
            self.time_left.len(),
            self.service_times.len(),
        ];
        check_columns("waiting requests", count, &lengths)?;
        let organisations: Vec<OrganisationId> =
            self.organisations.iter().map(|text| text.parse()).collect::<Result<_, _>>()?;
        (0..count)
            .map(|row| {
                Ok(QueuedTicket {
                    number: TicketNumber(self.numbers[row]),
                    organisation: find_organisation(
                        &organisations,
                        self.organisation_numbers[row],
                    )?,
                    priority: self.priorities[row],
                    work: TokenCount::new(self.work[row]),
                    waited: from_millis(self.waited[row]),
                    since_first_attempt: from_millis(self.since_first_attempt[row]),
                    objective: from_millis(self.objectives[row]),
                    time_left: from_millis(self.time_left[row]),
                    service_time: from_millis(self.service_times[row]),
                })
            })
            .collect()
    }
}

impl TryFrom<QueueReportWire> for QueueReport {
    type Error = QueueExchangeError;

    fn try_from(wire: QueueReportWire) -> Result<Self, QueueExchangeError> {
        let waiting = wire.tickets()?;
        check_columns("held slots", wire.held_numbers.len(), &[wire.held_servers.len()])?;
        let held = wire.held_numbers.into_iter().zip(wire.held_servers);
        let held = held.map(|(number, server)| HeldSlot {
            number: TicketNumber(number),
            server: ServerKey(server),
        });
        Ok(Self {
            service: wire.service.parse::<ServiceId>()?,
            incarnation: Incarnation::from(wire.incarnation),
            sequence: wire.sequence,
            waiting,
            held: held.collect(),
            occupancy: wire.occupancy.map(Vec::try_from).transpose()?.unwrap_or_default(),
        })
    }
}

impl From<&[ServerOccupancy]> for OccupancyWire {
    fn from(occupancy: &[ServerOccupancy]) -> Self {
        let percent = |server: &ServerOccupancy| {
            server.slowdown.map_or(0, |slowdown: ServerSlowdown| slowdown.percent())
        };
        Self {
            servers: occupancy.iter().map(|server| server.server.0).collect(),
            running: occupancy.iter().map(|server| server.running).collect(),
            waiting: occupancy.iter().map(|server| server.waiting).collect(),
            slowdowns: occupancy.iter().map(percent).collect(),
            ages: occupancy.iter().map(|server| millis(server.age)).collect(),
        }
    }
}

impl TryFrom<OccupancyWire> for Vec<ServerOccupancy> {
    type Error = QueueExchangeError;

    fn try_from(wire: OccupancyWire) -> Result<Self, QueueExchangeError> {
        let lengths =
            [wire.running.len(), wire.waiting.len(), wire.slowdowns.len(), wire.ages.len()];
        check_columns("server reports", wire.servers.len(), &lengths)?;
        let rows = (0..wire.servers.len()).map(|row| ServerOccupancy {
            server: ServerKey(wire.servers[row]),
            running: wire.running[row],
            waiting: wire.waiting[row],
            slowdown: ServerSlowdown::from_percent(wire.slowdowns[row]),
            age: from_millis(wire.ages[row]),
        });
        Ok(rows.collect())
    }
}

impl From<&QueueAnswer> for QueueAnswerWire {
    fn from(answer: &QueueAnswer) -> Self {
        let mut wire = Self {
            service: answer.service.to_string(),
            incarnation: answer.incarnation.get(),
            sequence: answer.sequence,
            is_contended: answer.is_contended,
            ..Self::default()
        };
        for TicketAnswer { number, decision } in &answer.decisions {
            match decision {
                QueueDecision::Granted(server) => {
                    wire.granted_numbers.push(number.0);
                    wire.granted_servers.push(server.0);
                }
                QueueDecision::Refused { wait, waiting } => {
                    wire.refused_numbers.push(number.0);
                    wire.waits.push(millis(*wait));
                    wire.waiting.push(*waiting);
                }
            }
        }
        wire
    }
}

/// The decisions come in the order of the columns: grants, then refusals.
impl TryFrom<QueueAnswerWire> for QueueAnswer {
    type Error = QueueExchangeError;

    fn try_from(wire: QueueAnswerWire) -> Result<Self, QueueExchangeError> {
        check_columns("grants", wire.granted_numbers.len(), &[wire.granted_servers.len()])?;
        let lengths = [wire.waits.len(), wire.waiting.len()];
        check_columns("refusals", wire.refused_numbers.len(), &lengths)?;
        let granted = wire.granted_numbers.into_iter().zip(wire.granted_servers);
        let granted = granted.map(|(number, server)| TicketAnswer {
            number: TicketNumber(number),
            decision: QueueDecision::Granted(ServerKey(server)),
        });
        let refused =
            wire.refused_numbers.into_iter().zip(wire.waits.into_iter().zip(wire.waiting));
        let refused = refused.map(|(number, (wait, waiting))| TicketAnswer {
            number: TicketNumber(number),
            decision: QueueDecision::Refused { wait: from_millis(wait), waiting },
        });
        Ok(Self {
            service: wire.service.parse::<ServiceId>()?,
            incarnation: Incarnation::from(wire.incarnation),
            sequence: wire.sequence,
            decisions: granted.chain(refused).collect(),
            is_contended: wire.is_contended,
        })
    }
}

fn find_organisation(
    organisations: &[OrganisationId],
    number: u32,
) -> Result<Option<OrganisationId>, QueueExchangeError> {
    let Some(index) = number.checked_sub(1) else { return Ok(None) };
    match organisations.get(index as usize) {
        Some(organisation) => Ok(Some(organisation.clone())),
        None => Err(QueueExchangeError::Organisation { index: number }),
    }
}

fn check_columns(
    table: &'static str,
    rows: usize,
    lengths: &[usize],
) -> Result<(), QueueExchangeError> {
    match lengths.iter().all(|length| *length == rows) {
        true => Ok(()),
        false => Err(QueueExchangeError::Columns { table }),
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

fn from_millis(millis: u32) -> Duration {
    Duration::from_millis(u64::from(millis))
}
