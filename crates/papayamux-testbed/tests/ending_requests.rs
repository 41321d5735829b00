//! Guards against a chat that crashes every engine on which it runs and is retried through any
//! router. Without a record of crashes that outlives the call, each call crashed one engine after
//! the other until the retry budget was used up: all nine crashed. After a crash under a request on
//! a reused connection, the agent logged `"message":"server unreachable"` with `Connection
//! refused`, as if the engine had crashed before the request.

use std::error::Error;
use std::time::Duration;

use papayamux_protocol::chat::{ChatMessage, ChatRequest};
use papayamux_testbed::{chat_request, Caller, Fleet, FleetPlan, FLEET_MODEL};
use papayamux_transport::runtime;

type TestResult = Result<(), Box<dyn Error>>;

/// Text of a prompt at which the stand-in engines crash.
const CRASH_TEXT: &str = "ends every engine";
/// Number of engines in the fleet.
const ENGINE_COUNT: usize = 9;
/// Time after the third crash in which routers may still be notified of it.
const CRASH_NOTICE_DELAY: Duration = Duration::from_secs(3);
/// Maximum number of crashed engines: three, and three that receive the chat after the third crash.
const MAX_CRASHED_ENGINES: usize = 6;
/// Number of times that the chat is sent.
const REPETITIONS: usize = 8;

fn chat(text: &str) -> ChatRequest {
    let message = ChatMessage { role: "user".to_string(), content: text.to_string() };
    chat_request(FLEET_MODEL, vec![message], 5)
}

fn crashed(fleet: &mut Fleet) -> Result<usize, Box<dyn Error>> {
    let mut crashed = 0;
    for server in &mut fleet.servers {
        crashed += usize::from(server.standin.try_exit()?.is_some());
    }
    Ok(crashed)
}

#[test]
fn a_chat_that_crashes_engines_is_quarantined_by_agents_and_routers() -> TestResult {
    let arguments = vec!["--ends-on".to_string(), CRASH_TEXT.to_string()];
    let plan = FleetPlan::builder().engines(ENGINE_COUNT).services(0).engine_arguments(arguments);
    let mut fleet = Fleet::start(plan.build())?;
    runtime::run(async {
        let callers =
            fleet.routers.iter().map(|router| Ok(Caller::new(router.listen()?, "yanchang-desk")));
        let callers = callers.collect::<Result<Vec<_>, Box<dyn Error>>>()?;
        // Other chats make the routers connect to the agents first, as in a fleet with traffic.
        for number in 0..40 {
            for caller in &callers {
                caller.chat(&chat(&format!("harmless {number}"))).await?;
            }
        }
        for repetition in 0..REPETITIONS {
            let caller = &callers[repetition % callers.len()];
            let answer = caller.chat(&chat(CRASH_TEXT)).await;
            assert!(answer.is_err(), "a chat that crashes every engine was answered");
            if repetition == 1 {
                monoio::time::sleep(CRASH_NOTICE_DELAY).await;
            }
        }
        let crashed = crashed(&mut fleet)?;
        assert!(crashed <= MAX_CRASHED_ENGINES, "{crashed} of {ENGINE_COUNT} engines crashed");
        Ok(())
    })?
}
