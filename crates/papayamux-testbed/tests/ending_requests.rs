//! A chat ended each engine that began to run it, and came back through any router. Nothing outlived its
//! call, so that each call went from engine to engine for as long as the retry budget let it: all nine ended.
//! Where it had gone over a kept connection, the agent's log said `"message":"server unreachable"` with
//! `Connection refused`, as if the engine had ended before.

use std::error::Error;
use std::time::Duration;

use papayamux_protocol::chat::{ChatMessage, ChatRequest};
use papayamux_testbed::{chat_request, Caller, Fleet, FleetPlan, FLEET_MODEL};
use papayamux_transport::runtime;

type TestResult = Result<(), Box<dyn Error>>;

/// What engines end on.
const CRASH_TEXT: &str = "ends every engine";
/// Engines.
const ENGINE_COUNT: usize = 9;
/// Time after the third engine has ended in which routers may still learn of it.
const CRASH_NOTICE_DELAY: Duration = Duration::from_secs(3);
/// Engines that may end: three, and three that get the chat after that.
const MAX_CRASHED_ENGINES: usize = 6;
/// How often the chat comes back.
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
        // Routers connect to agents by other chats first, as in any fleet with traffic.
        for number in 0..40 {
            for caller in &callers {
                caller.chat(&chat(&format!("harmless {number}"))).await?;
            }
        }
        for repetition in 0..REPETITIONS {
            let caller = &callers[repetition % callers.len()];
            let answer = caller.chat(&chat(CRASH_TEXT)).await;
            assert!(answer.is_err(), "no engine can answer it");
            if repetition == 1 {
                monoio::time::sleep(CRASH_NOTICE_DELAY).await;
            }
        }
        let crashed = crashed(&mut fleet)?;
        assert!(crashed <= MAX_CRASHED_ENGINES, "{crashed} of {ENGINE_COUNT} engines crashed");
        Ok(())
    })?
}
