//! Which requests an agent runs, queues and refuses.

mod support;

use std::future::Future;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use papayamux_coordination::admission::{
    Admission, AdmissionController, AdmissionLimits, AdmissionPermit, TOP_PRIORITY,
};
use papayamux_coordination::admission_ticket::AdmissionTicket;
use papayamux_protocol::link::AgentClock;
use papayamux_state::ids::Incarnation;
use papayamux_state::load::{GroupLoad, LoadFactor, ADMISSION_MARGIN};
use papayamux_state::quantities::RequestCount;
use papayamux_state::refusal::RefusalReason;
use support::{mean_load, request, TestResult, AGENT};

/// Inputs for each property: at least as many as run within a second in a debug build.
const GENERATED_INPUTS: usize = 10_000;

const NOW: AgentClock = AgentClock(1_000);

fn controller(capacity: u64) -> Rc<AdmissionController> {
    let limits = AdmissionLimits::of_capacity(RequestCount::new(capacity));
    AdmissionController::new(Incarnation::from(AGENT), limits)
}

fn poll(ticket: &AdmissionTicket) -> Poll<Result<AdmissionPermit, RefusalReason>> {
    let granted = std::pin::pin!(ticket.granted());
    granted.poll(&mut Context::from_waker(Waker::noop()))
}

fn is_granted(ticket: &AdmissionTicket) -> bool {
    matches!(poll(ticket), Poll::Ready(Ok(_)))
}

fn ticket(admission: Result<Admission, RefusalReason>) -> Option<AdmissionTicket> {
    match admission {
        Ok(Admission::Waiting(ticket)) => Some(ticket),
        _ => None,
    }
}

/// Collects the granted permits and keeps the tickets that are still queued.
fn collect_grants(tickets: &mut Vec<AdmissionTicket>, permits: &mut Vec<AdmissionPermit>) {
    tickets.retain(|ticket| match poll(ticket) {
        Poll::Ready(Ok(permit)) => {
            permits.push(permit);
            false
        }
        outcome => outcome.is_pending(),
    });
}

#[test]
fn no_interleaving_admits_above_the_bound() {
    bolero::check!().with_iterations(GENERATED_INPUTS).with_type::<Vec<(u8, u8)>>().for_each(
        |steps| {
            let controller = controller(8);
            let (mut permits, mut tickets) = (Vec::new(), Vec::new());
            for (number, (step, value)) in steps.iter().enumerate() {
                let now = NOW.after(Duration::from_millis(20 * number as u64));
                let received = mean_load(f64::from(value % 10));
                if step % 4 != 3 {
                    controller.record_mean_load(&received, now);
                }
                collect_grants(&mut tickets, &mut permits);
                let (before, limit) =
                    (controller.running(), controller.load(Some(received.group), now).limit);
                match step % 4 {
                    0 => {}
                    3 if permits.is_empty() => {}
                    3 => drop(permits.swap_remove(usize::from(*value) % permits.len())),
                    _ => {
                        let Ok(mut open) = request(number as u64, "yanchang") else { return };
                        open.placement.group_load = Some(received);
                        if step % 4 == 1 {
                            open.placement.wait_budget = Duration::ZERO;
                        }
                        match controller.admit(&open, now) {
                            Ok(Admission::Admitted(permit)) => permits.push(permit),
                            Ok(Admission::Waiting(ticket)) => tickets.push(ticket),
                            Err(_) => {}
                        }
                    }
                }
                collect_grants(&mut tickets, &mut permits);
                assert_eq!(controller.running().get(), permits.len() as u64);
                assert!(
                    controller.running() <= before.max(limit),
                    "{} > {limit}",
                    controller.running()
                );
            }
        },
    );
}

#[test]
fn bound_rounds_down_but_leaves_a_slot_for_every_request() {
    for total in 0..200_u32 {
        for servers in [1, 3, 4, 12, 20] {
            let mean = f64::from(total) / f64::from(servers);
            let limit = LoadFactor::DEFAULT.limit(mean, servers).get();
            let slots = limit * u64::from(servers);
            assert!(slots > u64::from(total), "{total} requests, {slots} slots");
            let share = f64::from(total + 1) / f64::from(servers);
            let margin = LoadFactor::DEFAULT.get() * ADMISSION_MARGIN;
            assert!(limit as f64 <= (margin * share).max(share.ceil()));
        }
    }
}

#[test]
fn lone_server_of_a_group_is_bound_by_its_capacity_alone() -> TestResult {
    let controller = controller(64);
    let alone = GroupLoad { servers: 1, ..mean_load(0.0) };
    let mut permits = Vec::new();
    for number in 0..64 {
        let mut open = request(number, "yanchang")?;
        open.placement.group_load = Some(alone);
        controller.record_mean_load(&alone, NOW);
        let Ok(Admission::Admitted(permit)) = controller.admit(&open, NOW) else {
            return Err("the request was not admitted".into());
        };
        permits.push(permit);
    }
    Ok(())
}

