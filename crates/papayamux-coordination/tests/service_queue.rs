//! Simulates overloads against the service queue alone.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::time::{Duration, Instant};

use papayamux_coordination::service_queue::{
    request_work, CallerTime, EnqueueOutcome, FlowKey, QueuedRequest, ServiceQueue,
};
use papayamux_state::durations::MAX_DURATION;
use papayamux_state::quantities::TokenCount;

/// Slots of the simulated service. Each request takes [`SERVICE_TIME`], so 160 requests complete
/// per second.
const SLOTS: usize = 16;
const SERVICE_TIME: Duration = Duration::from_millis(100);
const OBJECTIVE: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_secs(15);
const TICK: Duration = Duration::from_millis(5);

#[derive(Debug, Clone)]
struct Caller {
    organisation: &'static str,
    priority: u32,
    arrives: Duration,
    /// The time from the caller's first attempt to this arrival.
    since_first_attempt: Duration,
    started: Option<Duration>,
    refused: Option<Duration>,
}

/// Creates `rate` callers per second of one organisation.
fn callers(organisation: &'static str, priority: u32, rate: u32, seconds: u32) -> Vec<Caller> {
    let gap = Duration::from_secs(1) / rate;
    let caller = |number| Caller {
        organisation,
        priority,
        arrives: gap * number,
        since_first_attempt: Duration::ZERO,
        started: None,
        refused: None,
    };
    (0..rate * seconds).map(caller).collect()
}

fn request(caller: &Caller, now: Instant) -> QueuedRequest {
    QueuedRequest {
        flow: FlowKey {
            organisation: Some(caller.organisation.parse().unwrap()),
            priority: caller.priority,
        },
        work: request_work(TokenCount::new(500), TokenCount::new(200), 6.0),
        time: CallerTime {
            arrived: now,
            since_first_attempt: caller.since_first_attempt,
            objective: OBJECTIVE,
            time_left: DEADLINE - caller.since_first_attempt,
            service_time: SERVICE_TIME,
        },
    }
}

/// Simulates the callers at a service with [`SLOTS`] slots and returns their outcomes.
fn replay(mut callers: Vec<Caller>) -> Vec<Caller> {
    callers.sort_by_key(|caller| caller.arrives);
    let started_at = Instant::now() + Duration::from_secs(60);
    let mut queue = ServiceQueue::<usize>::default();
    let mut running: Vec<(Duration, TokenCount)> = Vec::new();
    let mut next = 0;
    let end = callers.last().unwrap().arrives + DEADLINE;
    let work = request_work(TokenCount::new(500), TokenCount::new(200), 6.0);
    let mut time = Duration::ZERO;
    while time < end {
        let now = started_at + time;
        running.retain(|(until, work)| {
            if *until <= time {
                queue.record_completion(*work, SERVICE_TIME, now);
            }
            *until > time
        });
        for (index, _) in queue.take_overdue(now) {
            let caller: &mut Caller = &mut callers[index];
            caller.refused = Some(time);
        }
        let free = (SLOTS - running.len()) as u32;
        for index in queue.dispatch(free, free) {
            queue.release_reservation();
            callers[index].started = Some(time);
            queue.record_dispatch(work, now);
            running.push((time + SERVICE_TIME, work));
        }
        while next < callers.len() && callers[next].arrives <= time {
            let free = (SLOTS - running.len()) as u32;
            let caller = &mut callers[next];
            match queue.enqueue(request(caller, now), next, free) {
                EnqueueOutcome::Admitted => {
                    caller.started = Some(time);
                    queue.record_dispatch(work, now);
                    running.push((time + SERVICE_TIME, work));
                }
                EnqueueOutcome::Queued(_) => {}
                EnqueueOutcome::Refused(_) => caller.refused = Some(time),
            }
            next += 1;
        }
        time += TICK;
    }
    callers
}

fn on_time(caller: &Caller) -> bool {
    caller.started.is_some_and(|started| started + SERVICE_TIME - caller.arrives <= OBJECTIVE)
}

