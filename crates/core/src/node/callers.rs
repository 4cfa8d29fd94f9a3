//! Handlers of simple queries: models, configuration, and explanations.

use std::sync::Arc;

use super::event::{CallerAnswer, ModelSummary};
use super::machine::Node;
use crate::error::ErrorKind;
use crate::identity::CallerId;
use crate::node::configuration::Bundle;

impl Node {
    pub(super) fn answer_models(&mut self, caller: CallerId) {
        let Some(fleet) = self.fleet() else {
            self.refuse(caller, ErrorKind::NotConfigured, "no configuration yet");
            return;
        };
        let models = fleet
            .models
            .values()
            .map(|model| ModelSummary { name: model.name.clone(), adapters: model.adapters.clone() })
            .collect();
        self.answer(caller, CallerAnswer::Models(models));
    }

    pub(super) fn answer_configuration(&mut self, caller: CallerId) {
        let (revision, bundle) = match self.configuration.active() {
            Some(active) => {
                let bundle = active.manifest.assemble(&active.contents).unwrap_or_default();
                (active.manifest.revision, bundle)
            }
            None => (0, Bundle::default()),
        };
        self.answer(caller, CallerAnswer::Configuration { revision, bundle });
    }

    pub(super) fn answer_explanation(&mut self, caller: CallerId, id: &Arc<str>) {
        match self.online.explanations.get(id).cloned() {
            Some(explanation) => self.answer(caller, CallerAnswer::Explanation(explanation)),
            None => self.refuse(caller, ErrorKind::UnknownExplanation, id.to_string()),
        }
    }
}
