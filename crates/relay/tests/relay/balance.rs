//! Tests of the placement of reads, which replay load patterns without a network.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Position;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use relay::balance::Average;
use relay::balance::Balance;
use relay::balance::Candidate;
use relay::balance::Counts;
use relay::balance::LOADS_AGE_MAX;
use relay::balance::LOADS_HALF_LIFE;
use relay::balance::Loads;
use relay::balance::Record;
use relay::balance::Standing;
use relay::balance::State;
use relay::balance::Summary;
use relay::balance::largest;
use relay::group::Health;
use relay::message::Code;
use relay::peers::Datagram;
use relay::peers::Payload;
use test_case::test_case;

/// The time of a healthy server for a read, and for opening a connection.
const READ_MS: u64 = 20;
const OPEN_MS: u64 = 12;
const SLOTS: usize = 4;
/// One of so many reads finds an idle connection where connections are scarce.
const IDLE_IN: u32 = 10;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn name(index: usize) -> Arc<str> {
    Arc::from(format!("s{index}"))
}

/// What a server does with a request.
#[derive(Clone, Copy)]
enum Answer {
    /// It succeeds after so many milliseconds of a slot.
    Success(u64),
    /// It fails after so many milliseconds of a slot.
    Failure(u64),
    /// The server can't be reached.
    None,
}

/// A read that was sent to a server.
struct Sent {
    server: usize,
    at: Time,
    /// How long it took; `None` if it failed or the server was unreachable.
    took: Option<Span>,
}

/// A request that occupies a server.
struct Running {
    instance: usize,
    server: usize,
    sent: Time,
    ticket: u64,
    answer: Answer,
    /// The ticket of a write.
    commit: Option<u64>,
}

/// One instance's view of the servers.
struct Instance {
    balance: Balance,
    healths: Vec<Health>,
}

/// A group of three servers, of which the first leads, and the instances that use it.
struct Site {
    instances: Vec<Instance>,
    /// When each slot of each server is free.
    slots: Vec<Vec<Time>>,
    running: BTreeMap<(Time, u64), Running>,
    next: u64,
    random: ChaCha8Rng,
    is_scarce: bool,
    /// Whether instances report their requests to each other.
    has_reports: bool,
    /// When the latest reports were sent, and each server's unanswered requests in them.
    reported: (Time, [Average; 3]),
    sent: Vec<Sent>,
}

impl Site {
    fn open(instances: usize, is_scarce: bool) -> Self {
        let instance = || Instance {
            balance: Balance::default(),
            healths: (0..3).map(|_| Health::default()).collect(),
        };
        Self {
            instances: (0..instances).map(|_| instance()).collect(),
            slots: vec![vec![Time::ZERO; SLOTS]; 3],
            running: BTreeMap::new(),
            next: 0,
            random: ChaCha8Rng::seed_from_u64(7),
            is_scarce,
            has_reports: false,
            reported: (Time::ZERO, [Average::default(); 3]),
            sent: Vec::new(),
        }
    }

    /// Sends so many reads and writes a second from random instances until `end_ms`.
    fn run(
        &mut self,
        end_ms: u64,
        reads: u64,
        writes: u64,
        answer: impl Fn(usize, Time, u64) -> Answer,
    ) {
        let mut now = at(1_000);
        while now < at(end_ms) {
            let mean_us = 1_000_000 / (reads + writes);
            now = now + Span::from_micros(self.random.random_range(0..2 * mean_us));
            self.finish_until(now);
            self.report(now);
            let instance = self.random.random_range(0..self.instances.len());
            if self.random.random_range(0..reads + writes) < writes {
                self.start(now, instance, 0, Answer::Success(READ_MS), true, true);
            } else {
                self.read(now, instance, &answer);
            }
        }
        self.finish_until(Time::NEVER);
    }

    fn report(&mut self, now: Time) {
        if !self.has_reports || now < self.reported.0 + Span::from_millis(400) {
            return;
        }
        let mut counts = [0_u32; 3];
        for running in self.running.values() {
            counts[running.server] += 1;
        }
        self.reported.0 = now;
        for (average, count) in self.reported.1.iter_mut().zip(counts) {
            average.add(now, LOADS_HALF_LIFE, f64::from(count));
        }
    }

    fn read(&mut self, now: Time, instance: usize, answer: &impl Fn(usize, Time, u64) -> Answer) {
        let mut tried = BTreeSet::new();
        while let Some((server, has_idle)) = self.choose(now, instance, &tried) {
            self.next += 1;
            let answer = answer(server, now, self.next);
            if matches!(answer, Answer::None) {
                self.instances[instance].healths[server].on_failure(now);
                self.sent.push(Sent {
                    server,
                    at: now,
                    took: None,
                });
                tried.insert(server);
                continue;
            }
            self.start(now, instance, server, answer, has_idle, false);
            return;
        }
    }

