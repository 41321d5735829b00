//! Listening sockets are not shared.

use std::io::ErrorKind;

use papayamux_transport::{listen::listen, runtime};

#[test]
fn a_port_in_use_is_refused() -> std::io::Result<()> {
    runtime::run(async {
        let first = listen(([127, 0, 0, 1], 0).into())?;
        let second = listen(first.local_addr()?);
        assert_eq!(second.err().map(|error| error.kind()), Some(ErrorKind::AddrInUse));
        Ok(())
    })?
}
