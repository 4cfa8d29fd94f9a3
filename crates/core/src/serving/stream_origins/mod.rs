//! Which workers may resume an interrupted stream: those with the software version that sent its first event.
//!
//! What workers of different versions write does not fit together, and workers do not check it. A gateway therefore
//! records the origin of each stream. As the client may resume it at any gateway, and its own may have ended, the origin
//! is also stored at storage nodes unless one version alone has served for longer than a stream lasts.
//!
//! | module | contents |
//! |---|---|
//! | [`origin`] | the origin of a stream, and the key under which nodes store it |
//! | [`directory`] | the origins that one node knows, within bounds |
//! | [`outbox`] | the origins of a gateway's streams that other nodes may have to learn |
//! | [`sharing`] | when a gateway stores an origin at storage nodes |
//! | [`unconfirmed`] | the origins that a newer record of a worker may contradict |
//! | [`holders`] | the storage nodes that store an origin |
//! | [`rule`] | the decision whether and where a stream is resumed |
//! | [`message`] | the messages between gateways and storage nodes |

pub mod directory;
pub mod holders;
pub mod message;
pub mod origin;
pub mod outbox;
pub mod rule;
pub mod sharing;
pub mod unconfirmed;

pub use directory::OriginDirectory;
pub use origin::{StreamKey, StreamOrigin};
pub use outbox::OriginOutbox;
pub use rule::{
    Basis, Confirmation, Decision, Informant, NodeKnowledge, Resumption, Statement, UnknownOrigin, resume_rule,
    stream_lifetime,
};
