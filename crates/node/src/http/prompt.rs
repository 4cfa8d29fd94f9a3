//! From OpenAI's request bodies to a model, an adapter and a prompt.

use std::fmt::Write;
use std::sync::Arc;

use serde::Deserialize;
use stallmoor_core::error::{ErrorKind, Refusal};

/// A model with an adapter is written `model:adapter`.
const ADAPTER_SEPARATOR: char = ':';

/// One message of a chat.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    role: String,
    content: MessageContent,
}

/// A message's content: a text, or parts of which the texts count.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
enum MessageContent {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Clone, Debug, Deserialize)]
struct ContentPart {
    #[serde(default)]
    text: String,
}

/// The body of a completion, chat or plain. Fields that OpenAI knows and stallmoor doesn't use are
/// ignored, as OpenAI's clients expect.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionBody {
    model: String,
    messages: Option<Vec<ChatMessage>>,
    prompt: Option<String>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    /// Whether the answer comes in pieces.
    #[serde(default)]
    pub stream: bool,
}

/// What a completion asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionParameters {
    /// The model.
    pub model: Arc<str>,
    /// The adapter, if any.
    pub adapter: Option<Arc<str>>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Most tokens to generate.
    pub max_tokens: Option<u32>,
}

impl CompletionBody {
    /// What the body asks for.
    ///
    /// # Errors
    ///
    /// There is neither a prompt nor a message, or the limit of tokens is zero.
    pub fn parameters(&self) -> Result<CompletionParameters, Refusal> {
        let prompt = match (&self.messages, &self.prompt) {
            (Some(messages), _) if !messages.is_empty() => render_chat(messages),
            (_, Some(prompt)) if !prompt.is_empty() => prompt.clone(),
            _ => return Err(malformed("a prompt or at least one message is needed")),
        };
        let max_tokens = self.max_completion_tokens.or(self.max_tokens);
        if max_tokens == Some(0) {
            return Err(malformed("max_tokens must be at least 1"));
        }
        let (model, adapter) = match self.model.split_once(ADAPTER_SEPARATOR) {
            Some((model, adapter)) => (model, Some(Arc::from(adapter))),
            None => (self.model.as_str(), None),
        };
        Ok(CompletionParameters { model: Arc::from(model), adapter, prompt: Arc::from(prompt), max_tokens })
    }
}

fn malformed(detail: &str) -> Refusal {
    Refusal::new(ErrorKind::MalformedRequest, detail)
}

/// Each message on its own line behind its role. The turns of a session thus share their prefix.
fn render_chat(messages: &[ChatMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        let content = match &message.content {
            MessageContent::Text(text) => text.clone(),
            MessageContent::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
        };
        // Writing to a string can't fail.
        let _ = writeln!(prompt, "{}: {content}", message.role);
    }
    prompt
}