/// Returns the share of the callers that match `check`.
fn share_of(callers: &[Caller], check: impl Fn(&Caller) -> bool) -> f64 {
    callers.iter().filter(|caller| check(caller)).count() as f64 / callers.len() as f64
}

fn of(callers: &[Caller], organisation: &str) -> Vec<Caller> {
    callers.iter().filter(|caller| caller.organisation == organisation).cloned().collect()
}

#[test]
fn no_request_queues_while_slots_are_free() {
    let simulated = replay(callers("calm", 1, 140, 4));
    let at_once =
        |caller: &Caller| caller.started.is_some_and(|started| started - caller.arrives < 2 * TICK);
    assert!(share_of(&simulated, at_once) > 0.999);
}

#[test]
fn surge_of_all_organisations_is_served_on_time_or_refused() {
    // Two and a half times the capacity of the service, from ten organisations.
    let names = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];
    let all = names.into_iter().flat_map(|name| callers(name, 1, 40, 6)).collect();
    let simulated = replay(all);
    let served = share_of(&simulated, |caller| caller.started.is_some());
    assert!((0.35..0.5).contains(&served), "{served}");
    assert!(share_of(&simulated, on_time) > 0.9 * served, "{}", share_of(&simulated, on_time));
    let answered =
        share_of(&simulated, |caller| caller.started.is_some() != caller.refused.is_some());
    assert_eq!(answered, 1.0);
}

#[test]
fn unservable_requests_are_refused_at_once() {
    let simulated = replay(callers("all", 1, 400, 6));
    let refused: Vec<_> = simulated.into_iter().filter(|caller| caller.refused.is_some()).collect();
    let at_once = |caller: &Caller| {
        caller.refused.is_some_and(|refused| refused - caller.arrives < OBJECTIVE / 8)
    };
    assert!(share_of(&refused, at_once) > 0.95, "{}", share_of(&refused, at_once));
}

#[test]
fn sudden_surge_is_not_refused_by_the_low_rate_before_it() {
    // Five requests per second for a while, then 36 at once, all of which can be served within 300
    // ms.
    let mut all = callers("calm", 1, 5, 3);
    let at_once = callers("surge", 1, 36, 1).into_iter();
    all.extend(at_once.map(|caller| Caller { arrives: Duration::from_secs(2), ..caller }));
    let simulated = replay(all);
    assert_eq!(share_of(&simulated, on_time), 1.0);
}

#[test]
fn surge_of_one_organisation_leaves_others_their_share() {
    // One of five organisations sends eight times its usual rate.
    let names = ["b", "c", "d", "e"];
    let mut all = callers("surging", 1, 200, 6);
    all.extend(names.into_iter().flat_map(|name| callers(name, 1, 25, 6)));
    let simulated = replay(all);
    for name in names {
        let served = share_of(&of(&simulated, name), on_time);
        assert!(served > 0.95, "{name}: {served}");
    }
    let surging = share_of(&of(&simulated, "surging"), on_time);
    assert!(surging > 0.2, "the surging organisation gets the remaining capacity: {surging}");
}

#[test]
fn urgent_requests_are_dispatched_first_without_starvation() {
    let mut all = callers("urgent", 0, 150, 6);
    all.extend(callers("usual", 1, 150, 6));
    all.extend(callers("batch", 2, 150, 6));
    let simulated = replay(all);
    let served = |name: &str| share_of(&of(&simulated, name), |caller| caller.started.is_some());
    let (urgent, usual, batch) = (served("urgent"), served("usual"), served("batch"));
    assert!(urgent > usual && usual > batch, "{urgent} {usual} {batch}");
    let mean = (urgent + usual + batch) / 3.0;
    assert!(batch > mean / 4.0, "{batch} of {mean}");
}

/// Creates `rate` retries per second, each this long after its first attempt.
fn retries(rate: u32, seconds: u32, since_first_attempt: Duration) -> Vec<Caller> {
    let back = callers("all", 1, rate, seconds).into_iter();
    back.map(|caller| Caller { since_first_attempt, ..caller }).collect()
}

