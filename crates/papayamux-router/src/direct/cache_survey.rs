//! Asks engines for lists of their caches where no router knows what they hold.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use http::StatusCode;
use papayamux_coordination::cache_survey::{survey_share, CacheListing, SURVEY_DELAY};
use papayamux_coordination::mechanism::Mechanism;
use papayamux_state::backend::BackendServer;
use papayamux_state::prompt::PromptPart;
use papayamux_transport::http::upstream::UpstreamError;
use thiserror::Error;

use super::interface::{CacheListError, CallInterface};
use super::peers::PeerExchange;
use super::Fleet;

/// How often a starting router looks whether it knows of servers.
const START_CHECK: Duration = Duration::from_millis(20);
/// How long a list may take: an engine under load answers after a step or two, of up to 100 ms each.
const LIST_WITHIN: Duration = Duration::from_millis(500);
/// Bytes of the longest list: some ten thousand parts.
const LONGEST_LIST: usize = 1024 * 1024;

/// Why there is no list.
#[derive(Debug, Error)]
enum SurveyError {
    #[error("no answer within {LIST_WITHIN:?}")]
    Late,
    #[error("status {0}")]
    Status(StatusCode),
    #[error("the list is longer than {LONGEST_LIST} bytes")]
    TooLong,
    #[error(transparent)]
    Connection(#[from] UpstreamError),
    #[error("the list broke off: {0}")]
    BrokenOff(#[from] hyper::Error),
    #[error("the list is from another start of the engine")]
    OtherStart,
    #[error(transparent)]
    List(#[from] CacheListError),
}

/// Asks this router's share of the engines once, soon after its start, where the other routers have
/// started as lately.
pub(super) async fn survey_caches(
    fleet: Rc<Fleet>,
    peers: Rc<PeerExchange>,
    interface: Rc<dyn CallInterface>,
) {
    if !fleet.uses(Mechanism::CacheSurvey) {
        return;
    }
    while fleet.server_count() == 0 {
        monoio::time::sleep(START_CHECK).await;
    }
    monoio::time::sleep(SURVEY_DELAY).await;
    let Some(others) = peers.fresh_routers() else {
        log::info!("other routers know the caches");
        return;
    };
    let engines = fleet.engines();
    let share = survey_share(peers.own_address(), &others, engines.iter().map(|engine| &engine.id));
    log::info!(
        routers = others.len() + 1, engines = engines.len(), asked = share.len();
        "nobody knows the caches, asking engines"
    );
    for engine in engines.into_iter().filter(|engine| share.contains(&engine.id)) {
        monoio::spawn(survey_cache(fleet.clone(), peers.clone(), interface.clone(), engine));
    }
}

async fn survey_cache(
    fleet: Rc<Fleet>,
    peers: Rc<PeerExchange>,
    interface: Rc<dyn CallInterface>,
    engine: Rc<BackendServer>,
) {
    let listed = read_list(&fleet, &*interface, &engine);
    let listed = monoio::time::timeout(LIST_WITHIN, listed).await;
    match listed.unwrap_or(Err(SurveyError::Late)) {
        Ok(listed) => {
            let listing = CacheListing::new(engine.id.clone(), listed);
            log::info!(server:% = engine.id, parts = listing.parts.len(); "cache listed");
            fleet.note_listing(&listing);
            peers.tell_listing(listing);
        }
        Err(error) => {
            log::warn!(server:% = engine.id, error:% = error; "no list of the cache");
        }
    }
}

async fn read_list(
    fleet: &Fleet,
    interface: &dyn CallInterface,
    engine: &BackendServer,
) -> Result<Vec<PromptPart>, SurveyError> {
    let request = interface.cache_request(&engine.name);
    let mut answer = fleet.pool().send(engine.address, request).await?;
    if answer.head.status != StatusCode::MISDIRECTED_REQUEST {
        fleet.take_notice(engine, interface.server_notice(&answer.head));
    }
    if answer.head.status != StatusCode::OK {
        return Err(SurveyError::Status(answer.head.status));
    }
    let mut body = BytesMut::new();
    while let Some(piece) = answer.next_piece().await {
        body.extend_from_slice(&piece?);
        if body.len() > LONGEST_LIST {
            return Err(SurveyError::TooLong);
        }
    }
    answer.finish();
    let list = interface.cache_list(&body)?;
    if engine.start.is_some() && list.start.is_some_and(|start| Some(start) != engine.start) {
        return Err(SurveyError::OtherStart);
    }
    Ok(list.parts)
}
