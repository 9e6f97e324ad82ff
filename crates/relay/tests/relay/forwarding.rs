//! Tests of statements that are forwarded between whole instances, and to a scripted one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use clock::Time;
use relay::forward::Peer;
use relay::forward::Router;
use relay::forward::channel;
use relay::forward::channel::Side;
use relay::forward::message::Call;
use relay::forward::message::Decline;
use relay::forward::message::End;
use relay::forward::message::Message;
use relay::message::Access;
use relay::message::Code;
use relay::message::Definition;
use relay::message::Failure;
use relay::message::Statement;
use store::Table;
use store::Write;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::world::GROUP;
use crate::world::Instance;
use crate::world::World;
use crate::world::free_address;
use crate::world::scarce_revision;

/// What a scripted peer does with a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Script {
    /// Closes the connection.
    Close,
    /// Sends nothing any more.
    Hang,
    /// Answers pings only.
    Delay,
    /// Declines it.
    Decline(Decline),
    /// Rejects it as a full queue does.
    Reject,
}

/// An instance that is responsible for all statements of the account `shop`.
struct Fake {
    calls: mpsc::UnboundedReceiver<Call>,
    task: JoinHandle<()>,
}

impl Fake {
    /// Registers the peer and waits until `i1` has connected to it.
    async fn start(world: &World, script: Script) -> Self {
        let address = free_address();
        let name = (0..)
            .map(|index| Arc::from(format!("fake{index}")))
            .find(|name| {
                let mut router = Router::open(&Arc::from("i1"));
                router.on_members(&BTreeMap::from([(Arc::clone(name), address)]));
                router.on_share(&Arc::from(GROUP), true);
                router.change(name, address, Peer::on_connected);
                let chosen = router.responsible(Time::ZERO, &Arc::from("shop"), &Arc::from(GROUP));
                chosen.is_some()
            })
            .expect("a name");
        let listener = TcpListener::bind(address).await.expect("a free port");
        let secret = world.table.get("fleet/secret").await.expect("a table");
        let secret = secret.expect("the instance has created it").value;
        let row = format!(
            "{{\"member\":{{\"name\":\"{name}\",\"life\":1}},\"address\":\"{address}\",\"serial\":1,\
             \"lapsed\":false,\"lease_ms\":600000,\"pinned\":0,\"mobile\":0,\"electors\":[],\
             \"zone\":\"z\"}}"
        );
        let write = Write::Put {
            key: Arc::from(format!("share/of/{name}/1")),
            value: Arc::from(row),
        };
        let put = world.table.commit(Vec::new(), vec![write]).await;
        put.expect("a table");
        let (sender, calls) = mpsc::unbounded_channel();
        let (connected, mut is_connected) = mpsc::unbounded_channel();
        let task = tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                let secret = secret.as_bytes();
                let opened = channel::open(stream, Side::Receiver, secret, &name, None).await;
                let (mut writer, mut reader, _) = opened.expect("the same protocol");
                while let Ok(message) = reader.receive().await {
                    let reply = match message {
                        Message::Ping => Message::Pong,
                        Message::Call { id, call } => {
                            let _unread = sender.send(*call);
                            match script {
                                Script::Close => break,
                                Script::Hang => std::future::pending().await,
                                Script::Delay => continue,
                                Script::Decline(decline) => {
                                    let end = End::Declined(decline);
                                    Message::End { id, end }
                                }
                                Script::Reject => {
                                    let failure = Failure::new(Code::Busy, "full; not run");
                                    let (outcome, position) = (Err(failure), None);
                                    let end = End::Reply { outcome, position };
                                    Message::End { id, end }
                                }
                            }
                        }
                        _ => continue,
                    };
                    writer.send(&reply).await.expect("a connection");
                    let _unread = connected.send(());
                }
            }
        });
        is_connected.recv().await.expect("a connection");
        sleep(Duration::from_millis(10)).await;
        Self { calls, task }
    }

    /// Returns the number of statements received.
    fn received(&mut self) -> usize {
        std::iter::from_fn(|| self.calls.try_recv().ok()).count()
    }
}

