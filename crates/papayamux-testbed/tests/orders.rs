//! Agents bring their engines to the declared state, also after restarts, pauses and failed loads.

use std::error::Error;
use std::time::Duration;

use papayamux_protocol::engine::EngineOrder;
use papayamux_testbed::{
    wait_until, AgentStatus, OrderFleet, OrderPlan, OrderStatus, ProcessHandle, SpreadFleet,
    SpreadPlan, TestbedError,
};
use papayamux_transport::runtime;

type TestResult = Result<(), Box<dyn Error>>;

const TIMEOUT: Duration = Duration::from_secs(60);
const FAST_ORDERS: &str = "look_every = 100ms\nevidence_for = 1s\nload_rate = 100\n";

fn with_fleet(plan: OrderPlan, test: impl AsyncFnOnce(OrderFleet) -> TestResult) -> TestResult {
    let fleet = OrderFleet::start(plan)?;
    runtime::run(test(fleet))?
}

fn arguments(list: &[&str]) -> Vec<String> {
    list.iter().map(|argument| argument.to_string()).collect()
}

async fn wait_orders(
    agent: &ProcessHandle,
    is_wanted: impl Fn(&OrderStatus) -> bool,
) -> Result<OrderStatus, TestbedError> {
    let read = async || {
        let status: AgentStatus = agent.status().await?;
        status.orders.ok_or_else(|| TestbedError::NoPart("orders".to_string()))
    };
    wait_until(TIMEOUT, read, is_wanted).await
}

#[test]
fn a_late_order_of_a_paused_predecessor_is_undone_though_the_engine_ignores_fencing() -> TestResult
{
    let engine = arguments(&["--ignore-fencing", "--load-ms", "20"]);
    let plan = OrderPlan::builder().engines(1).loaded("itinerary".into()).engine_arguments(engine);
    with_fleet(plan.build(), async |mut fleet| {
        let old = format!("{FAST_ORDERS}models = itinerary@1\nrevision = 1");
        let old = fleet.start_agent(0, &old, &[])?;
        wait_orders(&old, |orders| orders.as_declared).await?;
        let old_fence =
            fleet.engine_state(0).await?.fence.ok_or("the engine has no fence of an order")?;
        let old_orders = old.metrics().await?.sum("papayamux_agent_orders_total", "");
        old.pause()?;
        fleet.renew_addresses()?;
        let new = format!("{FAST_ORDERS}models = itinerary@2, refunds@5\nrevision = 2");
        let new = fleet.start_agent(0, &new, &[])?;
        let wanted = ["itinerary@2", "refunds@5"];
        let state = fleet.wait_models(0, &wanted, TIMEOUT).await?;
        let new_fence = state.fence.ok_or("the engine has no fence of an order")?;
        assert!(new_fence > old_fence);
        let late = EngineOrder {
            fence: old_fence + 1,
            models: vec!["itinerary".to_string()],
            role: "both".to_string(),
            ..EngineOrder::default()
        };
        fleet.send_order(0, &late).await?;
        let label = "reason=\"late_order\"";
        new.wait_metric("papayamux_agent_order_fences_total", label, 1.0, TIMEOUT).await?;
        let undone = fleet.wait_models(0, &wanted, TIMEOUT).await?;
        assert!(undone.fence > Some(new_fence));
        old.wake()?;
        wait_orders(&old, |orders| orders.superseded).await?;
        let orders = old.metrics().await?.sum("papayamux_agent_orders_total", "");
        assert_eq!(orders, old_orders, "the predecessor sent an order after it was resumed");
        wait_orders(&new, |orders| orders.as_declared && !orders.superseded).await?;
        fleet.wait_models(0, &wanted, TIMEOUT).await?;
        Ok(())
    })
}

#[test]
fn a_restarted_agent_loads_nothing_again_and_refuses_its_predecessor() -> TestResult {
    let plan = OrderPlan::builder().engines(1).store_rate(100);
    let plan = plan.engine_arguments(arguments(&["--load-ms", "20"])).build();
    with_fleet(plan, async |mut fleet| {
        let orders = format!("{FAST_ORDERS}models = itinerary@3");
        let mut old = fleet.start_agent(0, &orders, &[])?;
        let first = fleet.wait_models(0, &["itinerary@3"], TIMEOUT).await?;
        old.kill()?;
        let new = fleet.start_agent(0, &orders, &[])?;
        let claimed = fleet.wait_state(0, TIMEOUT, |state| state.fence > first.fence).await?;
        assert!(papayamux_testbed::has_models(&claimed, &["itinerary@3"]));
        assert_eq!(fleet.store_counters().await?.calls.calls, 1);
        fleet.replace_engine(0)?;
        fleet.wait_models(0, &["itinerary@3"], TIMEOUT).await?;
        wait_orders(&new, |orders| orders.as_declared).await?;
        assert_eq!(fleet.store_counters().await?.calls.calls, 2);
        Ok(())
    })
}

#[test]
fn a_fleet_that_starts_empty_stays_within_the_store_s_rate() -> TestResult {
    let plan = OrderPlan::builder().engines(6).store_rate(20);
    let plan = plan.engine_arguments(arguments(&["--load-ms", "20"])).build();
    with_fleet(plan, async |fleet| {
        let orders = "look_every = 100ms\nload_rate = 8\nmodels = itinerary@3, refunds@1";
        let peers = ["itinerary, refunds"; 6];
        let mut agents = Vec::new();
        for engine in 0..6 {
            agents.push(fleet.start_agent(engine, orders, &peers)?);
        }
        for engine in 0..6 {
            fleet.wait_models(engine, &["itinerary@3", "refunds@1"], TIMEOUT).await?;
        }
        let counters = fleet.store_counters().await?;
        assert_eq!((counters.calls.calls, counters.calls.refused), (12, 0));
        Ok(())
    })
}

