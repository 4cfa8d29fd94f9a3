//! Regenerates `src/generated` from `schema/peer.capnp`. Needs the `capnp` program; the build does not.

fn main() -> Result<(), capnp::Error> {
    let root = env!("CARGO_MANIFEST_DIR");
    capnpc::CompilerCommand::new()
        .src_prefix(format!("{root}/schema"))
        .file(format!("{root}/schema/peer.capnp"))
        .output_path(format!("{root}/src/generated"))
        .default_parent_module(vec!["generated".to_owned()])
        .run()
}