/// Returns the share of the retries, or of the new requests, that was served.
fn served(simulated: &[Caller], is_retry: bool) -> f64 {
    let group = simulated.iter().filter(|one| one.since_first_attempt.is_zero() != is_retry);
    let group: Vec<_> = group.cloned().collect();
    share_of(&group, |caller| caller.started.is_some())
}

#[test]
fn on_time_retries_are_served_before_new_requests() {
    let mut all = callers("all", 1, 380, 6);
    all.extend(retries(20, 6, Duration::from_millis(200)));
    let simulated = replay(all);
    assert!(served(&simulated, true) > 0.95, "{}", served(&simulated, true));
    assert!(served(&simulated, false) > 0.3, "{}", served(&simulated, false));
}

#[test]
fn late_retries_take_no_slots_from_on_time_requests() {
    // Late retries alone use the whole capacity, and even more requests are new.
    let mut all = callers("all", 1, 240, 6);
    all.extend(retries(160, 6, Duration::from_secs(3)));
    let simulated = replay(all);
    let new_requests = simulated.iter().filter(|one| one.since_first_attempt.is_zero());
    let new_requests: Vec<_> = new_requests.cloned().collect();
    let served_on_time = share_of(&new_requests, on_time);
    // 160 requests per second can be served.
    assert!(served_on_time > 0.6, "{served_on_time}");
    let is_decided_early = |caller: &Caller| {
        caller.started.is_some()
            || caller.refused.is_some_and(|refused| refused - caller.arrives < OBJECTIVE / 8)
    };
    let late: Vec<_> =
        simulated.into_iter().filter(|one| !one.since_first_attempt.is_zero()).collect();
    assert!(share_of(&late, is_decided_early) > 0.9, "{}", share_of(&late, is_decided_early));
}

#[test]
fn late_retries_are_served_with_the_remaining_capacity() {
    // New requests use three quarters of the capacity.
    let mut all = callers("all", 1, 120, 6);
    all.extend(retries(30, 6, Duration::from_secs(3)));
    let simulated = replay(all);
    assert!(served(&simulated, true) > 0.95, "{}", served(&simulated, true));
    let new_requests = simulated.iter().filter(|one| one.since_first_attempt.is_zero());
    let new_requests: Vec<_> = new_requests.cloned().collect();
    assert!(share_of(&new_requests, on_time) > 0.99, "{}", share_of(&new_requests, on_time));
}

#[test]
fn slot_of_a_disconnected_caller_goes_to_the_next() {
    let now = Instant::now();
    let mut queue = ServiceQueue::default();
    let caller = &callers("all", 1, 1, 1)[0];
    assert_eq!(queue.enqueue(request(caller, now), 1, 0), EnqueueOutcome::Queued(Duration::ZERO));
    assert_eq!(queue.enqueue(request(caller, now), 2, 0), EnqueueOutcome::Queued(Duration::ZERO));
    assert!(queue.remove(&1));
    assert!(!queue.remove(&1));
    assert_eq!(queue.dispatch(1, 1), [2]);
    // The slot stays reserved until it is taken, so no other request gets it.
    assert_ne!(queue.enqueue(request(caller, now), 3, 1), EnqueueOutcome::Admitted);
    queue.release_reservation();
    assert_eq!(queue.dispatch(1, 1), [3]);
}

#[test]
fn queue_drains_when_slots_become_free() {
    // The service stops for a while: overdue requests are refused, and the rest is dispatched.
    let now = Instant::now();
    let mut queue = ServiceQueue::default();
    let caller = &callers("all", 1, 1, 1)[0];
    queue.enqueue(request(caller, now), 1, 0);
    let later = now + OBJECTIVE;
    queue.enqueue(request(caller, later), 2, 0);
    let refused: Vec<_> = queue.take_overdue(later).into_iter().map(|(item, _)| item).collect();
    assert_eq!(refused, [1]);
    assert_eq!(queue.dispatch(u32::MAX, u32::MAX), [2]);
    assert!(queue.is_empty());
}