    fn choose(
        &mut self,
        now: Time,
        instance: usize,
        tried: &BTreeSet<usize>,
    ) -> Option<(usize, bool)> {
        let view = &mut self.instances[instance];
        let summaries: BTreeMap<Arc<str>, Summary> = view
            .healths
            .iter()
            .enumerate()
            .map(|(index, health)| (name(index), health.record.summary(now)))
            .collect();
        view.balance.review(now, &summaries);
        let mut indexes = Vec::new();
        let mut candidates = Vec::new();
        for (index, health) in view.healths.iter().enumerate() {
            if tried.contains(&index) || !health.can_serve(now, Position::default()) {
                continue;
            }
            indexes.push(index);
            candidates.push(Candidate {
                server: name(index),
                summary: health.record.summary(now),
                waiting: health.outstanding_batches(),
                elsewhere: self.reported.1[index].sample_mean().unwrap_or_default(),
                writes: health.outstanding_commits(),
                slots: SLOTS,
                has_idle: !self.is_scarce || self.random.random_range(0..IDLE_IN) == 0,
                is_far: false,
                is_leader: index == 0,
            });
        }
        let chosen = view
            .balance
            .choose(&candidates, self.is_scarce, &mut self.random)?;
        Some((indexes[chosen], candidates[chosen].has_idle))
    }

    fn start(
        &mut self,
        now: Time,
        instance: usize,
        server: usize,
        answer: Answer,
        has_idle: bool,
        is_write: bool,
    ) {
        let (Answer::Success(ms) | Answer::Failure(ms)) = answer else {
            return;
        };
        let health = &mut self.instances[instance].healths[server];
        let ticket = health.on_sent(now);
        let commit = is_write.then(|| health.on_commit_sent(now));
        let held = if has_idle { ms } else { ms + OPEN_MS };
        let slot = self.slots[server].iter_mut().min().expect("a slot");
        let end = now.max(*slot) + Span::from_millis(held);
        *slot = end;
        self.next += 1;
        let running = Running {
            instance,
            server,
            sent: now,
            ticket,
            answer,
            commit,
        };
        self.running.insert((end, self.next), running);
    }

    fn finish_until(&mut self, now: Time) {
        while let Some(entry) = self.running.first_entry() {
            let end = entry.key().0;
            if end > now {
                return;
            }
            let running = entry.remove();
            let health = &mut self.instances[running.instance].healths[running.server];
            health.on_end(running.ticket);
            health.on_reply(end, None);
            if let Some(commit) = running.commit {
                health.on_commit_end(end, commit, true);
                continue;
            }
            let is_success = matches!(running.answer, Answer::Success(_));
            let code = (!is_success).then_some(Code::Failed);
            health.on_outcome(end, running.sent, code);
            self.sent.push(Sent {
                server: running.server,
                at: running.sent,
                took: is_success.then(|| end.since(running.sent)),
            });
        }
    }

    /// Returns the reads sent to each server in a period, and how many of all failed.
    fn counts(&self, from_ms: u64, to_ms: u64) -> ([usize; 3], usize) {
        let mut counts = [0; 3];
        let mut failed = 0;
        for sent in &self.sent {
            if sent.at >= at(from_ms) && sent.at < at(to_ms) {
                counts[sent.server] += 1;
                failed += usize::from(sent.took.is_none());
            }
        }
        (counts, failed)
    }

    /// Returns the percentage of a server in the reads of a period.
    fn percent(&self, server: usize, from_ms: u64, to_ms: u64) -> usize {
        let (counts, _) = self.counts(from_ms, to_ms);
        counts[server] * 100 / counts.iter().sum::<usize>()
    }
}

/// Load pattern: a server fails 2 of 5 requests and answers the others normally. Guards against
/// failures that one success clears, which leave the server its full part.
#[test_case(8, false; "few instances")]
#[test_case(77, true; "many instances")]
fn a_server_that_fails_two_of_five_requests_gets_few(instances: usize, is_scarce: bool) {
    let mut site = Site::open(instances, is_scarce);
    site.run(41_000, 112, 10, |server, _, number| {
        if server == 1 && number % 5 < 2 {
            Answer::Failure(READ_MS)
        } else {
            Answer::Success(READ_MS)
        }
    });
    let (counts, failed) = site.counts(11_000, 41_000);
    let total: usize = counts.iter().sum();
    assert!(counts[1] * 100 < total * 15, "{counts:?}");
    assert!(counts[1] > 0, "it gets probes: {counts:?}");
    assert!(failed * 100 < total * 6, "{failed} of {total}");
}

