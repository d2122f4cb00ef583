//! Gangs that lose a member and start again.

use jayfork::process::shard::Reply;
use jayfork::request::job::{JobSpec, Outcome};
use yare::parameterized;

use super::world::{World, chain};

/// A gang of three that saves its progress.
fn gang() -> JobSpec {
    let mut spec = chain(&[3], 3_000);
    spec.steps[0].gang = true;
    spec.steps[0].saves = true;
    spec
}

/// What happens to a gang at work.
#[derive(Clone, Copy)]
enum Loss {
    Restart,
    /// The worker of a member is not heard for longer than its lease.
    Silence,
    OwnerToo,
    /// Two members after each other.
    Twice,
}

/// Guards against saved progress that is lost with the owner, since the ends that told of it are acknowledged and not recorded.
#[test]
fn the_next_owner_resumes_from_what_was_saved() {
    let mut world = World::new(4, 5, 4_000);
    world.runtimes = 14_000..14_001;
    world.claim();
    world.run(1_000);
    world.submit(1, &gang());
    world.run(3_500);
    let worker = world.holder(1);
    world.fleet.restart(world.now, worker);
    world.run(400);
    assert_eq!(world.running(1), 0);
    world.kill(0);
    world.claim();
    world.run(4_000);
    assert_eq!(world.running(1), 3);
    assert!(world.fleet.have_resumed());
    world.assert_no_violations();
}

/// Guards against members of a gang that resume from different checkpoints after the loss of one: they can't work
/// together, end alone again and again, and the job never completes.
#[parameterized(
    restart = { Loss::Restart },
    silence = { Loss::Silence },
    owner_too = { Loss::OwnerToo },
    twice = { Loss::Twice },
)]
fn a_gang_resumes_from_one_checkpoint(loss: Loss) {
    let mut world = World::new(4, 5, 4_000);
    world.runtimes = 14_000..14_001;
    world.claim();
    world.run(1_000);
    world.submit(1, &gang());
    world.run(3_500);
    assert_eq!(world.running(1), 3);
    let worker = world.holder(1);
    match loss {
        Loss::Silence => {
            world.fleet.workers[worker].is_unreachable = true;
            world.run(9_000);
            world.fleet.workers[worker].is_unreachable = false;
        }
        _ => world.fleet.restart(world.now, worker),
    }
    if let Loss::OwnerToo = loss {
        world.run(400);
        world.kill(0);
        world.claim();
    }
    if let Loss::Twice = loss {
        world.run(6_000);
        let worker = world.holder(1);
        world.fleet.restart(world.now, worker);
    }
    world.run(40_000);
    world.assert_no_violations();
    assert_eq!(world.fleet.alone, 0);
    let state = world.state(1);
    assert!(
        matches!(
            state,
            Some(Reply::State {
                outcome: Some(Outcome::Completed),
                ..
            })
        ),
        "{state:?}"
    );
}
