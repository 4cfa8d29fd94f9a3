//! Regenerates `crates/wire/src/generated` from the schema: `cargo run -p stallmoor-wire-generator`.
//!
//! Requires the `capnp` compiler, which a normal build does not need.

fn main() -> Result<(), capnp::Error> {
    let wire = concat!(env!("CARGO_MANIFEST_DIR"), "/../wire");
    capnpc::CompilerCommand::new()
        .src_prefix(format!("{wire}/schema"))
        .file(format!("{wire}/schema/peer.capnp"))
        .output_path(format!("{wire}/src/generated"))
        .default_parent_module(vec!["generated".to_owned()])
        .run()
}