impl Drop for Fake {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connects to an instance as another one does.
async fn call_as_origin(
    world: &World,
    instance: &str,
    secret: Option<&str>,
) -> Option<(channel::Sender, channel::Receiver)> {
    let stream = TcpStream::connect(world.peer(instance)).await;
    let row = world.table.get("fleet/secret").await.expect("a table");
    let row = row.expect("the instance has created it").value;
    let secret = secret.unwrap_or(&row).as_bytes();
    let (name, expected) = (Arc::from("origin"), Arc::from(instance));
    let stream = stream.expect("the instance listens");
    let opened = channel::open(stream, Side::Origin, secret, &name, Some(&expected)).await;
    let (mut sender, mut receiver, _) = opened.expect("the same protocol");
    sender.send(&Message::Ping).await.expect("a connection");
    let pong = receiver.receive().await.ok()?;
    assert_eq!(pong, Message::Pong);
    Some((sender, receiver))
}

/// Starts three instances and waits until all statements of `shop` run at one; returns its index.
async fn start_three(world: &World) -> (Vec<Instance>, usize) {
    let mut instances = Vec::new();
    for name in ["i1", "i2", "i3"] {
        instances.push(world.start(name).await);
    }
    for _ in 0..100 {
        sleep(Duration::from_millis(200)).await;
        let before = world.group.runs().len();
        for instance in &instances {
            let mut client = instance.connect("orders").await;
            client.read("warm").await.expect("a read");
        }
        let runs = world.group.runs().split_off(before);
        let runners: BTreeSet<_> = runs.iter().map(|run| Arc::clone(&run.instance)).collect();
        if runners.len() == 1 {
            let name = runners.first().expect("one").to_string();
            let index: usize = name[1..].parse().expect("a number");
            return (instances, index - 1);
        }
    }
    panic!("the statements of one account run at several instances");
}

/// Guards against statements of one account that open connections at each instance, and against
/// reads that miss commits because another instance runs them.
#[tokio::test(start_paused = true)]
async fn one_instance_runs_the_statements_of_an_account_and_reads_stay_fresh() {
    let world = World::open_scarce();
    let (instances, responsible) = start_three(&world).await;
    world.group.set_lagging("b", true);
    world.group.set_lagging("c", true);
    let before = world.group.runs().len();
    for round in 0..6 {
        let data = round.to_string();
        let mut writer = instances[round % 3].connect("status").await;
        writer.write("x", &data).await.expect("a write");
        assert_eq!(writer.read("x").await.as_ref(), Ok(&data));
        let mut reader = instances[(round + 1) % 3].connect("orders").await;
        assert_eq!(reader.read("x").await.as_ref(), Ok(&data));
    }
    assert_eq!(world.group.writes("x"), 6);
    let name = format!("i{}", responsible + 1);
    let runs = world.group.runs().split_off(before);
    assert!(runs.iter().all(|run| *run.instance == *name), "{runs:?}");
}

/// Guards against values and definitions of one session at a connection that serves another.
#[tokio::test(start_paused = true)]
async fn values_and_prepared_statements_of_forwarded_statements_never_mix() {
    let world = World::open_scarce();
    let (instances, _) = start_three(&world).await;
    let definition = |index: usize| Definition {
        access: Access::Read,
        text: Arc::from(format!("q{index}")),
    };
    let mut clients = Vec::new();
    for index in 0..6 {
        let mut client = instances[index % 3].connect("orders").await;
        if index < 4 {
            client.set("lang", &format!("l{index}")).await;
        }
        let prepare = Statement::Prepare {
            name: Arc::from("s"),
            definition: definition(index),
        };
        assert!(client.run(prepare).await.outcome.is_ok());
        clients.push(client);
    }
    for _ in 0..4 {
        for (index, client) in clients.iter_mut().enumerate() {
            let execute = Statement::Execute {
                name: Arc::from("s"),
                arguments: Arc::from("x"),
            };
            assert!(client.run(execute).await.outcome.is_ok());
            let run = world.group.runs().pop().expect("a run");
            let value: Arc<str> = Arc::from(format!("l{index}"));
            let values = (index < 4).then(|| (Arc::from("lang"), value));
            assert_eq!(run.values, values.into_iter().collect());
            assert_eq!(run.definition, Some(definition(index)));
            assert_eq!(&*run.account, "shop");
        }
    }
}

/// Guards against a write that runs twice, and a read that fails, when the instance that runs them
/// dies before it answers.
#[tokio::test(start_paused = true)]
async fn a_dead_instance_leaves_a_write_in_doubt_and_a_read_runs_again() {
    for is_write in [true, false] {
        let world = World::open_scarce();
        let (instances, responsible) = start_three(&world).await;
        let mut client = instances[(responsible + 1) % 3].connect("orders").await;
        world.group.lose_answer();
        let crash = async {
            sleep(Duration::from_millis(50)).await;
            instances[responsible].task.abort();
        };
        if is_write {
            let (written, ()) = tokio::join!(client.write("x", "1"), crash);
            assert_eq!(written.expect_err("no answer").code, Code::InDoubt);
            sleep(Duration::from_secs(1)).await;
            assert_eq!(world.group.writes("x"), 1);
        } else {
            let (read, ()) = tokio::join!(client.read("x"), crash);
            assert_eq!(read.as_deref(), Ok("none"));
        }
        client.write("y", "1").await.expect("it runs locally");
    }
}

/// Guards against statements that a planned stop cuts off.
#[tokio::test(start_paused = true)]
async fn a_planned_stop_of_the_responsible_instance_fails_no_statement() {
    let world = World::open_scarce();
    let (mut instances, responsible) = start_three(&world).await;
    let mut client = instances[(responsible + 1) % 3].connect("orders").await;
    instances[responsible].stop();
    for round in 0..400 {
        let written = client.write("x", "1").await;
        assert_eq!(written, Ok(()), "round {round}");
        sleep(Duration::from_millis(10)).await;
    }
    assert!(instances[responsible].task.is_finished());
    assert_eq!(world.group.writes("x"), 400);
}

/// Guards against a second run of a write whose receiver closed the connection, and against a read
/// that fails for it.
#[tokio::test(start_paused = true)]
async fn a_connection_that_breaks_before_the_reply_leaves_only_writes_in_doubt() {
    let world = World::open_scarce();
    let instance = world.start("i1").await;
    let mut fake = Fake::start(&world, Script::Close).await;
    let mut client = instance.connect("orders").await;
    let failure = client.write("x", "1").await.expect_err("no answer");
    assert_eq!(failure.code, Code::InDoubt);
    assert_eq!(world.group.writes("x"), 0, "it is not sent again");
    sleep(Duration::from_secs(1)).await;
    assert_eq!(client.read("x").await.as_deref(), Ok("none"));
    assert_eq!(fake.received(), 2);
}

/// Guards against callers that wait for a silent instance until their limit, and against a second
/// run of a write that it may have run.
#[tokio::test(start_paused = true)]
async fn a_silent_instance_is_left_out_and_its_writes_are_in_doubt() {
    let world = World::open_scarce();
    let instance = world.start("i1").await;
    let mut fake = Fake::start(&world, Script::Hang).await;
    let mut writer = instance.connect("orders").await;
    let mut reader = instance.connect("orders").await;
    let reads = async {
        for _ in 0..6 {
            assert_eq!(reader.read("x").await.as_deref(), Ok("none"));
        }
    };
    let write = writer.write("x", "1");
    tokio::pin!(write);
    tokio::select! {
        written = &mut write => panic!("the reads waited as long as the write: {written:?}"),
        () = reads => {}
    }
    let written = write.await;
    assert_eq!(written.expect_err("no answer").code, Code::InDoubt);
    assert_eq!(world.group.writes("x"), 0);
    assert!(fake.received() <= 2);
}

/// Guards against a write that runs again when its time limit ends without a reply.
#[tokio::test(start_paused = true)]
async fn a_write_that_is_not_answered_in_time_is_in_doubt() {
    let world = World::open_scarce();
    let instance = world.start("i1").await;
    let mut fake = Fake::start(&world, Script::Delay).await;
    let mut client = instance.connect("orders").await;
    let failure = client.write("x", "1").await.expect_err("no answer");
    assert_eq!(failure.code, Code::InDoubt);
    let failure = client.read("x").await.expect_err("no answer");
    assert_eq!(failure.code, Code::Timeout);
    assert_eq!(world.group.writes("x"), 0);
    assert_eq!(fake.received(), 2);
}

/// Guards against rejections that another instance's state causes while this one can serve.
#[tokio::test(start_paused = true)]
async fn what_the_other_instance_did_not_run_runs_locally_once() {
    let scripts = [
        Script::Decline(Decline::OlderSettings),
        Script::Decline(Decline::Full),
        Script::Decline(Decline::KeyUnknown),
        Script::Decline(Decline::Stopping),
        Script::Reject,
    ];
    for script in scripts {
        let world = World::open_scarce();
        let instance = world.start("i1").await;
        let mut fake = Fake::start(&world, script).await;
        let mut client = instance.connect("orders").await;
        client.write("x", "1").await.expect("a write");
        assert_eq!(client.read("x").await.as_deref(), Ok("1"));
        assert_eq!(world.group.writes("x"), 1, "{script:?}");
        let is_stopping = script == Script::Decline(Decline::Stopping);
        assert_eq!(
            fake.received(),
            if is_stopping { 1 } else { 2 },
            "{script:?}"
        );
    }
}

/// Guards against an instance that runs statements under settings that are older than the origin's.
#[tokio::test(start_paused = true)]
async fn a_call_carries_the_revision_under_which_it_was_accepted() {
    let world = World::open_scarce();
    let instance = world.start("i1").await;
    let mut fake = Fake::start(&world, Script::Decline(Decline::OlderSettings)).await;
    world.set_revision(scarce_revision(7));
    sleep(Duration::from_millis(300)).await;
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    let call = fake.calls.try_recv().expect("a call");
    assert_eq!(call.revision, 7);
    assert_eq!((&*call.account, &*call.database), ("shop", "orders"));
}

/// Guards against transactions that are split between instances.
#[tokio::test(start_paused = true)]
async fn the_statements_of_a_transaction_stay_at_the_callers_instance() {
    let world = World::open_scarce();
    let instance = world.start("i1").await;
    let mut fake = Fake::start(&world, Script::Close).await;
    let mut client = instance.connect("orders").await;
    let is_read_only = false;
    client.run(Statement::Begin { is_read_only }).await;
    client.write("x", "1").await.expect("a write");
    assert!(client.run(Statement::Commit).await.outcome.is_ok());
    assert_eq!(fake.received(), 0);
    assert_eq!(world.group.writes("x"), 1);
}

/// Guards against statements that run under settings older than those under which they were
/// accepted, for a key that is not in force, or that are not single statements.
#[tokio::test(start_paused = true)]
async fn a_receiver_runs_only_what_its_own_settings_allow() {
    let world = World::open_scarce();
    let _instance = world.start("i1").await;
    let opened = call_as_origin(&world, "i1", None).await;
    let (mut sender, mut receiver) = opened.expect("the secret is right");
    let write = Statement::Write {
        arguments: Arc::from("x 1"),
    };
    let call = |key: &str, revision: u64, statement: &Statement| Call {
        id: Arc::from("q1"),
        account: Arc::from("shop"),
        key: Arc::from(key),
        database: Arc::from("orders"),
        statement: statement.clone(),
        definition: None,
        values: BTreeMap::new(),
        last_commit: None,
        age_us: 0,
        remaining_us: 1_000_000,
        revision,
    };
    let calls = [
        (call("k1", 3, &write), Err(Decline::OlderSettings)),
        (call("k2", 2, &write), Ok(Some(Code::NoAccess))),
        (
            call("k1", 2, &Statement::Pause { term: 9 }),
            Ok(Some(Code::Malformed)),
        ),
        (call("k1", 2, &write), Ok(None)),
    ];
    for (id, (call, expected)) in calls.into_iter().enumerate() {
        let (id, call) = (id as u64, Box::new(call));
        let sent = sender.send(&Message::Call { id, call }).await;
        sent.expect("a connection");
        let answer = receiver.receive().await.expect("an answer");
        let Message::End { id: answered, end } = answer else {
            panic!("expected the end of an answer: {answer:?}");
        };
        assert_eq!(answered, id);
        let outcome = end.into_reply(Vec::new()).map(|reply| reply.code());
        assert_eq!(outcome, expected);
    }
    assert_eq!(world.group.writes("x"), 1);
    assert!(world.group.paused().is_empty());
}

/// Guards against statements of processes that don't know the fleet's secret.
#[tokio::test(start_paused = true)]
async fn a_connection_without_the_secret_is_closed() {
    let world = World::open_scarce();
    let _instance = world.start("i1").await;
    assert!(call_as_origin(&world, "i1", Some("guess")).await.is_none());
    assert!(call_as_origin(&world, "i1", None).await.is_some());
}
