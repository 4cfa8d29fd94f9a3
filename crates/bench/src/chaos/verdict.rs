//! Verification of a chaos run: compares the answers that callers received with the engines' records.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde::Serialize;
use serde_json::Value;
use stallmoor_emulator::answer_text;

use super::batch::CheckedJobs;
use super::online::RequestLog;
use super::{ChaosOptions, MAX_TOKENS};
use crate::fleet_client::Outcome;

/// Results of a chaos run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ChaosVerdict {
    /// Number of online requests.
    pub questions: usize,
    /// Number of sends that were answered completely.
    pub answered: usize,
    /// Number of sends that were refused, by error code.
    pub refused: BTreeMap<String, usize>,
    /// Number of sends that were lost.
    pub lost: usize,
    /// Number of "not run" refusals checked against the engines' records.
    pub not_run_checked: usize,
    /// Number of at-most-once requests checked against the engines' records.
    pub at_most_once_checked: usize,
    /// Number of jobs accepted.
    pub jobs: usize,
    /// Number of items accepted, each checked against its results at every node.
    pub items: usize,
    /// Number of runs recorded by engines.
    pub engine_runs: usize,
    /// Descriptions of the violations found.
    pub violations: Vec<String>,
}

/// Compares the answers that callers received with the engines' records.
pub fn check_run(options: &ChaosOptions, questions: &[RequestLog], jobs: CheckedJobs) -> ChaosVerdict {
    let runs = read_runs(&options.runs_files);
    let mut verdict = ChaosVerdict {
        questions: questions.len(),
        jobs: jobs.jobs,
        items: jobs.items,
        engine_runs: runs.values().sum(),
        violations: jobs.violations,
        ..ChaosVerdict::default()
    };
    for request in questions {
        check_request(options, request, &runs, &mut verdict);
    }
    verdict
}

fn check_request(
    options: &ChaosOptions,
    request: &RequestLog,
    runs: &BTreeMap<String, usize>,
    verdict: &mut ChaosVerdict,
) {
    let last = request.outcomes.len().saturating_sub(1);
    for (index, (prompt, outcome)) in request.prompts.iter().zip(&request.outcomes).enumerate() {
        let count = runs.get(prompt).copied().unwrap_or(0);
        match outcome {
            Outcome::Answered(answer) => {
                verdict.answered += 1;
                if answer.text != answer_text(&options.target.model, prompt, MAX_TOKENS) {
                    verdict.violations.push(format!("\"{prompt}\": answer is incomplete or wrong"));
                }
            }
            Outcome::Refused(refusal) => {
                *verdict.refused.entry(refusal.code.clone()).or_default() += 1;
                // An at-most-once request may have run on a later send, so only its last refusal is conclusive.
                let is_conclusive = !request.at_most_once || index == last;
                if refusal.ran == "not_run" && is_conclusive {
                    verdict.not_run_checked += 1;
                    if count > 0 {
                        verdict
                            .violations
                            .push(format!("\"{prompt}\": {} reported not run, but it ran {count} times", refusal.code));
                    }
                }
                if refusal.retry_after_ms.is_none() && is_retryable(&refusal.code) {
                    verdict.violations.push(format!("\"{prompt}\": {} has no retry delay", refusal.code));
                }
            }
            Outcome::Lost => verdict.lost += 1,
        }
    }
    if request.at_most_once {
        verdict.at_most_once_checked += 1;
        let prompt = request.prompts.first().map(String::as_str).unwrap_or_default();
        let count = runs.get(prompt).copied().unwrap_or(0);
        if count > 1 {
            verdict.violations.push(format!("\"{prompt}\" may run at most once but ran {count} times"));
        }
    }
}

/// Returns whether a request refused with this code may be retried.
fn is_retryable(code: &str) -> bool {
    !matches!(code, "already_ran" | "outcome_unknown" | "key_conflict")
}

/// Returns the number of runs by prompt, over all engines and their restarts.
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
