//! Conversion of OpenAI request bodies to a model, an adapter and a prompt.

use std::fmt::Write;
use std::sync::Arc;

use serde::Deserialize;
use stallmoor_core::error::{ErrorKind, Refusal};

/// Separates model and adapter, as in `model:adapter`.
const ADAPTER_SEPARATOR: char = ':';

/// A chat message.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    role: String,
    content: MessageContent,
}

/// The content of a message: a string, or parts of which only the text is used.
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

/// The body of a chat or plain completion request. Unsupported fields of OpenAI's API are ignored, as its
/// clients expect.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionBody {
    model: String,
    messages: Option<Vec<ChatMessage>>,
    prompt: Option<String>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
}

/// The parameters of a completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionParameters {
    /// Name of the model, without the adapter.
    pub model: Arc<str>,
    /// Name of the adapter, if one was requested.
    pub adapter: Option<Arc<str>>,
    /// Prompt text; chat messages are rendered into one text.
    pub prompt: Arc<str>,
    /// Maximum number of tokens to generate.
    pub max_tokens: Option<u32>,
}

impl CompletionBody {
    /// Extracts the completion parameters from the body.
    ///
    /// # Errors
    ///
    /// Returns an error if there is neither a prompt nor a message, or if the token limit is zero.
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

/// Renders each message as a line that starts with its role, so that successive requests of a chat share a prefix.
fn render_chat(messages: &[ChatMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        let content = match &message.content {
            MessageContent::Text(text) => text.clone(),
            MessageContent::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
        };
        // Writing to a `String` can't fail.
        let _ = writeln!(prompt, "{}: {content}", message.role);
    }
    prompt
}