#[test]
fn request_that_would_be_next_isnt_refused_by_one_request_in_progress() {
    let now = Instant::now();
    let caller = &callers("all", 1, 1, 1)[0];
    let usual = request(caller, now);
    let mut queue = ServiceQueue::default();
    queue.set_shared(true);
    for number in 0..2 {
        assert_eq!(queue.enqueue(usual.clone(), number, 1), EnqueueOutcome::Admitted);
        queue.record_dispatch(usual.work, now);
    }
    let later = now + Duration::from_millis(138);
    queue.record_completion(usual.work, Duration::from_millis(138), later);
    // The request in progress takes longer than the next one may wait.
    let mut hurried = request(caller, later);
    hurried.time.objective = SERVICE_TIME + Duration::from_millis(155);
    assert_eq!(hurried.time.wait_budget(), Duration::from_millis(93));
    let outcome = queue.enqueue(hurried.clone(), 2, 0);
    assert!(matches!(outcome, EnqueueOutcome::Queued(_)), "{outcome:?}");
    // Behind it the rate decides.
    let outcome = queue.enqueue(hurried, 3, 0);
    let EnqueueOutcome::Refused(refusal) = outcome else { panic!("{outcome:?}") };
    assert_eq!((refusal.waiting, refusal.free_slots), (1, 0));
    assert_eq!((refusal.evidence.in_flight, refusal.evidence.completed), (1, 1));
    assert_eq!(refusal.evidence.age, Some(Duration::ZERO));
}

#[test]
fn lone_router_refuses_at_once_by_two_requests_in_progress() {
    let now = Instant::now();
    let caller = &callers("all", 1, 1, 1)[0];
    let usual = request(caller, now);
    let mut queue = ServiceQueue::default();
    for number in 0..2 {
        assert_eq!(queue.enqueue(usual.clone(), number, 2), EnqueueOutcome::Admitted);
        queue.record_dispatch(usual.work, now);
    }
    let later = now + Duration::from_millis(138);
    queue.record_completion(usual.work, Duration::from_millis(138), later);
    queue.record_dispatch(usual.work, later);
    // Two slots complete a request in 69 ms. It may wait for 0.6 of its budget, 48 ms.
    let mut hurried = request(caller, later);
    hurried.time.objective = SERVICE_TIME + Duration::from_millis(133);
    assert_eq!(hurried.time.wait_budget(), Duration::from_micros(79_800));
    let outcome = queue.enqueue(hurried.clone(), 2, 0);
    assert!(matches!(outcome, EnqueueOutcome::Refused(_)), "{outcome:?}");
    // The slots of other routers may become free earlier.
    queue.set_shared(true);
    let outcome = queue.enqueue(hurried, 2, 0);
    assert!(matches!(outcome, EnqueueOutcome::Queued(_)), "{outcome:?}");
}

/// A queue before a service whose slots are all in use: 160 requests complete per second.
struct FullService {
    queue: ServiceQueue<String>,
    now: Instant,
}

impl FullService {
    fn new(mut queue: ServiceQueue<String>) -> Self {
        let started = Instant::now();
        let now = started + SERVICE_TIME;
        let caller = &callers("running", 1, 1, 1)[0];
        let work = request(caller, started).work;
        (0..SLOTS).for_each(|_| queue.record_dispatch(work, started));
        queue.record_completion(work, SERVICE_TIME, now);
        queue.record_dispatch(work, now);
        Self { queue, now }
    }

    fn enqueue(&mut self, organisation: &str, priority: u32) -> EnqueueOutcome {
        let mut request = request(&callers("any", priority, 1, 1)[0], self.now);
        request.flow.organisation = Some(organisation.parse().unwrap());
        self.queue.enqueue(request, organisation.to_string(), 0)
    }

    /// Enqueues a request each of new organisations until one is refused or displaces others.
    /// Returns the organisations of those queued, and of those displaced.
    fn fill(&mut self, name: &str, priority: u32) -> (Vec<String>, Vec<String>) {
        let mut queued = Vec::new();
        loop {
            let organisation = format!("{name}-{:02}", queued.len());
            let outcome = self.enqueue(&organisation, priority);
            if matches!(outcome, EnqueueOutcome::Refused(_)) {
                return (queued, self.displaced(priority));
            }
            queued.push(organisation);
            let displaced = self.displaced(priority);
            if !displaced.is_empty() {
                return (queued, displaced);
            }
        }
    }

