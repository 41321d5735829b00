//! Single-threaded runtime of every daemon.

use std::future::Future;
use std::io;

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs `main` to completion on an epoll driver. io_uring is never used.
pub fn run<F: Future>(main: F) -> io::Result<F::Output> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_all().build()?;
    Ok(runtime.block_on(main))
}
