//! Generates `components/peering/src/generated` from `components/peering/proto`. It compiles the
//! definitions in Rust, so that `protoc` need not be installed.

use std::error::Error;
use std::path::Path;

fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../components/peering");
    let files = protox::compile(
        [root.join("proto/peer.proto"), root.join("proto/work.proto")],
        [root.join("proto")],
    )?;
    tonic_prost_build::configure().out_dir(root.join("src/generated")).compile_fds(files)?;
    Ok(())
}
