//! Latency of one admission decision.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;

use account::rate::Action;
use account::rate::Limit;
use account::rate::Limiter;
use account::rate::Policy;
use clock::Span;
use clock::Time;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use store::Outcome;

/// Opens the limiter of a single instance, which holds all slices, with `accounts` accounts.
fn limiter(accounts: u32, limit: Limit) -> (Limiter, Time) {
    let mut limiter = Limiter::open("one", 1, ([127, 0, 0, 1], 7_000).into(), Policy::default());
    let limits: BTreeMap<Arc<str>, Limit> = (0..accounts)
        .map(|number| (Arc::from(name(number)), limit))
        .collect();
    let mut now = Time::ZERO + Span::from_secs(1);
    limiter.on_settings(now, 1, &limits);
    for action in limiter.tick(now) {
        let Action::Read { id } = action else {
            continue;
        };
        for action in limiter.on_read(now, id, Ok(Vec::new())) {
            let Action::Commit { id, .. } = action else {
                continue;
            };
            limiter.on_commit(now, id, Ok(Outcome::Committed { version: 1 }));
        }
    }
    now = now + Span::from_secs(1);
    limiter.tick(now);
    assert_eq!(limiter.schedule().slice_count(now), 64);
    (limiter, now)
}

fn name(number: u32) -> String {
    format!("account-{number:05}")
}

fn admit(c: &mut Criterion) {
    let mut group = c.benchmark_group("admit");
    let plenty = Limit {
        rate: 1_000_000,
        burst: 1_000_000_000,
    };
    let little = Limit { rate: 1, burst: 1 };
    for accounts in [8, 1_000] {
        for (what, limit) in [("run", plenty), ("refuse", little)] {
            let (mut limiter, start) = limiter(accounts, limit);
            let name = name(accounts / 2);
            let mut now = start;
            group.bench_function(BenchmarkId::new(what, accounts), |bench| {
                bench.iter(|| {
                    now = now + Span::from_micros(1);
                    black_box(limiter.admit(now, black_box(&name), 1, None))
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, admit);
criterion_main!(benches);
