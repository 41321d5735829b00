//! Queries engines for the contents of their caches if no router knows them.

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

/// Interval at which a starting router checks whether it knows any servers.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a cache list: an engine under load answers after one or two steps of up to 100 ms
/// each.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a cache list, which holds some ten thousand parts.
const MAX_LIST_BYTES: usize = 1024 * 1024;

/// The error of reading a cache list.
#[derive(Debug, Error)]
enum SurveyError {
    #[error("no answer within {LIST_TIMEOUT:?}")]
    Late,
    #[error("status {0}")]
    Status(StatusCode),
    #[error("the list is longer than {MAX_LIST_BYTES} bytes")]
    TooLong,
    #[error(transparent)]
    Connection(#[from] UpstreamError),
    #[error("the list broke off: {0}")]
    BrokenOff(#[from] hyper::Error),
    #[error("the list is from a different start of the engine")]
    OtherStart,
    #[error(transparent)]
    List(#[from] CacheListError),
}

/// Queries this router's share of the engines once, soon after its start, if all other routers have
/// started recently too.
pub(super) async fn survey_caches(
    fleet: Rc<Fleet>,
    peers: Rc<PeerExchange>,
    interface: Rc<dyn CallInterface>,
) {
    if !fleet.uses(Mechanism::CacheSurvey) {
        return;
    }
    while fleet.server_count() == 0 {
        monoio::time::sleep(START_CHECK_INTERVAL).await;
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
    let listed = monoio::time::timeout(LIST_TIMEOUT, listed).await;
    match listed.unwrap_or(Err(SurveyError::Late)) {
        Ok(listed) => {
            let listing = CacheListing::new(engine.id.clone(), listed);
            log::info!(server:% = engine.id, parts = listing.parts.len(); "cache listed");
            fleet.record_listing(&listing);
            peers.announce_listing(listing);
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
        fleet.record_notice(engine, interface.server_notice(&answer.head));
    }
    if answer.head.status != StatusCode::OK {
        return Err(SurveyError::Status(answer.head.status));
    }
    let mut body = BytesMut::new();
    while let Some(piece) = answer.next_piece().await {
        body.extend_from_slice(&piece?);
        if body.len() > MAX_LIST_BYTES {
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
