//! HTTP client of the machine list: `GET /v1/machines` returns `[{"name", "incarnation", "state"}]`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::Deserialize;
use stallmoor_core::identity::EngineName;
use stallmoor_core::node::MachineReport;

use crate::http::HttpCaller;
use crate::{BoxFuture, MachineList};

const READ_TIMEOUT: Duration = Duration::from_millis(2_000);

/// [`MachineList`] over HTTP.
pub struct HttpMachineList {
    uri: String,
    caller: HttpCaller,
}

#[derive(Deserialize)]
struct ListedMachine {
    name: String,
    incarnation: u64,
    state: ListedState,
}

#[derive(Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
enum ListedState {
    Live,
    Leaving,
}

impl HttpMachineList {
    /// Creates a client of the machine list at `address`.
    pub fn new(address: SocketAddr, caller: HttpCaller) -> Self {
        Self { uri: format!("http://{address}/v1/machines"), caller }
    }
}

impl MachineList for HttpMachineList {
    fn read(&self) -> BoxFuture<'_, Option<Vec<MachineReport>>> {
        Box::pin(async move {
            let answer = self.caller.call(Method::GET, &self.uri, Bytes::new(), READ_TIMEOUT).await;
            let Ok((StatusCode::OK, body)) = answer else { return None };
            let listed: Vec<ListedMachine> = serde_json::from_slice(&body).ok()?;
            let reports = listed.into_iter().map(|machine| MachineReport {
                engine: EngineName::new(&machine.name),
                incarnation: machine.incarnation,
                leaving: machine.state == ListedState::Leaving,
            });
            Some(reports.collect())
        })
    }
}
