//! Hands the complete view of the source to other routers, and obtains it from them.

use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use monoio::io::IntoPollIo;
use monoio::net::tcp::stream_poll::TcpStreamPoll;
use monoio::net::{TcpListener, TcpStream};
use papayamux_coordination::fleet_knowledge::{
    SearchStep, TransferVerdict, ViewOrigin, ViewSearch, HOLD_TIME,
};
use papayamux_protocol::fleet_view::{TimedView, ViewAnswer, ViewError, ViewRequest};
use papayamux_state::boot_time::BootInstant;
use papayamux_state::service_config::ConfigVersion;
use papayamux_state::source::SourcePosition;
use papayamux_transport::boot_clock::boot_now;
use thiserror::Error;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::PeerExchange;

/// Timeout of connecting to another router, which exceeds the round trip between any two regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of an answer: the router may hold the request, and the transfer takes some time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(450);
/// Timeout of receiving a request and of sending the answer to it.
const SERVE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of routers that are asked for a newer view before the source is read. The view passes
/// through as many levels in a fleet of a thousand.
const MAX_REFRESH_REQUESTS: usize = 3;
/// Maximum number of requests that are open at once.
const MAX_OPEN_REQUESTS: usize = 256;
/// Maximum size of a request's frame.
const MAX_REQUEST_BYTES: usize = 1_024;
/// Maximum size of an answer's frame.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Pause in which a received view is handed on before it is applied.
const HANDOVER_PAUSE: Duration = Duration::from_millis(1);
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

type ViewConnection = Framed<TcpStreamPoll, LengthDelimitedCodec>;

/// The error of transferring a view.
#[derive(Debug, Error)]
enum TransferError {
    /// The other router can't be reached.
    #[error("unreachable: {0}")]
    Unreachable(io::Error),
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The other router sent a malformed message.
    #[error(transparent)]
    Message(#[from] ViewError),
    /// The connection was closed before a message arrived.
    #[error("the connection was closed")]
    Closed,
    /// The other router took too long.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The view is not a newer one, or answers another request.
    #[error("the view does not apply")]
    Inapplicable,
}

fn connection(stream: TcpStream, max_frame_bytes: usize) -> io::Result<ViewConnection> {
    let codec = LengthDelimitedCodec::builder().max_frame_length(max_frame_bytes).new_codec();
    Ok(Framed::new(stream.into_poll_io()?, codec))
}

async fn receive(connection: &mut ViewConnection) -> Result<Bytes, TransferError> {
    let frame = connection.next().await.ok_or(TransferError::Closed)??;
    Ok(frame.freeze())
}

impl PeerExchange {
    /// Obtains the first view: from another router if possible. Returns `false` if the source has to be
    /// read.
    pub(in crate::direct) async fn obtain_view(&self) -> bool {
        let own = self.own_address();
        let mut search = ViewSearch::new(own, &self.peers.borrow().seeds(), Instant::now());
        loop {
            let known = self.peers.borrow().known();
            match search.next_step(&known, Instant::now()) {
                SearchStep::ReadSource => {
                    log::info!("no router hands on a view of the source");
                    return false;
                }
                SearchStep::Wait(pause) => monoio::time::sleep(pause).await,
                SearchStep::Ask(router, left) => match self.request_any_view(router, left).await {
                    Ok(ViewAnswer::View(_)) => {
                        self.fleet.record_first_view(ViewOrigin::Router(router));
                        return true;
                    }
                    Ok(ViewAnswer::Referral(others)) => search.record_referral(&others),
                    Ok(ViewAnswer::Unavailable) => search.record_contact(),
                    // Seeds may be gone, or not have started yet.
                    Err(TransferError::Unreachable(error)) => {
                        log::debug!(peer:% = router, error:% = error; "router is unreachable");
                    }
                    Err(error) => {
                        search.record_contact();
                        log::info!(peer:% = router, error:% = error; "no view received");
                    }
                },
            }
        }
    }

    /// Requests a view beyond this router's position from a router that no longer has all changes since then.
    /// Returns whether the view was adopted.
    pub(in crate::direct) async fn refresh_view(&self, router: IpAddr) -> bool {
        let position = self.fleet.source_position().unwrap_or_default();
        self.request_newer(router, position, ConfigVersion::default()).await
    }

    /// Requests a view with a configuration of at least `version`. Returns whether it is in force.
    pub(in crate::direct) async fn request_configuration(
        &self,
        router: IpAddr,
        version: ConfigVersion,
    ) -> bool {
        self.request_newer(router, SourcePosition::default(), version).await;
        self.fleet.configuration_version() >= version
    }

    async fn request_newer(
        &self,
        router: IpAddr,
        position: SourcePosition,
        version: ConfigVersion,
    ) -> bool {
        let mut candidates = VecDeque::from([router]);
        for _ in 0..MAX_REFRESH_REQUESTS {
            let Some(router) = candidates.pop_front() else { return false };
            match self.request_view(router, position, version, ANSWER_TIMEOUT).await {
                Ok(ViewAnswer::View(_)) => return true,
                Ok(ViewAnswer::Referral(others)) => candidates.extend(others),
                Ok(ViewAnswer::Unavailable) => {}
                Err(error) => {
                    log::info!(peer:% = router, error:% = error; "the view could not be refreshed");
                }
            }
        }
        false
    }

    async fn request_any_view(
        &self,
        router: IpAddr,
        limit: Duration,
    ) -> Result<ViewAnswer, TransferError> {
        let (position, version) = (SourcePosition::default(), ConfigVersion::default());
        self.request_view(router, position, version, limit).await
    }

