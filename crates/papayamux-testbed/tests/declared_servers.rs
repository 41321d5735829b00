//! Routers use the declared servers, except those that are draining.

use std::error::Error;
use std::fmt::Write;
use std::time::Duration;

use http::Method;
use papayamux_protocol::chat::ChatMessage;
use papayamux_standins::config_service::standin_file_path;
use papayamux_standins::instance_list::TRUE_INSTANCES_PATH;
use papayamux_testbed::{
    chat_request, wait_until, Caller, Fleet, FleetPlan, ProcessHandle, TestbedError, FLEET_MODEL,
};
use papayamux_transport::http::HttpClient;
use papayamux_transport::runtime;
use serde_json::{json, Value};

type TestResult = Result<(), Box<dyn Error>>;

const TIMEOUT: Duration = Duration::from_secs(60);

async fn put(standin: &ProcessHandle, path: &str, body: String) -> TestResult {
    let address = standin.listen()?;
    let request = http::Request::builder().method(Method::PUT).uri(path);
    let request = request.header("host", address.to_string()).body(body.into())?;
    let answer = HttpClient::new(address).send_once(request).await?;
    assert!(answer.head.status.is_success(), "{path}: {}", answer.head.status);
    Ok(())
}

/// Returns a file that declares the engines of a fleet.
fn declaration(fleet: &Fleet) -> Result<String, TestbedError> {
    let mut text =
        format!("[team]\nname = caverns\n\n[model {FLEET_MODEL}]\nversion = 1\nweights = w\n");
    for server in &fleet.servers {
        let (name, agent) = (&server.name, server.agent.listen()?);
        let _ = write!(
            text,
            "\n[server {name}]\nagent = {agent}\nfailure_domain = a\nkind = engine\nmodels = {FLEET_MODEL}\n"
        );
    }
    Ok(text)
}

async fn wait_configuration(process: &ProcessHandle, key: &str, value: u64) -> TestResult {
    let read = async || {
        let status: Value = process.status().await?;
        Ok(status["configuration"]["in_force"][key].as_u64())
    };
    wait_until(TIMEOUT, read, |found| *found == Some(value)).await?;
    Ok(())
}

#[test]
fn a_declared_server_gets_work_until_it_drains() -> TestResult {
    let service = ProcessHandle::start("papayamux-standins", &["config-service".to_string()])?;
    let instances = ProcessHandle::start("papayamux-standins", &["instance-list".to_string()])?;
    let lines = format!(
        "[spread]\nservice = {}\ninstances = {}\nlisten = 127.0.0.1:0\n",
        service.listen()?,
        instances.listen()?
    );
    let plan = FleetPlan::builder().routers(1).engines(2).services(0);
    let plan = plan.router_lines(lines.clone()).agent_server_lines(lines).build();
    let fleet = Fleet::start(plan)?;
    runtime::run(async {
        let router = &fleet.routers[0];
        put(&service, &standin_file_path("caverns"), declaration(&fleet)?).await?;
        wait_configuration(router, "servers", 2).await?;
        wait_configuration(&fleet.servers[0].agent, "servers", 2).await?;
        let leaving = json!({ "instances": [{
            "address": fleet.servers[0].agent.listen()?, "kind": "engine",
            "server": fleet.servers[0].name, "failure_domain": "a", "status": "leaving",
        }] });
        put(&instances, TRUE_INSTANCES_PATH, leaving.to_string()).await?;
        wait_configuration(router, "leaving_servers", 1).await?;
        let caller = Caller::new(router.listen()?, "yanchang-desk");
        for number in 0..20 {
            let question = format!("Question {number}");
            let messages = vec![ChatMessage { role: "user".to_string(), content: question }];
            let answer = caller.chat(&chat_request(FLEET_MODEL, messages, 4)).await?;
            assert_eq!(answer.server, fleet.servers[1].name);
        }
        Ok(())
    })?
}