#[test]
fn server_at_the_bound_refuses_although_it_has_capacity() -> TestResult {
    let controller = controller(64);
    let mut permits = Vec::new();
    let mut outcome = Ok(());
    let mut open = request(0, "yanchang")?;
    open.placement.group_load = Some(mean_load(4.0));
    for number in 1..11 {
        open.id.number = number;
        open.placement.wait_budget = Duration::ZERO;
        controller.record_mean_load(&mean_load(4.0), NOW);
        match controller.admit(&open, NOW) {
            Ok(Admission::Admitted(permit)) => permits.push(permit),
            Ok(Admission::Waiting(_)) => return Err("the request was queued".into()),
            Err(reason) => outcome = Err(reason),
        }
    }
    // Three quarters of twice the mean of 4, counting the request itself as a quarter of one on
    // each server, rounded down.
    assert_eq!(permits.len(), 6);
    assert_eq!(outcome, Err(RefusalReason::OverBound));
    open.id.number = 11;
    open.placement.wait_budget = Duration::from_secs(1);
    let waiting = ticket(controller.admit(&open, NOW)).ok_or("the request was not queued")?;
    permits.pop();
    assert!(
        is_granted(&waiting),
        "a request with a wait budget is queued until the bound admits it"
    );
    Ok(())
}

#[test]
fn mean_load_that_is_not_reported_again_expires() -> TestResult {
    let controller = controller(64);
    controller.record_mean_load(&mean_load(0.0), NOW);
    let group = Some(mean_load(0.0).group);
    assert_eq!(controller.load(group, NOW).limit, RequestCount::new(1));
    let later = NOW.after(Duration::from_secs(10));
    assert_eq!(controller.load(group, later).limit, RequestCount::new(64));
    Ok(())
}

#[test]
fn full_agent_refuses_or_queues_by_the_wait_budget_of_the_router() -> TestResult {
    let controller = controller(1);
    let running = controller.admit(&request(1, "yanchang")?, NOW);
    let mut without_wait = request(2, "yanchang")?;
    without_wait.placement.wait_budget = Duration::ZERO;
    assert_eq!(controller.admit(&without_wait, NOW).err(), Some(RefusalReason::AtCapacity));
    let waiting = ticket(controller.admit(&request(3, "yanchang")?, NOW))
        .ok_or("the request was not queued")?;
    assert!(!is_granted(&waiting));
    drop(running);
    assert!(is_granted(&waiting));
    Ok(())
}

#[test]
fn abandoned_queue_position_goes_to_the_next() -> TestResult {
    let controller = controller(1);
    let running = controller.admit(&request(1, "yanchang")?, NOW);
    let first = ticket(controller.admit(&request(2, "yanchang")?, NOW))
        .ok_or("the request was not queued")?;
    let second = ticket(controller.admit(&request(3, "yanchang")?, NOW))
        .ok_or("the request was not queued")?;
    drop(first);
    assert_eq!(controller.waiting(), RequestCount::new(1));
    drop(running);
    assert!(is_granted(&second));
    Ok(())
}

#[test]
fn unclaimed_grant_goes_to_the_next() -> TestResult {
    let controller = controller(1);
    let running = controller.admit(&request(1, "yanchang")?, NOW);
    let first = ticket(controller.admit(&request(2, "yanchang")?, NOW))
        .ok_or("the request was not queued")?;
    let second = ticket(controller.admit(&request(3, "yanchang")?, NOW))
        .ok_or("the request was not queued")?;
    drop(running);
    drop(first);
    assert!(is_granted(&second));
    assert_eq!(controller.running(), RequestCount::new(0));
    Ok(())
}

#[test]
fn top_class_goes_first_and_has_a_reserved_slot() -> TestResult {
    let controller = controller(8);
    let mut top = request(1, "gates")?;
    top.priority = TOP_PRIORITY;
    drop(controller.admit(&top, NOW));
    let mut running = Vec::new();
    for number in 2..9 {
        running.push(controller.admit(&request(number, "itineraries")?, NOW)?);
    }
    let waiting = ticket(controller.admit(&request(9, "itineraries")?, NOW))
        .ok_or("the request was not queued")?;
    top.id.number = 10;
    let reserved = controller.admit(&top, NOW)?;
    assert!(matches!(reserved, Admission::Admitted(_)), "no slot was reserved");
    top.id.number = 11;
    let next = ticket(controller.admit(&top, NOW)).ok_or("the request was not queued")?;
    running.pop();
    assert!(is_granted(&next), "the top class goes before earlier requests");
    assert!(!is_granted(&waiting));
    Ok(())
}

#[test]
fn wait_past_the_deadline_is_refused_at_once() -> TestResult {
    let controller = controller(1);
    controller.record_run(Duration::from_secs(3_000));
    let _running = controller.admit(&request(1, "yanchang")?, NOW)?;
    let refused = controller.admit(&request(2, "yanchang")?, NOW);
    assert_eq!(refused.err(), Some(RefusalReason::WaitTooLong));
    Ok(())
}

#[test]
fn refused_request_stays_refused() -> TestResult {
    let controller = controller(1);
    let running = controller.admit(&request(1, "yanchang")?, NOW);
    let mut open = request(2, "yanchang")?;
    open.placement.wait_budget = Duration::ZERO;
    assert_eq!(controller.admit(&open, NOW).err(), Some(RefusalReason::AtCapacity));
    drop(running);
    assert_eq!(controller.admit(&open, NOW).err(), Some(RefusalReason::SeenBefore));
    Ok(())
}
