//! Calls with an idempotency key through routers that know different servers. Each key runs at most
//! once, and a retry gets the first answer or a failure that reports what is known of the first
//! run.

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use papayamux_protocol::failure::{FailureBody, FailureCode, FailureOutcome};
use papayamux_protocol::headers::IDEMPOTENCY_KEY;
use papayamux_standins::fault_proxy::LinkFaults;
use papayamux_state::refusal::RefusalReason;
use papayamux_testbed::{Caller, CallerOutcome, Fleet, FleetPlan, FLEET_PATH};
use papayamux_transport::runtime;

type TestResult = Result<(), Box<dyn Error>>;

/// Indexes of the servers in the fleet. Router 0 knows the engine and the first service, router 1
/// the engine and the second service. The agents of all three are the witnesses of every key.
const ENGINE: usize = 0;
const FIRST_SERVICE: usize = 1;
const SECOND_SERVICE: usize = 2;
const TIMEOUT: Duration = Duration::from_secs(30);
const CALL_MS: &str = "200";

/// Returns a plan with two routers that know different servers.
fn plan() -> FleetPlan {
    FleetPlan::builder()
        .engines(1)
        .services(2)
        .faulty_links(true)
        .known_servers(vec![vec![ENGINE, FIRST_SERVICE], vec![ENGINE, SECOND_SERVICE]])
        .service_arguments(["--call-ms", CALL_MS].map(str::to_string).into())
        .router_lines("start_within = 1s\nresume_within = 1s".to_string())
        .build()
}

fn with_fleet(test: impl AsyncFnOnce(&mut Fleet) -> TestResult) -> TestResult {
    let mut fleet = Fleet::start(plan())?;
    runtime::run(async {
        fleet.wait_claims_open().await?;
        test(&mut fleet).await
    })?
}

fn caller(fleet: &Fleet, router: usize) -> Result<Caller, Box<dyn Error>> {
    Ok(Caller::new(fleet.routers[router].listen()?, "yanchang-desk"))
}

async fn book(caller: Caller, key: &str, body: &'static str) -> CallerOutcome<Bytes> {
    let headers = [(IDEMPOTENCY_KEY, key)];
    caller.call_once(Method::POST, FLEET_PATH, &headers, Bytes::from_static(body.as_bytes())).await
}

async fn book_at(fleet: &Fleet, router: usize, key: &str) -> Result<Booking, Box<dyn Error>> {
    Booking::of(book(caller(fleet, router)?, key, "{\"coach\":1}").await)
}

/// The result of a booking: an answer, or a failure that the router reported.
#[derive(Debug)]
enum Booking {
    Answered(Bytes),
    Reported(FailureBody),
}

impl Booking {
    fn of(outcome: CallerOutcome<Bytes>) -> Result<Self, Box<dyn Error>> {
        match outcome {
            CallerOutcome::Answered(body) => Ok(Self::Answered(body)),
            CallerOutcome::Reported(failure) => Ok(Self::Reported(failure)),
            other => Err(format!("neither an answer nor a failure: {other:?}").into()),
        }
    }

    fn answer(self) -> Result<Bytes, Box<dyn Error>> {
        match self {
            Self::Answered(body) => Ok(body),
            Self::Reported(failure) => {
                Err(format!("expected an answer, but the router reported {failure:?}").into())
            }
        }
    }

    fn failure(self) -> Result<FailureBody, Box<dyn Error>> {
        match self {
            Self::Reported(failure) => Ok(failure),
            Self::Answered(body) => {
                Err(format!("expected a failure, but the booking was answered with {body:?}")
                    .into())
            }
        }
    }
}

async fn runs_of(fleet: &Fleet, key: &str) -> Result<u64, Box<dyn Error>> {
    let mut runs = 0;
    for service in [FIRST_SERVICE, SECOND_SERVICE] {
        let counts = fleet.servers[service].service_runs().await?;
        runs += counts.by_key.get(key).copied().unwrap_or(0);
    }
    Ok(runs)
}

#[test]
fn concurrent_calls_with_one_key_run_once() -> TestResult {
    with_fleet(async |fleet| {
        let mut answered = 0;
        for number in 0..20 {
            let key = format!("twin-{number}");
            let attempts = [0, 1].map(|router| {
                let (caller, key) = (caller(fleet, router), key.clone());
                monoio::spawn(async move { Some(book(caller.ok()?, &key, "{}").await) })
            });
            let mut answers = Vec::new();
            for attempt in attempts {
                match Booking::of(
                    attempt.await.ok_or("the caller of the router can't be created")?,
                )? {
                    Booking::Answered(answer) => answers.push(answer),
                    Booking::Reported(failure) => {
                        assert_eq!(failure.outcome, FailureOutcome::Unknown, "{failure:?}");
                    }
                }
            }
            answered += answers.len();
            assert!(answers.windows(2).all(|pair| pair[0] == pair[1]), "{answers:?}");
            assert_eq!(runs_of(fleet, &key).await?, u64::from(!answers.is_empty()));
        }
        println!("{answered} of 40 concurrent calls were answered");
        assert!(answered >= 20);
        Ok(())
    })
}

