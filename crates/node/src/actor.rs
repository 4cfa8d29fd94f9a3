//! Adapter between the actor runtime and message handlers.
//!
//! Each actor of a node is a state that handles one message at a time and can't fail. This module implements
//! the runtime's actor trait for such states and depends on no other module of the node.

use std::marker::PhantomData;

use ractor::{Actor, ActorProcessingErr, ActorRef, Message, SpawnErr, State};

/// The state of an actor and its handling of messages.
pub trait MessageHandler: State {
    /// The type of message that the actor receives.
    type Message: Message;

    /// Handles one message. The next message is delivered after this returns.
    fn handle(&mut self, message: Self::Message);
}

/// Starts an actor with the given state.
///
/// # Errors
///
/// Returns an error if the actor runtime can't start the actor.
pub async fn spawn<H: MessageHandler>(state: H) -> Result<ActorRef<H::Message>, SpawnErr> {
    let (actor, _) = Actor::spawn(None, HandlerActor(PhantomData), state).await?;
    Ok(actor)
}

/// Implements [`Actor`] by forwarding messages to a [`MessageHandler`].
struct HandlerActor<H>(PhantomData<fn() -> H>);

impl<H: MessageHandler> Actor for HandlerActor<H> {
    type Msg = H::Message;
    type State = H;
    type Arguments = H;

    async fn pre_start(&self, _myself: ActorRef<Self::Msg>, state: H) -> Result<H, ActorProcessingErr> {
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut H,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(message);
        Ok(())
    }
}