    fn displaced(&mut self, by_priority: u32) -> Vec<String> {
        let displaced = self.queue.take_displaced().into_iter().map(|(organisation, refusal)| {
            assert_eq!(refusal.displaced_by.unwrap().priority, by_priority);
            organisation
        });
        displaced.collect()
    }
}

#[test]
fn urgent_request_displaces_the_last_of_the_least_urgent() {
    let mut service = FullService::new(ServiceQueue::with_displacement());
    // 23 requests complete in the 144 ms that each may expect to wait.
    let (batch, _) = service.fill("batch", 2);
    assert_eq!(batch.len(), 23);
    let (urgent, displaced) = service.fill("urgent", 0);
    // The weight of 16 urgent flows and of 23 batch flows, each a third, exceeds 23 by that of two
    // batch flows.
    assert_eq!(urgent.len(), 16);
    assert_eq!(displaced, [batch[22].clone(), batch[21].clone()]);
    assert_eq!(service.queue.len(), 16 + 21);
    assert!(!service.queue.remove(&batch[22]), "a displaced request is no longer queued");
}

#[test]
fn requests_of_the_same_or_a_more_urgent_priority_are_not_displaced() {
    for priority in [1, 2] {
        let mut service = FullService::new(ServiceQueue::with_displacement());
        let (usual, _) = service.fill("usual", 1);
        let (queued, displaced) = service.fill("newcomer", priority);
        assert_eq!((queued.len(), displaced.len()), (0, 0), "{priority}");
        assert_eq!(service.queue.len(), usual.len());
    }
}

#[test]
fn requests_of_the_same_priority_and_dispatched_ones_are_not_displaced() {
    let mut service = FullService::new(ServiceQueue::with_displacement());
    service.fill("batch", 2);
    let mut sent = service.queue.dispatch(4, 4);
    let mut displaced = Vec::new();
    for round in 0..20 {
        displaced.extend(service.fill(&format!("urgent-{round}"), 0).1);
        sent.extend(service.queue.dispatch(sent.len() as u32 + 1, 1));
    }
    assert!(displaced.len() > 4, "{displaced:?}");
    assert!(displaced.iter().all(|organisation| organisation.starts_with("batch")));
    assert!(!displaced.iter().any(|organisation| sent.contains(organisation)));
}

#[test]
fn refused_urgent_requests_dont_keep_less_urgent_ones_out() {
    let mut service = FullService::new(ServiceQueue::with_displacement());
    // The less urgent flow has used more than its share.
    for number in 0..300 {
        let mut request = request(&callers("batch", 2, 1, 1)[0], service.now);
        request.flow.organisation = Some("batch".parse().unwrap());
        let outcome = service.queue.enqueue(request, format!("batch-{number}"), 1);
        assert_eq!(outcome, EnqueueOutcome::Admitted);
    }
    // More than the service completes in two seconds, nearly all refused.
    let outcomes: Vec<_> = (0..400).map(|_| service.enqueue("urgent", 0)).collect();
    let refused = outcomes.iter().filter(|outcome| matches!(outcome, EnqueueOutcome::Refused(_)));
    assert!(refused.count() > 350);
    service.queue.dispatch(u32::MAX, u32::MAX);
    (0..u32::from(u8::MAX)).for_each(|_| service.queue.release_reservation());
    let outcome = service.enqueue("batch", 2);
    assert!(matches!(outcome, EnqueueOutcome::Queued(_)), "{outcome:?}");
}

