//! Lookup of queues in large configurations.

use std::sync::Arc;

use jayfork::version::{Queue, QueueIndex, QueueTable};

fn queue(name: &str, priority: u8) -> Queue {
    Queue {
        name: name.into(),
        host: "example".into(),
        prefix: format!("/{name}/").into(),
        service: "assembly".into(),
        priority,
        objective: 400,
        stretch: 1.5,
        attempts: 3,
        has_advice: false,
    }
}

/// Guards against a queue that is not found, or taken for another one, in a configuration with many.
#[test]
fn a_queue_is_found_by_name_among_many() {
    let mut queues: Vec<Queue> = (0..2_000)
        .map(|index| queue(&format!("q{index}"), 1))
        .collect();
    queues.push(queue("q7", 2));
    let table = QueueTable {
        version: 1,
        queues,
        ..QueueTable::default()
    };
    let index = QueueIndex::from(Arc::new(table));
    for name in ["q0", "q7", "q1999"] {
        let found = index.queue(name).expect("a queue");
        assert_eq!((&*found.name, found.priority), (name, 1));
    }
    assert_eq!(index.queue("q2000"), None);
}
