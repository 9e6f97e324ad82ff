//! Retry budgets per account and per group, and the jitter of delays.

use std::sync::Arc;

use account::retry::Budgets;
use account::retry::Policy;
use clock::Span;
use clock::Time;

fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

fn used(budgets: &mut Budgets, account: &str, tries: u32) -> u32 {
    let (account, group) = (name(account), name("orders"));
    let mut count = 0;
    for _ in 0..tries {
        let retry = budgets.retry(Time::ZERO, &account, &group, 1, 0);
        count += u32::from(retry.is_some());
    }
    count
}

#[test]
fn an_account_uses_up_only_its_own_budget() {
    let mut budgets = Budgets::open(Policy::default());
    assert_eq!(used(&mut budgets, "a", 100), 10);
    assert_eq!(used(&mut budgets, "b", 100), 10);
}

#[test]
fn all_accounts_together_stay_within_the_budget_of_the_group() {
    let mut budgets = Budgets::open(Policy::default());
    let sum: u32 = (0..20)
        .map(|n| used(&mut budgets, &n.to_string(), 100))
        .sum();
    assert_eq!(sum, 30);
}

#[test]
fn requests_earn_retries() {
    let mut budgets = Budgets::open(Policy::default());
    used(&mut budgets, "a", 100);
    (0..50).for_each(|_| budgets.on_request(&name("a"), &name("orders")));
    assert_eq!(used(&mut budgets, "a", 100), 5);
}

#[test]
fn delays_double_and_are_spread() {
    let mut budgets = Budgets::open(Policy::default());
    let mut delay = |attempt, jitter| {
        let at = budgets.retry(Time::ZERO, &name("a"), &name("orders"), attempt, jitter);
        at.map(|at| at.since(Time::ZERO))
    };
    assert_eq!(delay(1, 0), Some(Span::from_millis(10)));
    assert_eq!(delay(1, 1 << 31), Some(Span::from_millis(15)));
    assert_eq!(delay(3, 0), Some(Span::from_millis(40)));
    assert_eq!(delay(40, u32::MAX), Some(Span::from_micros(499_999)));
}
