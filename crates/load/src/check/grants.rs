//! Checks that no account got more than its rate and burst.

use std::time::Duration;

use super::Breach;
use super::Violation;
use crate::deployment::Account;
use crate::work::Entry;

/// Checks each account's requests that ran, in every window.
///
/// A request that was sent and answered within a window was granted within it, so the count
/// needs no slack.
pub fn check_grants(entries: &[Entry], accounts: &[Account]) -> Vec<Violation> {
    let each = accounts.iter().enumerate();
    each.filter_map(|(index, account)| {
        let granted: Vec<(Duration, Duration)> = entries
            .iter()
            .filter(|entry| entry.account == index && entry.is_answered())
            .filter_map(|entry| Some((entry.sent?, entry.done)))
            .collect();
        check_account(account, granted)
    })
    .collect()
}

fn check_account(account: &Account, mut granted: Vec<(Duration, Duration)>) -> Option<Violation> {
    granted.sort_by_key(|(_, done)| *done);
    let mut worst: Option<(f64, Duration, Duration, u64)> = None;
    for &(from, _) in &granted {
        let mut count = 0;
        for &(sent, done) in &granted {
            if sent < from {
                continue;
            }
            count += 1;
            let window = done.saturating_sub(from);
            let allowed = account.burst as f64 + account.rate as f64 * window.as_secs_f64();
            let over = count as f64 - allowed;
            if over > 0.0 && worst.is_none_or(|(most, ..)| over > most) {
                worst = Some((over, from, done, count));
            }
        }
    }
    let (over, from, done, count) = worst?;
    let text = format!(
        "account={} from_ms={} to_ms={} granted={count} over={over:.1}",
        account.name,
        from.as_millis(),
        done.as_millis()
    );
    let breach = Breach::OverRate;
    Some(Violation { breach, text })
}
