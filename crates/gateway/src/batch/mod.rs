//! Callers' calls about batch jobs, as a gateway serves them.
//!
//! | module | owns |
//! |---|---|
//! | [`job_calls`] | submitting, reading and ending jobs by way of the leader of the job table |

pub mod job_calls;