#[test]
fn a_retry_gets_the_first_answer_and_another_call_is_refused() -> TestResult {
    with_fleet(async |fleet| {
        let first = book_at(fleet, 0, "repeat").await?.answer()?;
        for router in [1, 0, 1] {
            assert_eq!(book_at(fleet, router, "repeat").await?.answer()?, first);
        }
        let other = book(caller(fleet, 1)?, "repeat", "{\"coach\":2}").await;
        let failure = Booking::of(other)?.failure()?;
        assert_eq!(
            (failure.code, failure.outcome),
            (FailureCode::KeyReused, FailureOutcome::NotRun)
        );
        assert_eq!(runs_of(fleet, "repeat").await?, 1);
        let other_organisation = Caller::new(fleet.routers[1].listen()?, "kitakaze-clerk");
        Booking::of(book(other_organisation, "repeat", "{\"coach\":1}").await)?.answer()?;
        assert_eq!(runs_of(fleet, "repeat").await?, 2);
        Ok(())
    })
}

#[test]
fn a_disconnected_caller_leaves_its_answer_for_a_retry() -> TestResult {
    with_fleet(async |fleet| {
        let caller = caller(fleet, 0)?;
        let gone = std::pin::pin!(book(caller, "gone", "{\"coach\":1}"));
        let runs = std::pin::pin!(fleet.servers[FIRST_SERVICE].wait_runs(1));
        let ran = match futures_util::future::select(gone, runs).await {
            futures_util::future::Either::Right((ran, _gone)) => ran?,
            futures_util::future::Either::Left(_) => {
                return Err("the booking was answered before the server counted its run".into())
            }
        };
        assert_eq!(ran, 1);
        book_at(fleet, 1, "gone").await?.answer()?;
        assert_eq!(runs_of(fleet, "gone").await?, 1);
        Ok(())
    })
}

#[test]
fn a_partition_lets_one_half_run_a_key() -> TestResult {
    with_fleet(async |fleet| {
        for (router, server) in [(0, SECOND_SERVICE), (1, ENGINE), (1, FIRST_SERVICE)] {
            let link = fleet.link(router, server)?;
            link.set(LinkFaults { refuse: true, ..LinkFaults::default() }).await?;
            link.cut().await?;
        }
        let first = book_at(fleet, 0, "parted").await?.answer()?;
        let failure = book_at(fleet, 1, "parted").await?.failure()?;
        assert_eq!(failure.code, FailureCode::ClaimsUnavailable);
        assert_eq!(failure.outcome, FailureOutcome::NotRun);
        assert_eq!(failure.earlier_attempts, Some(FailureOutcome::Unknown));
        assert!(failure.retry_after_seconds.is_some());
        for server in [ENGINE, FIRST_SERVICE] {
            fleet.link(1, server)?.heal().await?;
        }
        assert_eq!(book_at(fleet, 1, "parted").await?.answer()?, first);
        assert_eq!(runs_of(fleet, "parted").await?, 1);
        Ok(())
    })
}

#[test]
fn an_agent_resumed_after_the_deadline_does_not_run_the_call() -> TestResult {
    with_fleet(async |fleet| {
        let agent = &fleet.servers[FIRST_SERVICE].agent;
        book_at(fleet, 0, "before").await?.answer()?;
        agent.pause()?;
        let failure = book_at(fleet, 0, "paused").await?.failure()?;
        assert_eq!(failure.outcome, FailureOutcome::Unknown, "{failure:?}");
        let failure = book_at(fleet, 1, "paused").await?.failure()?;
        assert_eq!(failure.outcome, FailureOutcome::Unknown, "{failure:?}");
        agent.wake()?;
        let refused = "reason=\"deadline_passed\"";
        agent.wait_metric("papayamux_agent_refusals_total", refused, 1.0, TIMEOUT).await?;
        let failure = book_at(fleet, 1, "paused").await?.failure()?;
        assert_eq!(failure.outcome, FailureOutcome::Unknown, "{failure:?}");
        assert_eq!(runs_of(fleet, "paused").await?, 0);
        Ok(())
    })
}

#[test]
fn restarted_witnesses_let_no_key_run_again() -> TestResult {
    with_fleet(async |fleet| {
        let first = book_at(fleet, 0, "kept").await?.answer()?;
        let granted = "papayamux_agent_claims_granted_total";
        for server in &fleet.servers {
            server.agent.wait_metric(granted, "", 1.0, TIMEOUT).await?;
        }
        fleet.restart_agent(ENGINE)?;
        book_at(fleet, 1, "two-of-three").await?.answer()?;
        assert_eq!(book_at(fleet, 1, "kept").await?.answer()?, first);
        fleet.restart_agent(SECOND_SERVICE)?;
        assert_eq!(book_at(fleet, 1, "kept").await?.answer()?, first);
        fleet.restart_agent(FIRST_SERVICE)?;
        for key in ["kept", "new"] {
            let failure = book_at(fleet, 1, key).await?.failure()?;
            assert_eq!(failure.outcome, FailureOutcome::NotRun);
            assert_eq!(failure.reason.as_deref(), Some(RefusalReason::WitnessYoung.label()));
        }
        assert_eq!(runs_of(fleet, "kept").await?, 1);
        assert_eq!(runs_of(fleet, "new").await?, 0);
        Ok(())
    })
}

#[test]
fn a_key_whose_call_was_refused_may_be_used_again() -> TestResult {
    with_fleet(async |fleet| {
        fleet.servers[FIRST_SERVICE].agent.kill()?;
        let failure = book_at(fleet, 0, "refused").await?.failure()?;
        assert_eq!(failure.outcome, FailureOutcome::NotRun);
        book_at(fleet, 1, "refused").await?.answer()?;
        let counts = fleet.servers[SECOND_SERVICE].service_runs().await?;
        assert_eq!(counts.by_key.get("refused"), Some(&1));
        Ok(())
    })
}
