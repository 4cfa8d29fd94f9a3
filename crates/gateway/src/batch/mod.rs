//! The gateway's endpoints for batch jobs.
//!
//! | module | contents |
//! |---|---|
//! | [`job_calls`] | submitting, reading and ending jobs through the leader of the job table |

pub mod job_calls;
