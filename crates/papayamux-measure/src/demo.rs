//! The demo: a small fleet and a conversation whose later turns reuse an engine's warm cache.

use std::error::Error;

use bytes::Bytes;
use futures_util::StreamExt;
use http::Method;
use papayamux_daemon::signals::catch_termination_signals;
use papayamux_protocol::chat::ChatMessage;
use papayamux_protocol::engine::CHAT_PATH;
use papayamux_protocol::headers;
use papayamux_testbed::{chat_request, Caller, Fleet, FleetPlan, FLEET_MODEL, FLEET_PATH};
use papayamux_transport::runtime;

const QUESTIONS: [&str; 4] = [
    "Plan a day at the salt mines for thirty pensioners from Tainan.",
    "They also want to see the old railway. Where would it fit?",
    "Two of them use wheelchairs. What has to change?",
    "Write the plan down for the driver of the coach.",
];
const TOKENS: u32 = 48;

fn message(role: &str, content: String) -> ChatMessage {
    ChatMessage { role: role.to_string(), content }
}

/// The organisation that sends the demo's requests.
const ORGANISATION: &str = "yanchang-desk";

/// Starts the fleet and runs the conversation; with `keep`, keeps the fleet running until Ctrl-C.
pub fn run_demo(keep: bool) -> Result<(), Box<dyn Error>> {
    let fleet = Fleet::start(FleetPlan::builder().build())?;
    println!(
        "fleet: {} routers, {} servers, each with its agent",
        fleet.routers.len(),
        fleet.servers.len()
    );
    runtime::run(async {
        converse(&fleet).await?;
        if keep {
            wait_for_end(&fleet).await?;
        }
        Ok(())
    })?
}

/// Prints how to call the fleet and waits for Ctrl-C.
async fn wait_for_end(fleet: &Fleet) -> Result<(), Box<dyn Error>> {
    let mut signals = catch_termination_signals()?;
    for router in &fleet.routers {
        println!("router at {}, operators at {}", router.listen()?, router.operations()?);
    }
    let address = fleet.routers[0].listen()?;
    println!(
        "\nany client that speaks the chat interface of OpenAI: base URL http://{address}/v1, model \
         {FLEET_MODEL:?}, any key, and the header {}: {ORGANISATION}; or\n\n\
         curl -N http://{address}{CHAT_PATH} -H '{}: {ORGANISATION}' \\\n  \
         -H 'content-type: application/json' \\\n  \
         -d '{{\"model\":\"{FLEET_MODEL}\",\"stream\":true,\"max_tokens\":24,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"Hello\"}}]}}'\n\n\
         Ctrl-C ends it.",
        headers::ORGANISATION,
        headers::ORGANISATION
    );
    signals.next().await;
    println!("the fleet ends");
    Ok(())
}

async fn converse(fleet: &Fleet) -> Result<(), Box<dyn Error>> {
    let rules = "You draft itineraries. ".repeat(40);
    let mut messages = vec![message("system", rules)];
    for (turn, question) in QUESTIONS.iter().enumerate() {
        let router = &fleet.routers[turn % fleet.routers.len()];
        let caller = Caller::new(router.listen()?, ORGANISATION);
        messages.push(message("user", question.to_string()));
        let answer = caller.chat(&chat_request(FLEET_MODEL, messages.clone(), TOKENS)).await?;
        let usage = answer.usage;
        println!(
            "turn {}: router {} -> {}, {} of {} prompt tokens warm, first token after {:.1} ms, \
             {} tokens",
            turn + 1,
            turn % fleet.routers.len(),
            answer.server,
            usage.prompt_tokens_details.cached_tokens,
            usage.prompt_tokens,
            answer.first_token.as_secs_f64() * 1_000.0,
            usage.completion_tokens,
        );
        messages.push(message("assistant", answer.text));
    }
    let caller = Caller::new(fleet.routers[0].listen()?, ORGANISATION);
    let path = format!("{FLEET_PATH}/gate/7");
    let (status, body) =
        caller.call(Method::POST, &path, &[], Bytes::from_static(b"{\"ticket\":42}")).await?;
    println!("gate scan: {status} {}", String::from_utf8_lossy(&body));
    Ok(())
}
