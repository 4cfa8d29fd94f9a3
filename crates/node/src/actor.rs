//! The actor around a state.
//!
//! Each actor of a node is a state that takes one message at a time and can't fail. What they share, the
//! way from the actor runtime to that state, stands here. Relies on nothing else of the node.

use std::marker::PhantomData;

use ractor::{Actor, ActorProcessingErr, ActorRef, Message, SpawnErr, State};

/// The state of an actor, and what it does with a message.
pub trait MessageHandler: State {
    /// What it takes.
    type Message: Message;

    /// Takes one message. The next waits until this returns.
    fn handle(&mut self, message: Self::Message);
}

/// Starts an actor around a state.
///
/// # Errors
///
/// The actor runtime could not start it.
pub async fn spawn<H: MessageHandler>(state: H) -> Result<ActorRef<H::Message>, SpawnErr> {
    let (actor, _) = Actor::spawn(None, HandlerActor(PhantomData), state).await?;
    Ok(actor)
}

/// The actor; its state is all there is to it.
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
