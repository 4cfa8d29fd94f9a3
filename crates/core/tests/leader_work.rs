//! What an event costs the leader of the job table, at the size of a busy deployment and at twice and four times it.

use std::sync::Arc;

use postcard::ser_flavors::Flavor;
use stallmoor_core::serving::jobs::command::{ItemKey, JobCommand, JobItem, JobKey, Submission};
use stallmoor_core::serving::jobs::table::JobTable;
use stallmoor_core::time::{Millis, UnixMillis};

/// Items that run in a busy deployment.
const ITEMS: usize = 390;

fn key(item: usize) -> ItemKey {
    ItemKey { job: JobKey(Arc::from("job")), item: item as u32 }
}

fn submission(items: usize) -> Submission {
    let item = |number: usize| JobItem {
        id: Arc::from(format!("item-{number}")),
        path: Arc::from("/batch/x"),
        headers: Vec::new(),
        body: Arc::from([0; 10]),
        token_count: 100,
    };
    Submission {
        key: key(0).job,
        route: Arc::from("route"),
        host: Arc::from("host"),
        tenant: None,
        items: (0..items).map(item).collect(),
        configuration_version: 7,
        received_at: UnixMillis(0),
        due: Millis(20_000),
        queued_token_limit: None,
    }
}

/// Counts the calls with which a value is serialized.
#[derive(Default)]
struct CallCounter(usize);

impl Flavor for CallCounter {
    type Output = usize;

    fn try_push(&mut self, _byte: u8) -> postcard::Result<()> {
        self.0 += 1;
        Ok(())
    }

    fn try_extend(&mut self, _bytes: &[u8]) -> postcard::Result<()> {
        self.0 += 1;
        Ok(())
    }

    fn finalize(self) -> postcard::Result<usize> {
        Ok(self.0)
    }
}

/// Guards against snapshots that are encoded one byte at a time, for which the leader stands still.
#[test]
fn a_snapshot_is_encoded_in_calls_by_items_and_not_by_bytes() {
    let calls = |body_bytes: usize| {
        let mut table = JobTable::default();
        let mut submission = submission(ITEMS);
        submission.items.iter_mut().for_each(|item| item.body = vec![7; body_bytes].into());
        table.apply(JobCommand::Accept(submission));
        postcard::serialize_with_flavor::<_, CallCounter, usize>(&table, CallCounter::default()).expect("serializable")
    };
    for body_bytes in [1_000, 2_000, 4_000] {
        assert_eq!(calls(body_bytes), calls(500), "{body_bytes} bytes a body");
    }
}
