//! The `papayamux-standins fault-proxy` command.

use std::net::SocketAddr;

use getopts::Options;
use monoio::net::TcpListener;
use papayamux_transport::listen::listen;
use papayamux_transport::shutdown::ShutdownSignal;

use super::standin_kind::value_or;
use super::{StandinError, StandinKind};
use crate::fault_proxy::{serve_control, LinkProxy};

pub(super) const KIND: StandinKind = StandinKind {
    name: "fault-proxy",
    declare,
    serve: |listener, matches| {
        Box::pin(async move {
            let target = matches.opt_str("target").ok_or("--target is required")?.parse()?;
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let operators = listen(value_or(&matches, "operations", any)?)?;
            run_proxy(listener, operators, target).await
        })
    },
};

fn declare(options: &mut Options) {
    options.optopt("", "target", "address that connections are forwarded to", "ADDRESS");
    options.optopt("", "operations", "address of the control port that sets faults", "ADDRESS");
}

async fn run_proxy(
    listener: TcpListener,
    operators: TcpListener,
    target: SocketAddr,
) -> Result<(), StandinError> {
    log::info!(
        listen:% = listener.local_addr()?, operations:% = operators.local_addr()?,
        kind = KIND.name;
        "stand-in started"
    );
    let proxy = LinkProxy::new(target);
    monoio::spawn(serve_control(operators, proxy.clone(), ShutdownSignal::new()));
    Ok(proxy.serve(listener, ShutdownSignal::new()).await?)
}
