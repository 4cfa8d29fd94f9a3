//! HTTP as both programs serve it, whatever the request is about.
//!
//! | module | owns |
//! |---|---|
//! | [`answer_body`] | the body of an answer: whole, or in pieces as they come |
//! | [`headers`] | which headers are passed on |
//! | [`plain_listener`] | listeners whose answers need no waiting: readiness, metrics |
//! | [`refusal`] | the answer to a request that is not served |

pub mod answer_body;
pub mod headers;
pub mod plain_listener;
pub mod refusal;