/// Load pattern: a server is slower by a factor of 5 to 8. Guards against a choice that considers
/// only how many requests are open.
#[test_case(5, 8, 3; "five times, few instances")]
#[test_case(8, 8, 3; "eight times, few instances")]
#[test_case(5, 77, 15; "five times, many instances")]
#[test_case(8, 77, 10; "eight times, many instances")]
fn a_slow_server_gets_few_requests(factor: u64, instances: usize, max_percent: usize) {
    let mut site = Site::open(instances, instances > 8);
    site.run(41_000, 112, 10, |server, _, _| {
        Answer::Success(if server == 1 {
            READ_MS * factor
        } else {
            READ_MS
        })
    });
    assert!(site.percent(1, 11_000, 41_000) < max_percent);
}

/// Load pattern: a server goes up and down every 1.2 s for 20 s. Guards against its full use in
/// each up time, and against a server that stays excluded after it has become stable.
#[test_case(8, false; "few instances")]
#[test_case(77, true; "many instances")]
fn a_flapping_server_gets_few_requests_until_it_is_stable(instances: usize, is_scarce: bool) {
    let mut site = Site::open(instances, is_scarce);
    site.run(61_000, 112, 10, |server, now, _| {
        let millis = now.since(Time::ZERO).as_millis();
        if server == 1 && millis < 21_000 && millis / 1_200 % 2 == 0 {
            Answer::None
        } else {
            Answer::Success(READ_MS)
        }
    });
    assert!(site.percent(1, 6_000, 21_000) < 20);
    assert!(site.percent(1, 46_000, 61_000) > 30);
}

/// Load pattern: 77 instances lose a server and choose among the others at the same moment. Guards
/// against ties that all instances resolve in the same way.
#[test]
fn many_instances_spread_over_the_servers_that_are_left() {
    let mut site = Site::open(77, true);
    let lost: BTreeSet<usize> = BTreeSet::from([0]);
    let mut counts = [0; 3];
    for instance in 0..77 {
        let (server, _) = site
            .choose(at(1_000), instance, &lost)
            .expect("two are left");
        counts[server] += 1;
    }
    assert_eq!(counts[0], 0);
    assert!(counts[1] >= 27 && counts[2] >= 27, "{counts:?}");
}

/// Load pattern: one of two replicas is lost under load that the other can't serve alone. Guards
/// against a queue at the replica while the primary has free slots.
#[test]
fn the_primary_relieves_the_last_replica() {
    let mut site = Site::open(77, true);
    site.run(21_000, 150, 10, |server, now, _| {
        if server == 1 && now >= at(6_000) {
            Answer::None
        } else {
            Answer::Success(READ_MS)
        }
    });
    let late = site.sent.iter().filter(|sent| sent.at >= at(11_000));
    let took: Vec<u64> = late
        .filter_map(|sent| Some(sent.took?.as_millis()))
        .collect();
    let slow = took.iter().filter(|ms| **ms > 250).count();
    assert!(slow * 20 < took.len(), "{slow} of {}", took.len());
}

/// Load pattern: writes use nearly all slots of the primary while replicas are idle. Guards against
/// reads that queue with them.
#[test_case(8, false; "few instances")]
#[test_case(77, true; "many instances")]
fn reads_leave_a_primary_that_is_busy_with_writes(instances: usize, is_scarce: bool) {
    let mut site = Site::open(instances, is_scarce);
    site.run(21_000, 60, 190, |_, _, _| Answer::Success(READ_MS));
    assert!(site.percent(0, 6_000, 21_000) < 3);
}

/// Load pattern: all servers are equal and healthy. Guards against outliers found by chance and
/// against an uneven use of equal replicas.
#[test_case(8, false; "few instances")]
#[test_case(77, true; "many instances")]
fn equal_replicas_are_used_equally(instances: usize, is_scarce: bool) {
    let mut site = Site::open(instances, is_scarce);
    site.run(31_000, 112, 10, |_, _, _| Answer::Success(READ_MS));
    let (counts, _) = site.counts(1_000, 31_000);
    let replicas = counts[1] + counts[2];
    assert!(
        counts[1] * 10 > replicas * 4 && counts[2] * 10 > replicas * 4,
        "{counts:?}"
    );
    assert!(counts[0] < counts[1] && counts[0] < counts[2], "{counts:?}");
    for instance in &site.instances {
        for server in 0..3 {
            assert_eq!(instance.balance.state(&name(server)), State::Normal);
        }
    }
}