#[test]
fn loads_that_the_store_refuses_come_back_until_all_are_loaded() -> TestResult {
    let plan = OrderPlan::builder().engines(4).store_rate(1);
    let plan = plan.engine_arguments(arguments(&["--load-ms", "20"])).build();
    with_fleet(plan, async |fleet| {
        let orders = format!("{FAST_ORDERS}models = itinerary@3");
        let mut agents = Vec::new();
        for engine in 0..4 {
            agents.push(fleet.start_agent(engine, &orders, &["itinerary"; 4])?);
        }
        for engine in 0..4 {
            fleet.wait_models(engine, &["itinerary@3"], TIMEOUT).await?;
        }
        let counters = fleet.store_counters().await?;
        assert!(counters.calls.refused > 0);
        assert_eq!(counters.loads.get("itinerary/3"), Some(&4));
        Ok(())
    })
}

#[test]
fn the_last_server_of_a_model_keeps_it() -> TestResult {
    let plan = OrderPlan::builder().engines(2).loaded("itinerary,refunds".into());
    let plan = plan.engine_arguments(arguments(&["--load-ms", "20"])).build();
    with_fleet(plan, async |fleet| {
        let both = format!("{FAST_ORDERS}models = itinerary, refunds");
        let keeper = fleet.start_agent(1, &both, &["itinerary, refunds"; 2])?;
        wait_orders(&keeper, |orders| orders.as_declared).await?;
        let fewer = format!("{FAST_ORDERS}models = refunds\nin_force = itinerary");
        let mut leaver = fleet.start_agent(0, &fewer, &["refunds", "itinerary, refunds"])?;
        fleet.wait_models(0, &["refunds@1"], TIMEOUT).await?;
        let metrics = leaver.metrics().await?;
        assert_eq!(metrics.sum("papayamux_agent_serving_asked_total", "reason=\"serves\""), 1.0);
        let mut keeper = keeper;
        keeper.kill()?;
        let last = fleet.start_agent(1, &fewer, &["refunds", "refunds"])?;
        wait_orders(&last, |orders| orders.waits.iter().any(|wait| wait == "last_server")).await?;
        let label = "reason=\"last_server\"";
        last.wait_metric("papayamux_agent_order_waits_total", label, 20.0, TIMEOUT).await?;
        assert!(papayamux_testbed::has_models(
            &fleet.engine_state(1).await?,
            &["itinerary@1", "refunds@1"]
        ));
        leaver.kill()?;
        Ok(())
    })
}

#[test]
fn without_an_answer_of_the_others_a_server_keeps_its_model() -> TestResult {
    let plan = OrderPlan::builder().engines(2).loaded("itinerary".into()).build();
    with_fleet(plan, async |fleet| {
        let none = format!("{FAST_ORDERS}models =\nin_force = itinerary");
        let agent = fleet.start_agent(0, &none, &["", "itinerary"])?;
        let label = "reason=\"too_few_keepers\"";
        agent.wait_metric("papayamux_agent_order_waits_total", label, 3.0, TIMEOUT).await?;
        assert!(papayamux_testbed::has_models(&fleet.engine_state(0).await?, &["itinerary@1"]));
        Ok(())
    })
}

#[test]
fn a_new_version_comes_to_one_server_after_the_other() -> TestResult {
    let plan = OrderPlan::builder().engines(3).loaded("itinerary".into());
    let plan = plan.engine_arguments(arguments(&["--load-ms", "50"])).build();
    with_fleet(plan, async |fleet| {
        let orders = format!("{FAST_ORDERS}models = itinerary@2");
        let mut agents = Vec::new();
        for engine in 0..3 {
            agents.push(fleet.start_agent(engine, &orders, &["itinerary"; 3])?);
        }
        for engine in 0..3 {
            fleet.wait_models(engine, &["itinerary@2"], TIMEOUT).await?;
        }
        for agent in &agents {
            wait_orders(agent, |orders| orders.as_declared).await?;
            let given = agent.metrics().await?;
            let given = given.sum("papayamux_agent_serving_asked_total", "reason=\"serves\"");
            assert!(
                given >= 1.0,
                "a version changed before another server was confirmed to serve the model"
            );
        }
        Ok(())
    })
}

#[test]
fn what_is_declared_comes_to_the_engine() -> TestResult {
    let spread = SpreadFleet::start(SpreadPlan::builder().processes(0).build())?;
    let plan = OrderPlan::builder().engines(1).loaded("itinerary".into());
    let plan = plan.engine_arguments(arguments(&["--load-ms", "20"])).build();
    with_fleet(plan, async |fleet| {
        let address = fleet.addresses[0];
        let declare = async |version: u32| {
            let text = format!(
                "[team]\nname = caverns\n\
                 [model itinerary]\nversion = {version}\nweights = itinerary-{version}\n\
                 [server engine-0]\nkind = engine\nagent = {address}\nfailure_domain = a\n\
                 models = itinerary\n"
            );
            spread.put_file("caverns", &text).await
        };
        declare(2).await?;
        let orders = format!(
            "{FAST_ORDERS}[spread]\nservice = {}\nlisten = 127.0.0.1:0",
            spread.service.listen()?
        );
        let agent = fleet.start_agent(0, &orders, &[])?;
        fleet.wait_models(0, &["itinerary@2"], TIMEOUT).await?;
        declare(3).await?;
        let state = fleet.wait_models(0, &["itinerary@3"], TIMEOUT).await?;
        assert_eq!(state.role, "both");
        wait_orders(&agent, |orders| orders.as_declared).await?;
        Ok(())
    })
}