#[test]
fn late_requests_displace_none() {
    let mut service = FullService::new(ServiceQueue::with_displacement());
    let mut late = |organisation: String, priority: u32| {
        let mut caller = callers("any", priority, 1, 1).remove(0);
        caller.since_first_attempt = Duration::from_secs(3);
        let mut request = request(&caller, service.now);
        assert!(request.time.is_late());
        request.flow.organisation = Some(organisation.parse().unwrap());
        service.queue.enqueue(request, organisation, 0)
    };
    let mut fill = |name: &str, priority: u32| {
        let outcomes = (0..2_000).map(|number| late(format!("{name}-{number}"), priority));
        outcomes.filter(|outcome| matches!(outcome, EnqueueOutcome::Queued(_))).count()
    };
    assert!((1..2_000).contains(&fill("batch", 2)));
    fill("urgent", 0);
    assert!(service.queue.take_displaced().is_empty());
}

#[test]
fn requests_within_the_share_of_their_flow_are_not_displaced() {
    let mut service = FullService::new(ServiceQueue::with_displacement());
    service.fill("batch", 2);
    // The third request of a flow of priority 0 uses as much for its weight as the first one of
    // priority 2.
    assert!(matches!(service.enqueue("urgent", 0), EnqueueOutcome::Queued(_)));
    assert!(matches!(service.enqueue("urgent", 0), EnqueueOutcome::Queued(_)));
    assert!(matches!(service.enqueue("urgent", 0), EnqueueOutcome::Refused(_)));
    assert!(service.queue.take_displaced().is_empty());
}

#[test]
fn nothing_is_displaced_where_displacement_is_disabled() {
    let mut service = FullService::new(ServiceQueue::default());
    service.fill("batch", 2);
    let (urgent, displaced) = service.fill("urgent", 0);
    assert_eq!((urgent.len(), displaced.len()), (15, 0));
}

#[test]
fn urgent_requests_are_dispatched_before_what_others_use_beyond_their_share() {
    let order = |queue| {
        let mut service = FullService::new(queue);
        service.enqueue("a", 2);
        service.enqueue("b", 0);
        service.queue.dispatch(1, 1).pop().unwrap()
    };
    assert_eq!(order(ServiceQueue::with_displacement()), "b");
    assert_eq!(order(ServiceQueue::default()), "a");
}

#[test]
fn less_urgent_flow_gets_half_of_its_share_at_a_router_that_completes_one_request_a_second() {
    let mut now = Instant::now();
    let mut queue = ServiceQueue::with_displacement();
    let mut dispatched = Vec::new();
    let long = |priority: u32, organisation: &'static str, now: Instant| {
        let mut request = request(&callers(organisation, priority, 1, 1)[0], now);
        // Enough for the wait of a request of the lowest weight, eight seconds.
        request.time.objective = Duration::from_secs(60);
        request.time.time_left = Duration::from_secs(200);
        request
    };
    let work = long(0, "urgent", now).work;
    // Two slots, each of which takes two seconds for a request.
    (0..2).for_each(|_| queue.record_dispatch(work, now));
    for _ in 0..300 {
        now += Duration::from_secs(1);
        queue.record_completion(work, Duration::from_secs(2), now);
        queue.take_overdue(now);
        for (priority, organisation) in [(0, "urgent"), (0, "urgent"), (2, "batch")] {
            queue.enqueue(long(priority, organisation, now), organisation, 0);
        }
        queue.take_displaced();
        dispatched.extend(queue.dispatch(1, 1));
        queue.release_reservation();
        queue.record_dispatch(work, now);
    }
    let batch = dispatched.iter().filter(|organisation| **organisation == "batch").count();
    // The weighted share of priority 2 beside priority 0 is a quarter.
    let half = dispatched.len() / 4 / 2;
    assert!(batch >= half, "{batch} of {}", dispatched.len());
}

/// Guards against objectives that end the router when it adds them to its clock.
#[test]
fn objectives_of_any_length_have_a_deadline() {
    let now = Instant::now();
    let time = CallerTime {
        arrived: now,
        since_first_attempt: Duration::ZERO,
        objective: Duration::MAX,
        time_left: MAX_DURATION,
        service_time: Duration::MAX,
    };
    assert_eq!(time.answer_deadline(), now + MAX_DURATION);
    let time = CallerTime { objective: MAX_DURATION, ..time };
    assert!(time.is_late());
    assert!(time.wait_budget() <= MAX_DURATION);
}