fn candidate(index: usize) -> Candidate {
    Candidate {
        server: name(index),
        summary: Summary::default(),
        waiting: 0,
        elsewhere: 0.0,
        writes: 0,
        slots: SLOTS,
        has_idle: true,
        is_far: false,
        is_leader: index == 0,
    }
}

/// Guards small deployments against a random choice of servers that cost them more.
#[test]
fn few_instances_choose_the_nearest_free_replica_with_an_idle_connection() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let balance = Balance::default();
    let nearest = candidate(1);
    let mut others = vec![candidate(0)];
    for change in [
        |other: &mut Candidate| other.is_far = true,
        |other: &mut Candidate| other.has_idle = false,
        |other: &mut Candidate| other.waiting = 1,
    ] {
        let mut other = candidate(2);
        change(&mut other);
        others.push(other);
    }
    // A mean that differs by less than the kinds of statements do is no reason to leave it.
    let mut slower = nearest;
    slower.summary.reply_ms = 35.0;
    slower.summary.replies = 10.0;
    others[1].summary.reply_ms = 20.0;
    others[1].summary.replies = 10.0;
    others.push(slower);
    for _ in 0..200 {
        assert_eq!(balance.choose(&others, false, &mut random), Some(4));
    }
}

/// Guards against reads that stay with the leader because only it has an idle connection at first,
/// whatever the reply times are.
#[test_case(5.0; "fast statements")]
#[test_case(20.0; "usual statements")]
#[test_case(50.0; "slow statements")]
fn a_connection_to_a_replica_is_opened_rather_than_read_from_the_leader(reply_ms: f64) {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let balance = Balance::default();
    let mut leader = candidate(0);
    leader.slots = 5;
    leader.summary.reply_ms = reply_ms;
    leader.summary.replies = 10.0;
    let mut replica = candidate(1);
    replica.has_idle = false;
    let servers = [leader, replica];
    for _ in 0..50 {
        assert_eq!(balance.choose(&servers, false, &mut random), Some(1));
    }
}

/// Guards against a leader that gets reads because this instance's own requests don't show its
/// queue.
#[test]
fn a_measured_wait_and_pending_writes_make_the_primary_expensive() {
    let leader = candidate(0);
    let cost = |leader: &Candidate| leader.expected_ms(20.0, 0.0);
    let mut writing = leader.clone();
    (writing.waiting, writing.writes) = (3, 3);
    assert!(cost(&writing) > cost(&leader) + 25.0);
    let mut queued = leader.clone();
    queued.summary.wait_ms = 80.0;
    assert!(cost(&queued) > cost(&leader) + 70.0);
}

/// Guards against a read without any server because all are outliers.
#[test]
fn some_server_is_always_chosen() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut balance = Balance::default();
    let mut failing = Record::default();
    for millis in 0..20 {
        failing.on_failure(at(millis));
    }
    let summaries = BTreeMap::from([
        (name(0), Summary::default()),
        (name(1), failing.summary(at(20))),
    ]);
    balance.review(at(20), &summaries);
    assert_eq!(balance.state(&name(1)), State::Outlier);
    for is_scarce in [false, true] {
        assert_eq!(
            balance.choose(&[candidate(1)], is_scarce, &mut random),
            Some(0)
        );
        assert_eq!(balance.choose(&[], is_scarce, &mut random), None);
    }
}

/// Guards against failures of the statements themselves, which occur at all servers.
#[test]
fn failures_that_all_servers_share_make_no_outlier() {
    let mut failing = Record::default();
    for millis in 0..20 {
        failing.on_failure(at(millis));
    }
    let summaries = (0..3).map(|index| (name(index), failing.summary(at(20))));
    let mut balance = Balance::default();
    assert_eq!(balance.review(at(20), &summaries.collect()), []);
}

/// Guards against full load right after an outage, and against short outlier times for a server
/// that relapses again and again.
#[test]
fn recovery_is_in_steps_and_takes_longer_after_a_relapse() {
    let mut standing = Standing::default();
    assert!(standing.step(at(0), true, true));
    assert!(!standing.step(at(1_900), false, false));
    let mut shares = Vec::new();
    for millis in [2_000, 3_000, 4_000, 5_000] {
        standing.step(at(millis), false, false);
        shares.push(standing.share());
    }
    assert_eq!(shares, [0.125, 0.25, 0.5, 1.0]);
    assert!(standing.step(at(6_000), true, true));
    assert!(!standing.step(at(9_900), false, false));
    assert!(standing.step(at(10_000), false, false));
    assert_eq!(standing.state(), State::Recovering);
}

