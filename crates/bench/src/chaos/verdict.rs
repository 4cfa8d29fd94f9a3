//! What the run came to: what callers were told, against what engines did.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde::Serialize;
use serde_json::Value;
use stallmoor_emulator::answer_text;

use super::batch::CheckedJobs;
use super::online::QuestionLog;
use super::{ChaosOptions, MAX_TOKENS};
use crate::fleet_client::Outcome;

/// What the run came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ChaosVerdict {
    /// Questions asked.
    pub questions: usize,
    /// Sendings that were answered whole.
    pub answered: usize,
    /// Sendings that were refused, by code.
    pub refused: BTreeMap<String, usize>,
    /// Sendings that were lost.
    pub lost: usize,
    /// Refusals that said "not run", each held against the engines' count.
    pub not_run_checked: usize,
    /// Questions that may run at most once, each held against the engines' count.
    pub at_most_once_checked: usize,
    /// Jobs accepted.
    pub jobs: usize,
    /// Items accepted, each held against its results at every node.
    pub items: usize,
    /// Runs that engines wrote down.
    pub engine_runs: usize,
    /// What was violated.
    pub violations: Vec<String>,
}

/// Holds what callers were told against what engines did.
pub fn judge(options: &ChaosOptions, questions: &[QuestionLog], jobs: CheckedJobs) -> ChaosVerdict {
    let runs = read_runs(&options.runs_files);
    let mut verdict = ChaosVerdict {
        questions: questions.len(),
        jobs: jobs.jobs,
        items: jobs.items,
        engine_runs: runs.values().sum(),
        violations: jobs.violations,
        ..ChaosVerdict::default()
    };
    for question in questions {
        judge_question(options, question, &runs, &mut verdict);
    }
    verdict
}

fn judge_question(
    options: &ChaosOptions,
    question: &QuestionLog,
    runs: &BTreeMap<String, usize>,
    verdict: &mut ChaosVerdict,
) {
    let last = question.outcomes.len().saturating_sub(1);
    for (place, (prompt, outcome)) in question.prompts.iter().zip(&question.outcomes).enumerate() {
        let count = runs.get(prompt).copied().unwrap_or(0);
        match outcome {
            Outcome::Answered(answer) => {
                verdict.answered += 1;
                if answer.text != answer_text(&options.target.model, prompt, MAX_TOKENS) {
                    verdict.violations.push(format!("\"{prompt}\": not the whole answer"));
                }
            }
            Outcome::Refused(refusal) => {
                *verdict.refused.entry(refusal.code.clone()).or_default() += 1;
                // A once-only question sent again later may have run then.
                let is_final_word = !question.once || place == last;
                if refusal.ran == "not_run" && is_final_word {
                    verdict.not_run_checked += 1;
                    if count > 0 {
                        verdict
                            .violations
                            .push(format!("\"{prompt}\": {} says not run, ran {count} times", refusal.code));
                    }
                }
                if refusal.retry_after_ms.is_none() && may_come_back(&refusal.code) {
                    verdict.violations.push(format!("\"{prompt}\": {} does not say when to come back", refusal.code));
                }
            }
            Outcome::Lost => verdict.lost += 1,
        }
    }
    if question.once {
        verdict.at_most_once_checked += 1;
        let prompt = question.prompts.first().map(String::as_str).unwrap_or_default();
        let count = runs.get(prompt).copied().unwrap_or(0);
        if count > 1 {
            verdict.violations.push(format!("\"{prompt}\" may run once and ran {count} times"));
        }
    }
}

/// Refusals after which sending the same again can't help.
fn may_come_back(code: &str) -> bool {
    !matches!(code, "already_ran" | "outcome_unknown" | "key_conflict")
}

/// Runs by prompt, over all engines and their restarts.
fn read_runs(files: &[PathBuf]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for file in files {
        let text = std::fs::read_to_string(file).unwrap_or_default();
        for line in text.lines() {
            let prompt =
                serde_json::from_str::<Value>(line).ok().and_then(|run| run["prompt"].as_str().map(str::to_owned));
            if let Some(prompt) = prompt {
                *runs.entry(prompt).or_default() += 1;
            }
        }
    }
    runs
}