    /// Requests the view of `router`, beyond a position and with at least a version, and adopts it.
    async fn request_view(
        &self,
        router: IpAddr,
        position: SourcePosition,
        version: ConfigVersion,
        limit: Duration,
    ) -> Result<ViewAnswer, TransferError> {
        let address = SocketAddr::new(router, self.own_port());
        let limit = limit.min(ANSWER_TIMEOUT);
        let asked_ms = u64::try_from(boot_now().0.as_millis()).unwrap_or(u64::MAX);
        let request = ViewRequest { life: self.life, asked_ms, position, version: version.0 };
        let exchange = async {
            let connecting = TcpStream::connect_addr(address);
            let stream = monoio::time::timeout(CONNECT_TIMEOUT, connecting)
                .await
                .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
                .map_err(TransferError::Unreachable)?;
            let mut connection = connection(stream, MAX_ANSWER_BYTES)?;
            connection.send(request.encode()).await?;
            Ok(ViewAnswer::decode(receive(&mut connection).await?)?)
        };
        let answer = monoio::time::timeout(limit, exchange)
            .await
            .unwrap_or(Err(TransferError::Timeout(limit)))?;
        if let ViewAnswer::View(view) = &answer {
            // The view is dated by the request that it answers.
            if view.request != request {
                return Err(TransferError::Inapplicable);
            }
            self.fleet.hand_on(view);
            // Routers that wait for the view receive it before it is applied here, which takes longer than
            // the transfer.
            monoio::time::sleep(HANDOVER_PAUSE).await;
            self.adopt_view(router, view)?;
        }
        Ok(answer)
    }

    fn adopt_view(&self, sender: IpAddr, timed_view: &TimedView) -> Result<(), TransferError> {
        if !self.fleet.adopt_view(sender, timed_view.unpack()?) {
            return Err(TransferError::Inapplicable);
        }
        let now = Instant::now();
        self.peers.borrow_mut().record_named(&timed_view.routers, now);
        self.fleet.record_reported_routers(sender, &timed_view.routers, 0, now);
        log::info!(
            peer:% = sender, bytes = timed_view.view.len(), servers = self.fleet.server_count(),
            routers = timed_view.routers.len(); "view of the source received"
        );
        Ok(())
    }

    /// Answers requests for views.
    pub(super) async fn serve_views(self: Rc<Self>, listener: TcpListener) {
        let open = Rc::new(());
        loop {
            match listener.accept().await {
                Ok((stream, address)) if Rc::strong_count(&open) <= MAX_OPEN_REQUESTS => {
                    let (exchange, open) = (self.clone(), open.clone());
                    monoio::spawn(async move {
                        let serving = exchange.serve_view(stream, address.ip());
                        if let Err(error) = serving.await {
                            log::info!(peer:% = address, error:% = error; "no view sent");
                        }
                        drop(open);
                    });
                }
                Ok((_, address)) => {
                    log::info!(peer:% = address; "too many requests for views");
                }
                Err(error) => {
                    log::warn!(error:% = error; "accepting a request for a view failed");
                    monoio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve_view(&self, stream: TcpStream, requester: IpAddr) -> Result<(), TransferError> {
        let mut connection = connection(stream, MAX_REQUEST_BYTES)?;
        let frame = monoio::time::timeout(SERVE_TIMEOUT, receive(&mut connection))
            .await
            .unwrap_or(Err(TransferError::Timeout(SERVE_TIMEOUT)))?;
        let received = boot_now();
        let request = ViewRequest::decode(frame)?;
        // The requester is a router, which the others need to know.
        self.peers.borrow_mut().record_named(&[requester], Instant::now());
        let viewed = self.fleet.view_obtained(ConfigVersion(request.version));
        // Without a view in time the answer says so.
        let _ = monoio::time::timeout(HOLD_TIME, viewed).await;
        let answer = self.view_answer(request, requester, received);
        connection.codec_mut().set_max_frame_length(MAX_ANSWER_BYTES);
        let kind = match &answer {
            ViewAnswer::View(_) => "sent",
            ViewAnswer::Referral(_) => "referred",
            ViewAnswer::Unavailable => "unavailable",
        };
        self.fleet.metrics().view_requests.count(kind);
        let sending = async {
            connection.send(answer.encode()).await?;
            SinkExt::<Bytes>::close(&mut connection).await
        };
        monoio::time::timeout(SERVE_TIMEOUT, sending)
            .await
            .map_err(|_| TransferError::Timeout(SERVE_TIMEOUT))??;
        Ok(())
    }

    fn view_answer(
        &self,
        request: ViewRequest,
        requester: IpAddr,
        received: BootInstant,
    ) -> ViewAnswer {
        let now = Instant::now();
        let Some((view, known)) = self.fleet.packed_view(request, now) else {
            return ViewAnswer::Unavailable;
        };
        let bytes = view.len();
        match self.distributor.borrow_mut().decide(requester, bytes, now) {
            TransferVerdict::Refer(others) => ViewAnswer::Referral(others),
            TransferVerdict::Send => {
                self.fleet.metrics().view_bytes.inc_by(bytes as u64);
                let mut routers = self.peers.borrow().known();
                routers.push(self.own_address());
                let shift_ms = self.fleet.offset_of(request, received, known);
                ViewAnswer::View(TimedView { request, shift_ms, routers, view })
            }
        }
    }
}