/// Guards against evidence that never ages: a server without requests must be tried again.
#[test]
fn the_record_of_a_server_without_requests_fades() {
    let mut record = Record::default();
    for millis in 0..10 {
        record.on_timeout(at(1_000 + millis), at(0));
    }
    let fresh = record.summary(at(1_010));
    let faded = record.summary(at(31_010));
    // This is too little evidence for an outlier.
    assert!(
        fresh.failure_rate > 0.9 && fresh.requests > 9.0,
        "{fresh:?}"
    );
    assert!(
        faded.failure_rate < 0.25 && faded.replies < 1.0,
        "{faded:?}"
    );
}

fn counts(server: usize, count: u32) -> Counts {
    Counts::from([((Arc::from("g"), name(server)), count)])
}

/// Guards against an estimate that misses the instances that report elsewhere, that counts the
/// receiver's own requests twice, or that lasts longer than the queue it tells of.
#[test]
fn the_load_of_the_other_instances_is_estimated_from_fresh_reports() {
    let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let mut loads = Loads::default();
    loads.on_report(at(1_000), address(1), counts(1, 4));
    loads.on_report(at(1_000), address(2), counts(1, 2));
    let own = counts(1, 6);
    // Instance 1 asks: the other reporter and the estimating instance stand for all 10 others.
    let estimate = loads.estimate(at(1_100), &own, Some(address(1)), 10);
    assert_eq!(estimate, counts(1, 40));
    let estimate = loads.estimate(at(1_100), &own, None, 10);
    assert_eq!(estimate, counts(1, 30));
    let stale = loads.estimate(at(1_000) + LOADS_AGE_MAX, &own, None, 10);
    assert_eq!(stale, Counts::new());
}

/// Load pattern: another instance's requests fill a server. Guards against a choice that knows only
/// this instance's own requests.
#[test]
fn a_server_that_is_busy_for_other_instances_is_avoided() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut busy = candidate(1);
    busy.elsewhere = 12.0;
    let servers = [busy, candidate(2)];
    let balance = Balance::default();
    let mut chosen = 0;
    for _ in 0..200 {
        chosen += usize::from(balance.choose(&servers, true, &mut random) == Some(0));
    }
    assert!(chosen < 10, "{chosen} of 200");
    assert_eq!(balance.choose(&servers, false, &mut random), Some(1));
}

/// Load pattern: one of two replicas is lost under load that the other can't serve alone. Guards
/// against reports, each used for 400 ms, that make all instances change to and fro together.
#[test]
fn reports_of_the_load_do_not_make_instances_herd() {
    let mut slow = Vec::new();
    for has_reports in [false, true] {
        let mut site = Site::open(77, true);
        site.has_reports = has_reports;
        site.run(21_000, 150, 10, |server, now, _| {
            if server == 1 && now >= at(6_000) {
                Answer::None
            } else {
                Answer::Success(READ_MS)
            }
        });
        let late = site.sent.iter().filter(|sent| sent.at >= at(6_000));
        let took: Vec<u64> = late
            .filter_map(|sent| Some(sent.took?.as_millis()))
            .collect();
        assert!(took.len() > 2_000, "{}", took.len());
        slow.push(took.iter().filter(|ms| **ms > 100).count());
    }
    assert!(slow[1] * 10 <= slow[0], "{slow:?}");
}

/// Guards against a report of many servers that is cut off at the size of a datagram.
#[test]
fn a_report_of_many_servers_keeps_the_busiest_and_fits_into_a_datagram() {
    let group: Arc<str> = Arc::from("group-with-20-bytes-");
    let counts: Counts = (1..100)
        .map(|count| {
            let server: Arc<str> = Arc::from(format!("server-of-20-bytes{count:02}"));
            ((Arc::clone(&group), server), count)
        })
        .collect();
    let counts = largest(counts);
    assert!(counts.values().all(|count| *count > 75), "{counts:?}");
    let datagram = Datagram {
        from: Arc::from("instance-of-20-bytes"),
        payload: Payload::FleetLoads {
            id: u64::MAX,
            counts,
        },
    };
    let bytes = postcard::to_stdvec(&datagram).expect("a datagram");
    assert!(bytes.len() + 16 <= 1_400, "{} bytes", bytes.len());
    let parsed: Datagram = postcard::from_bytes(&bytes).expect("a datagram");
    assert_eq!(parsed, datagram);
}
