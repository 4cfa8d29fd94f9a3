//! HTTP components shared by gateways and storage nodes.
//!
//! | module | contents |
//! |---|---|
//! | [`answer_body`] | the body of an answer: complete or streamed |
//! | [`headers`] | the selection of headers to forward |
//! | [`plain_listener`] | listeners with synchronous handlers: readiness, metrics |
//! | [`refusal`] | the answer to a refused request |

pub mod answer_body;
pub mod headers;
pub mod plain_listener;
pub mod refusal;
